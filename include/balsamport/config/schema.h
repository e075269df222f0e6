#ifndef BALSAMPORT_CONFIG_SCHEMA_H
#define BALSAMPORT_CONFIG_SCHEMA_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief What the text of a value must look like.
enum class ValueKind : std::uint8_t {
    Text, ///< Any text that is not empty.
    Name, ///< Letters, digits and `-_.:`.
    Boolean, ///< true or false.
    Integer, ///< A decimal number from `minimum` to `maximum`.
    Address, ///< IP:PORT.
    Sha256, ///< 64 hexadecimal digits, lower case.
    BackendKind, ///< engine or service.
    VersionList, ///< Ascending numbers, separated by commas.
    Target, ///< ADAPTER@VERSION.
    TargetList, ///< ADAPTER@VERSION:SHARE, separated by commas.
    CallList, ///< METHOD or METHOD /PATH, separated by commas.
};

/// @brief One key of a section.
struct KeySchema
{
    std::string_view key;
    ValueKind kind = ValueKind::Text;
    bool required = false;
    std::string_view defaultText; ///< Used where the key is not given; empty for none.
    std::int64_t minimum = 0; ///< Integers only.
    std::int64_t maximum = 0; ///< Integers only.
    std::string_view unit; ///< Empty where it has none.
    std::string_view help;

    bool operator==(const KeySchema &) const = default;
};

/// @brief One kind of section, written `[NAME ID]`, or `[NAME]` where it has no id.
struct SectionSchema
{
    std::string_view name;
    bool hasId = true;
    std::string_view help;
    std::vector<KeySchema> keys;

    bool operator==(const SectionSchema &) const = default;
};

/// @return all sections of the configuration folder, in the order of the manual
[[nodiscard]] const std::vector<SectionSchema> &configSchema();

/// @return the section; nullptr where there is no such kind
[[nodiscard]] const SectionSchema *findSectionSchema(std::string_view name) noexcept;

/// @return the key; nullptr where the section has no such key
[[nodiscard]] const KeySchema *findKeySchema(const SectionSchema &section,
                                             std::string_view key) noexcept;

/// @brief Says in words what a value of this key must look like.
/// Example: "an integer from 1 to 1024"
[[nodiscard]] std::string describeExpected(const KeySchema &key);

/// @brief Writes the reference of all sections and keys, as in docs/CONFIGURATION.md.
[[nodiscard]] std::string schemaAsMarkdown();

} // namespace balsamport

#endif
