#include <balsamport/filters/grant.h>

#include <balsamport/core/log.h>
#include <balsamport/filters/response.h>

#include <utility>

namespace balsamport {

PlacementRequest placementRequestOf(const RequestContext &context, const RetryTracker &retries)
{
    PlacementRequest request;
    request.request = context.id;
    request.adapter = context.adapter;
    request.service = context.service;
    request.priority = context.priority;
    request.callerClass = context.callerClass.id;
    request.deadline = context.deadline;
    request.promptBytes = static_cast<std::uint32_t>(context.request->body.size());
    request.maxTokens = context.model.maxTokens;
    request.fingerprint = context.fingerprint;
    request.repeatable = context.repeatable;
    request.runAlone = context.runAlone;
    request.avoid = retries.openCircuits(monotonicNow());
    request.avoid.insert(request.avoid.end(), context.triedServers.begin(),
                         context.triedServers.end());
    return request;
}

namespace {

void handlePlacement(const ContextPtr &context, const GrantSource &grants, const Next &next,
                     const Result<Placement> &result, Millis retryAfter)
{
    if (!result) {
        failRequest(context, result.error(), retryAfter);
        return;
    }
    const Placement &placement = result.value();
    if (context->writer->isDisconnected() && context->runState == RunState::NotSent) {
        grants.release(placement, PlacementEnd::Returned);
        failRequest(context, {ErrorCode::CallerGone, "the caller has left"});
        return;
    }
    context->placement = placement;
    if (context->endpoint == Endpoint::Service) {
        next(); // The choice of a replica has a log line of its own.
        return;
    }
    LOG(INFO) << logprefix::grant << "Placement granted. request=" << context->id
              << " server=" << placement.backendServer << " grant=" << placement.grant
              << " fencing=" << placement.fencing << " alone=" << context->runAlone;
    next();
}

} // namespace

Filter makeGrantFilter(GrantSource grants, std::shared_ptr<const RetryTracker> retries)
{
    return [grants = std::move(grants), retries = std::move(retries)](const ContextPtr &context,
                                                                      Next next) {
        context->writer->onDisconnect([cancel = grants.cancel, id = context->id] { cancel(id); });
        grants.acquire(placementRequestOf(*context, *retries),
                       [grants, context, next = std::move(next)](const Result<Placement> &result,
                                                                 Millis retryAfter) {
                           handlePlacement(context, grants, next, result, retryAfter);
                       });
    };
}

} // namespace balsamport
