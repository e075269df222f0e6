#include "edge_context.h"

#include <utility>

namespace balsamport {

void fetchOnLoop(EdgeContext &context, OutgoingRequest request,
                 std::function<void(const Result<HttpResponse> &)> handler,
                 std::function<bool()> mayStillSend)
{
    // Longest answer that is kept; a listing's page has about a megabyte.
    constexpr std::size_t maxAnswerBytes = 8 * 1024 * 1024;
    auto answer = std::make_shared<HttpResponse>();
    ExchangeHandlers handlers;
    handlers.mayStillSend = std::move(mayStillSend);
    handlers.onHead = [answer](const ResponseHead &head) {
        answer->status = head.status;
        answer->headers = head.headers;
    };
    handlers.onBodyChunk = [answer](std::string_view piece) {
        answer->body += piece;
        return true;
    };
    request.maxResponseBytes = maxAnswerBytes;
    handlers.onDone = [answer, &loop = context.loop,
                       task = std::move(handler)](const Result<void> &result) {
        Result<HttpResponse> whole = result.has_error() ? Result<HttpResponse>(result.error())
                                                        : Result<HttpResponse>(std::move(*answer));
        loop.post([task, outcome = std::move(whole)] { task(outcome); });
    };
    context.http.start(std::move(request), std::move(handlers));
}

} // namespace balsamport
