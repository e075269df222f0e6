#include <balsamport/filters/outcome.h>

#include <balsamport/core/metric_names.h>
#include <balsamport/filters/answer.h>

namespace balsamport {

namespace {

AttemptStage stageOf(const RequestContext &context) noexcept
{
    switch (context.run) {
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

AttemptResult endOf(const RequestContext &context, std::optional<ErrorCode> failure)
{
    AttemptResult end;
    end.hasKey = hasKey(*context.request);
    // Until the key was looked at, a request with a key may be a repeat of one that ran.
    end.repeatable = context.repeatable && (context.keyKnown || !end.hasKey);
    end.stage = stageOf(context);
    end.provenNotRun = context.provenNotRun;
    end.failure = failure;
    end.responseStatus = context.answerStatus;
    return end;
}

bool hasKey(const IncomingRequest &request)
{
    return findHeader(request.headers, headername::idempotencyKey).has_value();
}

void addOutcomeHeaders(const RequestContext &context, HttpHeaders &headers)
{
    const Outcome outcome = outcomeOf(endOf(context, context.failure));
    processMetrics().counter(metric::outcomes, outcomeName(outcome)).add();
    headers.push_back({std::string(headername::requestId), context.id.str()});
    headers.push_back({std::string(headername::outcome), std::string(outcomeName(outcome))});
}

} // namespace balsamport
