#ifndef BALSAMPORT_EDGE_EDGE_CONTEXT_H
#define BALSAMPORT_EDGE_EDGE_CONTEXT_H

#include <balsamport/core/event_log.h>
#include <balsamport/core/metrics.h>
#include <balsamport/edge/dialect.h>
#include <balsamport/edge/edge_settings.h>
#include <balsamport/edge/loop.h>
#include <balsamport/http/http_client.h>

#include <cstdint>

namespace balsamport {

/// @brief What all parts of the edge daemon use. Lives as long as the daemon.
struct EdgeContext
{
    const EdgeSettings &settings;
    const Dialect &dialect;
    Loop &loop;
    EventLog &log;
    HttpClient &http;
    MetricsRegistry &metrics;
    std::uint64_t incarnation = 0;
};

/// @brief Fetches an answer and gives it to the handler on the loop's thread.
void fetchOnLoop(EdgeContext &context, OutgoingRequest request,
                 std::function<void(const Result<HttpResponse> &)> handler,
                 std::function<bool()> mayStillSend = {});

} // namespace balsamport

#endif
