#include "edge_context.h"

#include <balsamport/core/metric_names.h>

#include <utility>

namespace balsamport {

void fetchOnLoop(EdgeContext &context, OutgoingRequest request,
                 std::function<void(const Result<HttpResponse> &)> handler,
                 std::function<bool()> mayStillSend)
{
    // Largest response that is kept; a page of a store listing has about a megabyte.
    constexpr std::size_t maxResponseBytes = 8 * 1024 * 1024;
    auto response = std::make_shared<HttpResponse>();
    ExchangeHandlers handlers;
    handlers.mayStillSend = std::move(mayStillSend);
    handlers.onHead = [response](const ResponseHead &head) {
        response->status = head.status;
        response->headers = head.headers;
    };
    handlers.onBodyChunk = [response](std::string_view chunk) {
        response->body += chunk;
        return true;
    };
    request.maxResponseBytes = maxResponseBytes;
    handlers.onDone = [response, &loop = context.loop, &metrics = context.metrics,
                       task = std::move(handler)](const Result<void> &result) {
        Result<HttpResponse> fetched = result.has_error()
                ? Result<HttpResponse>(result.error())
                : Result<HttpResponse>(std::move(*response));
        loop.post([task, &metrics, outcome = std::move(fetched)] {
            if (outcome.has_error() && outcome.error().code == ErrorCode::MalformedResponse) {
                metrics.counter(metric::edgeMalformedResponses, "control").add();
            }
            task(outcome);
        });
    };
    context.http.start(std::move(request), std::move(handlers));
}

} // namespace balsamport
