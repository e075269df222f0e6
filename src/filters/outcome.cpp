#include <balsamport/filters/outcome.h>

#include <balsamport/core/metric_names.h>
#include <balsamport/filters/response.h>

namespace balsamport {

namespace {

AttemptStage stageOf(const RequestContext &context) noexcept
{
    switch (context.runState) {
    case RunState::Ran:
        return AttemptStage::ResponseStarted;
    case RunState::Sent:
        return AttemptStage::Sent;
    case RunState::NotSent:
        break;
    }
    if (context.claim) {
        return AttemptStage::Claimed;
    }
    return context.claimLost ? AttemptStage::ClaimFailed : AttemptStage::Refused;
}

} // namespace

AttemptResult attemptResultOf(const RequestContext &context, std::optional<ErrorCode> failure)
{
    AttemptResult result;
    result.hasKey = hasIdempotencyKey(*context.request);
    // Before the idempotency filter has run, a request with a key may be a repeat of one that ran.
    result.repeatable = context.repeatable && (context.repeatabilityKnown || !result.hasKey);
    result.stage = stageOf(context);
    result.provenNotRun = context.provenNotRun;
    result.failure = failure;
    result.responseStatus = context.responseStatus;
    return result;
}

bool hasIdempotencyKey(const IncomingRequest &request)
{
    return findHeader(request.headers, headername::idempotencyKey).has_value();
}

void addOutcomeHeaders(const RequestContext &context, HttpHeaders &headers)
{
    const Outcome outcome = outcomeOf(attemptResultOf(context, context.failure));
    processMetrics().counter(metric::outcomes, outcomeName(outcome)).add();
    headers.push_back({std::string(headername::requestId), context.id.str()});
    headers.push_back({std::string(headername::outcome), std::string(outcomeName(outcome))});
}

} // namespace balsamport
