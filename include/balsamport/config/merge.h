#ifndef BALSAMPORT_CONFIG_MERGE_H
#define BALSAMPORT_CONFIG_MERGE_H

#include <balsamport/config/files.h>

#include <map>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A value and its source location.
struct MergedValue
{
    std::string text;
    SourceLocation origin;

    bool operator==(const MergedValue &) const = default;
};

/// @brief A section with the keys of all files.
struct MergedSection
{
    std::string kind; ///< For example "adapter".
    std::string id; ///< Empty if the section has none.
    SourceLocation origin; ///< Of the first section header.
    std::map<std::string, MergedValue> values; ///< By key.

    bool operator==(const MergedSection &) const = default;
};

/// @brief All files merged into one configuration, with the source location of every value.
struct MergedConfig
{
    std::map<std::string, MergedSection> sections; ///< By the text in the brackets.
    std::vector<Error> errors; ///< Syntax errors of the files.

    bool operator==(const MergedConfig &) const = default;
};

/// @brief Merges files in the order of their names. A key of a later file replaces the same key of
/// an earlier file.
/// @return the merged configuration, with errors of type ConfigSyntax, ConfigDuplicate or
/// ConfigTooLarge, of which a file may have several
/// @complexity O(n log n) for n lines
[[nodiscard]] MergedConfig mergeFiles(std::vector<SourceFile> files);

} // namespace balsamport

#endif
