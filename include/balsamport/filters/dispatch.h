#ifndef BALSAMPORT_FILTERS_DISPATCH_H
#define BALSAMPORT_FILTERS_DISPATCH_H

#include <balsamport/filters/filter.h>
#include <balsamport/filters/retry_tracker.h>
#include <balsamport/filters/sharded_response_cache.h>

namespace balsamport {

/// @brief Dependencies of the dispatch filter.
struct DispatchSources
{
    BackendClient backend;
    GrantSource grants;
    std::shared_ptr<RetryTracker> retries;
    SuspectSource suspects;
    TimerSource timer;
    std::shared_ptr<ShardedResponseCache> responseCache;
};

/// @brief Sends the request to its backend server and relays the response to the caller.
///
/// A plain response is sent once it is complete; a stream is passed on as it arrives. The last
/// filter: it never calls `next`.
/// @param acquirePlacement acquires another placement before a retry
[[nodiscard]] Filter makeDispatchFilter(DispatchSources sources, Filter acquirePlacement);

} // namespace balsamport

#endif
