#ifndef BALSAMPORT_FILTERS_GRANT_H
#define BALSAMPORT_FILTERS_GRANT_H

#include <balsamport/filters/filter.h>
#include <balsamport/filters/retry_tracker.h>

namespace balsamport {

/// @brief Builds the placement request for a caller's request.
[[nodiscard]] PlacementRequest placementRequestOf(const RequestContext &context,
                                                  const RetryTracker &retries);

/// @brief Acquires a placement on a backend server.
/// Fails with the error of the grant source, for example Overloaded or NoBackendServer.
[[nodiscard]] Filter makeGrantFilter(GrantSource grants,
                                     std::shared_ptr<const RetryTracker> retries);

} // namespace balsamport

#endif
