#ifndef BALSAMPORT_CONFIG_SECTION_READER_H
#define BALSAMPORT_CONFIG_SECTION_READER_H

#include <balsamport/config/merge.h>
#include <balsamport/config/schema.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief A parsed target of a route, before its adapter is resolved.
struct ParsedTarget
{
    std::string adapter;
    std::uint64_t version = 0;
    std::uint32_t share = 1;

    bool operator==(const ParsedTarget &) const = default;
};

/// @brief Reads the typed values of a section and collects its errors.
///
/// The section, the schema and the list of errors must outlive the reader. An invalid value is
/// reported and replaced by the default value of its key. Keys must be declared in the schema.
class SectionReader
{
public:
    SectionReader(const MergedSection &section, const SectionSchema &schema,
                  std::vector<Error> &errors);

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::int64_t integer(std::string_view key);
    [[nodiscard]] bool boolean(std::string_view key);
    [[nodiscard]] std::vector<std::uint64_t> versions(std::string_view key);
    [[nodiscard]] std::vector<ParsedTarget> targets(std::string_view key);
    [[nodiscard]] std::vector<std::string> calls(std::string_view key);

    /// @return true if a file sets the key
    [[nodiscard]] bool has(std::string_view key) const;

    /// @return the location of the key, or of the section if no file sets the key
    [[nodiscard]] SourceLocation locationOf(std::string_view key) const;

    /// @brief Adds an error about the value of a key.
    /// @param expected description of a valid value
    void report(ErrorCode code, std::string_view key, const std::string &expected);

private:
    void checkKeys();

    const MergedSection &section;
    const SectionSchema &schema;
    std::vector<Error> &errors;
};

} // namespace balsamport

#endif
