#ifndef BALSAMPORT_CONFIG_VALIDATE_H
#define BALSAMPORT_CONFIG_VALIDATE_H

#include <balsamport/config/files.h>
#include <balsamport/config/merge.h>
#include <balsamport/config/snapshot.h>

#include <vector>

namespace balsamport {

/// @brief Result of the validation of a revision: a snapshot, or all its errors.
struct RevisionValidation
{
    SnapshotPtr snapshot; ///< nullptr if the revision is refused.
    std::vector<Error> errors; ///< Empty if the revision is accepted.

    [[nodiscard]] bool isAccepted() const noexcept { return this->snapshot != nullptr; }
};

/// @brief Accepts or refuses a revision as a whole. The result depends only on the arguments, so
/// that every VM reaches the same decision.
/// @param files all files of the configuration folder, in any order
/// @return the snapshot, or all errors with file, line, key, value and the expected value
/// @complexity O(n log n) for n lines
/// Example: `const RevisionValidation result = validateRevision(ConfigRevision(7), files);`
[[nodiscard]] RevisionValidation validateRevision(ConfigRevision revision,
                                                  const std::vector<SourceFile> &files);

} // namespace balsamport

#endif
