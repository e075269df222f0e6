#ifndef BALSAMPORT_FILTERS_IDEMPOTENCY_H
#define BALSAMPORT_FILTERS_IDEMPOTENCY_H

#include <balsamport/filters/answer_store.h>
#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Finds out whether a request may be repeated, and claims the key of one that may not.
/// Fails with KeyMissing, KeyInvalid, KeyInProgress, KeyBodyMismatch or what the claim gave.
[[nodiscard]] Filter makeIdempotencyFilter(ClaimSource claims,
                                           std::shared_ptr<AnswerStore> answers);

} // namespace balsamport

#endif
