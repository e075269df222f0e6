#ifndef BALSAMPORT_FILTERS_IDEMPOTENCY_H
#define BALSAMPORT_FILTERS_IDEMPOTENCY_H

#include <balsamport/filters/filter.h>
#include <balsamport/filters/sharded_response_cache.h>

#include <memory>

namespace balsamport {

/// @brief Finds out whether a request may be repeated, and claims the key of one that may not.
///
/// A repeat of a finished key gets the first answer, from here or from the gateway that ran it.
/// Fails with KeyMissing, KeyInvalid, KeyInProgress, KeyBodyMismatch or what the claim gave.
/// @param gateways asks other gateways
[[nodiscard]] Filter makeIdempotencyFilter(ClaimSource claims,
                                           std::shared_ptr<ShardedResponseCache> answers,
                                           BackendClient gateways);

} // namespace balsamport

#endif
