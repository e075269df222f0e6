#include <balsamport/filters/first_answer.h>

#include <balsamport/filters/answer.h>
#include <balsamport/filters/backend_request.h>

#include <utility>

namespace balsamport {

namespace {

constexpr Millis askTimeout{1'000};
constexpr std::size_t maxAnswerBytes = std::size_t{4} * 1024 * 1024;
constexpr std::string_view markValue = "1";

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
    query.headers.push_back({std::string(headername::answerQuery), std::string(markValue)});
    // The mark must come along, as it makes the other gateway look the key up.
    query.headers.push_back({std::string(headername::repeatable), "false"});
    query.body = request.body;
    query.connectTimeout = askTimeout;
    query.timeout = askTimeout;
    return query;
}

} // namespace

bool isAnswerQuery(const IncomingRequest &request)
{
    return findHeader(request.headers, headername::answerQuery).has_value();
}

void fetchFirstAnswer(const ContextPtr &context, const BackendClient &backend,
                      const std::string &address,
                      std::function<void(std::optional<HttpResponse>)> callback)
{
    const auto answer = std::make_shared<HttpResponse>();
    ExchangeHandlers handlers;
    handlers.onHead = [answer](const ResponseHead &head) {
        answer->status = head.status;
        answer->headers = head.headers;
    };
    handlers.onBodyChunk = [answer](std::string_view piece) {
        if (answer->body.size() <= maxAnswerBytes) {
            answer->body.append(piece);
        }
        return true;
    };
    handlers.onDone = [answer, callback = std::move(callback)](const Result<void> &result) {
        const auto outcome = findHeader(answer->headers, headername::outcome);
        const bool held
                = result.has_value() && outcome == "ran" && answer->body.size() <= maxAnswerBytes;
        if (!held) {
            callback(std::nullopt);
            return;
        }
        answer->headers = callerHeadersOf(answer->headers);
        callback(std::move(*answer));
    };
    backend.start(queryOf(*context, address), std::move(handlers));
}

} // namespace balsamport
