#include <balsamport/core/http_status.h>
#include <balsamport/policy/outcome.h>

namespace balsamport {

namespace {

int httpStatusOfRequestError(ErrorCode failure) noexcept
{
    switch (failure) {
    case ErrorCode::BodyTooLarge:
        return 413;
    case ErrorCode::HeadersTooLarge:
        return 431;
    case ErrorCode::Unauthorized:
        return 401;
    case ErrorCode::UnknownModel:
    case ErrorCode::UnknownService:
    case ErrorCode::UnknownPath:
        return 404;
    case ErrorCode::MethodNotAllowed:
        return 405;
    case ErrorCode::RequestTimeout:
        return 408;
    default:
        return 400;
    }
}

int httpStatusOfClaimError(ErrorCode failure) noexcept
{
    switch (failure) {
    case ErrorCode::KeyMissing:
    case ErrorCode::KeyInvalid:
    case ErrorCode::KeyTooOld:
    case ErrorCode::KeyFromFuture:
        return 400;
    case ErrorCode::KeyUsed:
    case ErrorCode::KeyInProgress:
    case ErrorCode::KeyClosed:
        return 409;
    case ErrorCode::KeyBodyMismatch:
        return 422;
    case ErrorCode::TicketUnknown:
        return 410;
    case ErrorCode::OutcomeUnknown:
        return 502;
    default:
        return 503;
    }
}

bool isRequestError(ErrorCode failure) noexcept
{
    return errorNumber(failure) < 200;
}

} // namespace

Outcome outcomeOf(const AttemptResult &result) noexcept
{
    const bool isComplete = result.stage == AttemptStage::ResponseStarted && !result.failure;
    if (isComplete && !httpstatus::isServerError(result.responseStatus)) {
        return Outcome::Ran;
    }
    if (result.stage == AttemptStage::Sent || result.stage == AttemptStage::ResponseStarted) {
        return Outcome::Unknown;
    }
    const bool refusedWithoutKey = result.stage == AttemptStage::Refused && !result.hasKey;
    if (result.repeatable || refusedWithoutKey || result.provenNotRun) {
        return Outcome::NotRun;
    }
    return Outcome::Unknown;
}

CallerAdvice adviceFor(ErrorCode failure, Outcome outcome, bool repeatable) noexcept
{
    if (failure == ErrorCode::KeyBodyMismatch || failure == ErrorCode::Quarantined
        || isRequestError(failure) || failure == ErrorCode::KeyMissing
        || failure == ErrorCode::KeyInvalid || failure == ErrorCode::KeyFromFuture) {
        return CallerAdvice::CorrectRequest;
    }
    if (repeatable) {
        return CallerAdvice::Repeat;
    }
    if (outcome == Outcome::NotRun) {
        return CallerAdvice::RepeatWithNewKey;
    }
    if (failure == ErrorCode::KeyInProgress || failure == ErrorCode::KeyUsed
        || failure == ErrorCode::WitnessUnavailable) {
        return CallerAdvice::QueryWithSameKey;
    }
    return CallerAdvice::CheckLedger;
}

int httpStatusOf(ErrorCode failure) noexcept
{
    const std::uint16_t number = errorNumber(failure);
    if (number < 200) {
        return httpStatusOfRequestError(failure);
    }
    if (number >= 300 && number < 400) {
        return httpStatusOfClaimError(failure);
    }
    switch (failure) {
    case ErrorCode::DeadlineExceeded:
    case ErrorCode::Timeout:
        return 504;
    case ErrorCode::Quarantined:
        return 422;
    case ErrorCode::RateLimited:
        return 429;
    case ErrorCode::ConnectionBroken:
    case ErrorCode::BadResponse:
    case ErrorCode::MalformedResponse:
    case ErrorCode::BackendServerCrashed:
    case ErrorCode::WrongVersion:
    case ErrorCode::BackendServerError:
    case ErrorCode::AnswerIncomplete:
        return 502;
    case ErrorCode::Internal:
        return 500;
    default:
        return 503;
    }
}

} // namespace balsamport
