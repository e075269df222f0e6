#ifndef BALSAMPORT_CONFIG_SCHEMA_H
#define BALSAMPORT_CONFIG_SCHEMA_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Format of a value.
enum class ValueKind : std::uint8_t {
    Text, ///< Any non-empty text.
    Name, ///< Letters, digits and `-_.:`.
    Boolean, ///< true or false.
    Integer, ///< A decimal number from `minimum` to `maximum`.
    Address, ///< IP:PORT.
    Sha256, ///< 64 lower-case hexadecimal digits.
    BackendKind, ///< engine or service.
    VersionList, ///< Ascending numbers, separated by commas.
    Target, ///< ADAPTER@VERSION.
    TargetList, ///< ADAPTER@VERSION:SHARE, separated by commas.
    CallList, ///< METHOD or METHOD /PATH, separated by commas.
};

/// @brief A key of a section.
struct KeySchema
{
    std::string_view key;
    ValueKind kind = ValueKind::Text;
    bool required = false;
    std::string_view defaultText; ///< Default value; empty if there is none.
    std::int64_t minimum = 0; ///< Integers only.
    std::int64_t maximum = 0; ///< Integers only.
    std::string_view unit; ///< Empty if the value has none.
    std::string_view help;

    bool operator==(const KeySchema &) const = default;
};

/// @brief A kind of section, written `[NAME ID]`, or `[NAME]` if it has no id.
struct SectionSchema
{
    std::string_view name;
    bool hasId = true;
    std::string_view help;
    std::vector<KeySchema> keys;

    bool operator==(const SectionSchema &) const = default;
};

/// @return all kinds of sections, in the order of docs/CONFIGURATION.md
[[nodiscard]] const std::vector<SectionSchema> &configSchema();

/// @return the kind of section; nullptr if the name is unknown
[[nodiscard]] const SectionSchema *findSectionSchema(std::string_view name) noexcept;

/// @return the key; nullptr if the section has no such key
[[nodiscard]] const KeySchema *findKeySchema(const SectionSchema &section,
                                             std::string_view key) noexcept;

/// @brief Describes the format of a key's value in words.
/// Example: "an integer from 1 to 1024"
[[nodiscard]] std::string describeExpected(const KeySchema &key);

/// @brief Generates the reference of all sections and keys that docs/CONFIGURATION.md contains.
[[nodiscard]] std::string schemaAsMarkdown();

} // namespace balsamport

#endif
