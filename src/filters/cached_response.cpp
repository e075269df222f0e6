#include <balsamport/filters/cached_response.h>

#include <balsamport/filters/backend_request.h>
#include <balsamport/filters/response.h>

#include <utility>

namespace balsamport {

namespace {

constexpr Millis queryTimeout{1'000};
constexpr std::size_t maxResponseBytes = std::size_t{4} * 1024 * 1024;
constexpr std::string_view queryHeaderValue = "1";

OutgoingRequest queryOf(const RequestContext &context, const std::string &address)
{
    const IncomingRequest &request = *context.request;
    OutgoingRequest query;
    query.method = request.method;
    query.url = "http://" + address + request.path;
    if (!request.query.empty()) {
        query.url += "?" + request.query;
    }
    query.headers = callerHeadersOf(request.headers);
    query.headers.push_back(
            {std::string(headername::cachedResponseQuery), std::string(queryHeaderValue)});
    // Without this header the other gateway may treat the request as repeatable and run it instead
    // of looking the key up.
    query.headers.push_back({std::string(headername::repeatable), "false"});
    query.body = request.body;
    query.connectTimeout = queryTimeout;
    query.timeout = queryTimeout;
    return query;
}

} // namespace

bool isCachedResponseQuery(const IncomingRequest &request)
{
    return findHeader(request.headers, headername::cachedResponseQuery).has_value();
}

void fetchCachedResponse(const ContextPtr &context, const BackendClient &backend,
                         const std::string &address,
                         std::function<void(std::optional<HttpResponse>)> callback)
{
    const auto response = std::make_shared<HttpResponse>();
    ExchangeHandlers handlers;
    handlers.onHead = [response](const ResponseHead &head) {
        response->status = head.status;
        response->headers = head.headers;
    };
    handlers.onBodyChunk = [response](std::string_view chunk) {
        if (response->body.size() <= maxResponseBytes) {
            response->body.append(chunk);
        }
        return true;
    };
    handlers.onDone = [response, callback = std::move(callback)](const Result<void> &result) {
        const auto outcome = findHeader(response->headers, headername::outcome);
        const bool isCached = result.has_value() && outcome == "ran"
                && response->body.size() <= maxResponseBytes;
        if (!isCached) {
            callback(std::nullopt);
            return;
        }
        response->headers = callerHeadersOf(response->headers);
        callback(std::move(*response));
    };
    backend.start(queryOf(*context, address), std::move(handlers));
}

} // namespace balsamport
