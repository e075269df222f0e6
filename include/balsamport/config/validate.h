#ifndef BALSAMPORT_CONFIG_VALIDATE_H
#define BALSAMPORT_CONFIG_VALIDATE_H

#include <balsamport/config/files.h>
#include <balsamport/config/merge.h>
#include <balsamport/config/snapshot.h>

#include <vector>

namespace balsamport {

/// @brief What became of a revision: a snapshot, or every fault that it has.
struct RevisionValidation
{
    SnapshotPtr snapshot; ///< nullptr where the revision is refused.
    std::vector<Error> errors; ///< Empty where it is accepted.

    [[nodiscard]] bool isAccepted() const noexcept { return this->snapshot != nullptr; }
};

/// @brief Accepts or refuses a whole revision. Depends on nothing but its arguments, so that every
/// VM decides alike.
/// @param files the complete folder
/// @return the snapshot, or all faults with file, line, key, value and what was expected
/// @complexity O(n log n) for n lines
/// Example: `const RevisionValidation result = validateRevision(ConfigRevision(7), files);`
[[nodiscard]] RevisionValidation validateRevision(ConfigRevision revision,
                                                  const std::vector<SourceFile> &files);

} // namespace balsamport

#endif
