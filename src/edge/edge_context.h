#ifndef BALSAMPORT_EDGE_EDGE_CONTEXT_H
#define BALSAMPORT_EDGE_EDGE_CONTEXT_H

#include <balsamport/core/event_log.h>
#include <balsamport/core/memory_budget.h>
#include <balsamport/core/metrics.h>
#include <balsamport/edge/dialect.h>
#include <balsamport/edge/edge_settings.h>
#include <balsamport/edge/loop.h>
#include <balsamport/http/http_client.h>

#include <cstdint>
#include <memory>

namespace balsamport {

/// @brief Services shared by all components of the edge daemon. Lives as long as the daemon.
struct EdgeContext
{
    const EdgeSettings &settings;
    const Dialect &dialect;
    Loop &loop;
    EventLog &log;
    HttpClient &http;
    MetricsRegistry &metrics;
    std::uint64_t incarnation = 0;
    std::shared_ptr<MemoryBudget> memory; ///< Of the connections to callers and servers.
};

/// @brief Sends a request and calls the handler with the response on the thread of the loop.
/// @param mayStillSend returns false once the request must not be sent any more
void fetchOnLoop(EdgeContext &context, OutgoingRequest request,
                 std::function<void(const Result<HttpResponse> &)> handler,
                 std::function<bool()> mayStillSend = {});

} // namespace balsamport

#endif
