#include <balsamport/filters/response.h>

#include <balsamport/core/http_status.h>
#include <balsamport/core/log.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/filters/outcome.h>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <utility>

namespace balsamport {

namespace {

constexpr std::int64_t millisPerSecond = 1'000;

/// Time after which to retry where the failure is expected to pass.
constexpr Millis transientRetryAfter{1'000};

} // namespace

std::optional<Millis> retryAfterOf(ErrorCode code) noexcept
{
    const bool isTransient = httpStatusOf(code) == httpstatus::unavailable
            || code == ErrorCode::RateLimited || code == ErrorCode::KeyInProgress;
    return isTransient ? std::optional<Millis>(transientRetryAfter) : std::nullopt;
}

std::string errorBody(const Error &error)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    const std::string_view name = errorName(error.code);
    writer.StartObject();
    writer.Key("error");
    writer.StartObject();
    writer.Key("message");
    writer.String(error.detail.data(), static_cast<rapidjson::SizeType>(error.detail.size()));
    writer.Key("type");
    writer.String(name.data(), static_cast<rapidjson::SizeType>(name.size()));
    writer.Key("code");
    writer.Uint(errorNumber(error.code));
    writer.Key("param");
    writer.Null();
    writer.EndObject();
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

HttpResponse errorResponse(const Error &error, Millis retryAfter)
{
    HttpResponse response{httpStatusOf(error.code),
                          {{std::string(headername::contentType), "application/json"}},
                          errorBody(error)};
    const auto delay
            = retryAfter > Millis(0) ? std::optional<Millis>(retryAfter) : retryAfterOf(error.code);
    if (delay) {
        const std::int64_t seconds = (delay->count() + millisPerSecond - 1) / millisPerSecond;
        response.headers.push_back({std::string(headername::retryAfter), std::to_string(seconds)});
    }
    return response;
}

void failRequest(const ContextPtr &context, const Error &error, Millis retryAfter)
{
    LOG(INFO) << logprefix::http << "Request failed. request=" << context->id
              << " error=" << errorName(error.code)
              << " outcome=" << outcomeName(outcomeOf(attemptResultOf(*context, error.code)));
    context->failure = error.code;
    processMetrics().counter(metric::refusals, errorName(error.code)).add();
    if (context->failStream) {
        context->failStream(error);
        return;
    }
    completeRequest(context, errorResponse(error, retryAfter));
}

void completeRequest(const ContextPtr &context, HttpResponse response)
{
    if (context->claimResponse()) {
        context->responseStatus = response.status;
        addOutcomeHeaders(*context, response.headers);
        context->writer->send(response);
    }
    context->end();
}

} // namespace balsamport
