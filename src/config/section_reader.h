#ifndef BALSAMPORT_CONFIG_SECTION_READER_H
#define BALSAMPORT_CONFIG_SECTION_READER_H

#include <balsamport/config/merge.h>
#include <balsamport/config/schema.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief A route's target as it is written, before its adapter is looked up.
struct WrittenTarget
{
    std::string adapter;
    std::uint64_t version = 0;
    std::uint32_t share = 1;

    bool operator==(const WrittenTarget &) const = default;
};

/// @brief Reads the typed values of one section and collects its faults.
///
/// The section must outlive the reader. A faulty value reads as the key's default.
class SectionReader
{
public:
    SectionReader(const MergedSection &section, const SectionSchema &schema,
                  std::vector<Error> &errors);

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::int64_t integer(std::string_view key);
    [[nodiscard]] bool boolean(std::string_view key);
    [[nodiscard]] std::vector<std::uint64_t> versions(std::string_view key);
    [[nodiscard]] std::vector<WrittenTarget> targets(std::string_view key);
    [[nodiscard]] std::vector<std::string> calls(std::string_view key);

    /// @return true where the key is written in a file
    [[nodiscard]] bool has(std::string_view key) const;

    /// @return where the key is written, or the section's own location
    [[nodiscard]] SourceLocation locationOf(std::string_view key) const;

    /// @brief Adds a fault of a key's value.
    void report(ErrorCode code, std::string_view key, const std::string &expected);

private:
    void checkKeys();

    const MergedSection &section;
    const SectionSchema &schema;
    std::vector<Error> &errors;
};

} // namespace balsamport

#endif
