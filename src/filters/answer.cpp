#include <balsamport/filters/answer.h>

#include <balsamport/core/log.h>
#include <balsamport/filters/outcome.h>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <utility>

namespace balsamport {

namespace {

constexpr std::int64_t millisPerSecond = 1'000;

struct StatusRule
{
    int status;
    Millis retryAfter; ///< 0: do not say.
};

constexpr StatusRule callerFault{400, Millis(0)};
constexpr StatusRule unavailable{503, Millis(1'000)};

StatusRule requestRule(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::BodyTooLarge:
        return {413, Millis(0)};
    case ErrorCode::HeadersTooLarge:
        return {431, Millis(0)};
    case ErrorCode::Unauthorized:
        return {401, Millis(0)};
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownPath:
        return {404, Millis(0)};
    case ErrorCode::MethodNotAllowed:
        return {405, Millis(0)};
    case ErrorCode::RequestTimeout:
        return {408, Millis(0)};
    default:
        return callerFault;
    }
}

StatusRule keyRule(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::KeyMissing:
    case ErrorCode::KeyInvalid:
    case ErrorCode::KeyFromFuture:
        return callerFault;
    case ErrorCode::KeyBodyMismatch:
        return {422, Millis(0)};
    case ErrorCode::KeyInProgress:
        return {409, Millis(1'000)};
    case ErrorCode::KeyUsed:
    case ErrorCode::KeyClosed:
    case ErrorCode::KeyTooOld:
    case ErrorCode::TicketUnknown:
        return {409, Millis(0)};
    case ErrorCode::OutcomeUnknown:
        return {502, Millis(0)};
    default:
        return unavailable;
    }
}

StatusRule backendRule(ErrorCode code) noexcept
{
    switch (code) {
    case ErrorCode::Timeout:
        return {504, Millis(0)};
    case ErrorCode::ConnectFailed:
    case ErrorCode::PlatformUnavailable:
    case ErrorCode::RateLimited:
    case ErrorCode::AdapterNotLoaded:
        return unavailable;
    default:
        return {502, Millis(0)};
    }
}

StatusRule ruleOf(ErrorCode code) noexcept
{
    constexpr std::uint16_t hundred = 100;
    switch (errorNumber(code) / hundred) {
    case 1:
        return requestRule(code);
    case 3:
        return keyRule(code);
    case 6:
        return backendRule(code);
    case 7:
        return {500, Millis(0)};
    default:
        break;
    }
    switch (code) {
    case ErrorCode::Overloaded:
        return {429, Millis(1'000)};
    case ErrorCode::DeadlineExceeded:
        return {504, Millis(0)};
    case ErrorCode::Quarantined:
        return {422, Millis(0)};
    default:
        return unavailable;
    }
}

} // namespace

int statusOf(ErrorCode code) noexcept
{
    return ruleOf(code).status;
}

std::optional<Millis> retryAfterOf(ErrorCode code) noexcept
{
    const Millis after = ruleOf(code).retryAfter;
    return after == Millis(0) ? std::nullopt : std::optional<Millis>(after);
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

HttpAnswer errorAnswer(const Error &error)
{
    HttpAnswer answer{statusOf(error.code),
                      {{std::string(headername::contentType), "application/json"}},
                      errorBody(error)};
    if (const auto after = retryAfterOf(error.code)) {
        const std::int64_t seconds = (after->count() + millisPerSecond - 1) / millisPerSecond;
        answer.headers.push_back({std::string(headername::retryAfter), std::to_string(seconds)});
    }
    return answer;
}

void failRequest(const ContextPtr &context, const Error &error)
{
    LOG(INFO) << logprefix::http << "Request failed. request=" << context->id
              << " error=" << errorName(error.code) << " outcome=" << outcomeOf(*context);
    answerRequest(context, errorAnswer(error));
}

void answerRequest(const ContextPtr &context, HttpAnswer answer)
{
    if (context->claimAnswer()) {
        addOutcomeHeaders(*context, answer.headers);
        context->writer->send(answer);
    }
    context->end();
}

} // namespace balsamport
