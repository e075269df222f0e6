#ifndef BALSAMPORT_CONFIG_MERGE_H
#define BALSAMPORT_CONFIG_MERGE_H

#include <balsamport/config/files.h>

#include <map>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A value and where it was written.
struct MergedValue
{
    std::string text;
    SourceLocation origin;

    bool operator==(const MergedValue &) const = default;
};

/// @brief A section after the merge.
struct MergedSection
{
    std::string kind; ///< For example "adapter".
    std::string id; ///< Empty where the section has none.
    SourceLocation origin; ///< Where it was first opened.
    std::map<std::string, MergedValue> values; ///< By key.

    bool operator==(const MergedSection &) const = default;
};

/// @brief All files as one, with the origin of every value.
struct MergedConfig
{
    std::map<std::string, MergedSection> sections; ///< By the text between the brackets.
    std::vector<Error> errors; ///< Faults of syntax; empty where there are none.

    bool operator==(const MergedConfig &) const = default;
};

/// @brief Merges files in the order of their names; a later file's key replaces an earlier one's.
/// @return the merge, and ConfigSyntax, ConfigDuplicate or ConfigTooLarge for each faulty file
/// @complexity O(n log n) for n lines
[[nodiscard]] MergedConfig mergeFiles(std::vector<SourceFile> files);

} // namespace balsamport

#endif
