#ifndef BALSAMPORT_FILTERS_GRANT_H
#define BALSAMPORT_FILTERS_GRANT_H

#include <balsamport/filters/filter.h>
#include <balsamport/filters/retry_tracker.h>

namespace balsamport {

/// @brief Builds what a request asks of the grant source.
[[nodiscard]] PlacementRequest placementRequestOf(const RequestContext &context,
                                                  const RetryTracker &retries);

/// @brief Gets a place on a backend server.
/// Fails with what the grant source gave, for example Overloaded or NoBackendServer.
[[nodiscard]] Filter makeGrantFilter(GrantSource grants,
                                     std::shared_ptr<const RetryTracker> retries);

} // namespace balsamport

#endif
