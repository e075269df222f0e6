#ifndef BALSAMPORT_FILTERS_IDEMPOTENCY_H
#define BALSAMPORT_FILTERS_IDEMPOTENCY_H

#include <balsamport/filters/filter.h>
#include <balsamport/filters/sharded_response_cache.h>

#include <memory>

namespace balsamport {

/// @brief Determines whether a request is repeatable, and claims the key of one that is not.
///
/// A repeat of a finished key gets the first response, from this gateway's cache or from the
/// gateway that ran the request. Fails with KeyMissing, KeyInvalid, KeyInProgress, KeyBodyMismatch
/// or the error of the claim.
/// @param gateways sends queries to other gateways
[[nodiscard]] Filter makeIdempotencyFilter(ClaimSource claims,
                                           std::shared_ptr<ShardedResponseCache> responseCache,
                                           BackendClient gateways);

} // namespace balsamport

#endif
