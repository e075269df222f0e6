#ifndef BALSAMPORT_FILTERS_DISPATCH_H
#define BALSAMPORT_FILTERS_DISPATCH_H

#include <balsamport/filters/filter.h>
#include <balsamport/filters/retry_tracker.h>
#include <balsamport/filters/sharded_response_cache.h>

namespace balsamport {

/// @brief What dispatch works with.
struct DispatchSources
{
    BackendClient backend;
    GrantSource grants;
    std::shared_ptr<RetryTracker> retries;
    SuspectSource suspects;
    TimerSource timer;
    std::shared_ptr<ShardedResponseCache> answers;
};

/// @brief Sends the request to its backend server and the answer straight back to the caller.
///
/// Whole answers are collected before the first byte goes out; streams go through the relay. The
/// last filter: it never calls `next`.
/// @param place gets another place before a retry
[[nodiscard]] Filter makeDispatchFilter(DispatchSources sources, Filter place);

} // namespace balsamport

#endif
