#include <balsamport/filters/crash_suspects.h>

#include <balsamport/core/log.h>
#include <balsamport/filters/response.h>

#include <utility>

namespace balsamport {

namespace {

/// Delay before the verdict on a waiting suspect is queried again.
constexpr Millis queryInterval{100};

/// Queries the verdict on a request until it may run or must fail.
void awaitVerdict(const std::shared_ptr<const SuspectSource> &suspects, const TimerSource &timer,
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
                    context->runAlone = false;
                    next();
                    return;
                case SuspectVerdict::RunAlone:
                    LOG(INFO) << logprefix::suspect
                              << "Suspect runs alone. request=" << context->id;
                    context->runAlone = true;
                    next();
                    return;
                case SuspectVerdict::Quarantine:
                    LOG(INFO) << logprefix::suspect
                              << "Quarantined request refused. request=" << context->id;
                    failRequest(
                            context,
                            {ErrorCode::Quarantined, "this request crashed two backend servers"});
                    return;
                case SuspectVerdict::Wait:
                    break;
                }
                if (monotonicNow() + queryInterval >= context->deadline) {
                    failRequest(
                            context,
                            {ErrorCode::DeadlineExceeded, "waited for the same request to end"});
                    return;
                }
                timer(queryInterval, [suspects, timer, context, next] {
                    awaitVerdict(suspects, timer, context, next);
                });
            });
}

} // namespace

Filter makeCrashSuspectFilter(SuspectSource suspects, TimerSource timer)
{
    const auto sharedSuspects = std::make_shared<const SuspectSource>(std::move(suspects));
    return [sharedSuspects, timer = std::move(timer)](const ContextPtr &context, Next next) {
        if (context->endpoint == Endpoint::Service) {
            next();
            return;
        }
        awaitVerdict(sharedSuspects, timer, context, std::move(next));
    };
}

} // namespace balsamport
