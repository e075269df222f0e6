#include <balsamport/filters/suspicion.h>

#include <balsamport/core/log.h>
#include <balsamport/filters/answer.h>

#include <utility>

namespace balsamport {

namespace {

/// Wait before a suspect asks again.
constexpr Millis askAgainAfter{100};

void ask(const std::shared_ptr<const SuspectSource> &suspects, const TimerSource &timer,
         const ContextPtr &context, Next next)
{
    if (context->writer->isDisconnected() && context->repeatable) {
        failRequest(context, {ErrorCode::CallerGone, "the caller has left"});
        return;
    }
    suspects->queryVerdict(
            context->fingerprint, context->id,
            [suspects, timer, context, next = std::move(next)](SuspectVerdict verdict) {
                switch (verdict) {
                case SuspectVerdict::Clear:
                    context->alone = false;
                    next();
                    return;
                case SuspectVerdict::RunAlone:
                    LOG(INFO) << logprefix::suspect << "Runs alone. request=" << context->id;
                    context->alone = true;
                    next();
                    return;
                case SuspectVerdict::Quarantine:
                    LOG(INFO) << logprefix::suspect << "Refused. request=" << context->id;
                    failRequest(
                            context,
                            {ErrorCode::Quarantined, "this request crashed two backend servers"});
                    return;
                case SuspectVerdict::Wait:
                    break;
                }
                if (monotonicNow() + askAgainAfter >= context->deadline) {
                    failRequest(
                            context,
                            {ErrorCode::DeadlineExceeded, "waited for the same request to end"});
                    return;
                }
                timer(askAgainAfter,
                      [suspects, timer, context, next] { ask(suspects, timer, context, next); });
            });
}

} // namespace

Filter makeSuspicionFilter(SuspectSource suspects, TimerSource timer)
{
    const auto shared = std::make_shared<const SuspectSource>(std::move(suspects));
    return [shared, timer = std::move(timer)](const ContextPtr &context, Next next) {
        if (context->endpoint == Endpoint::Service) {
            next();
            return;
        }
        ask(shared, timer, context, std::move(next));
    };
}

} // namespace balsamport
