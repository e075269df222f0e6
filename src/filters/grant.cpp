#include <balsamport/filters/grant.h>

#include <balsamport/core/log.h>
#include <balsamport/filters/answer.h>

#include <utility>

namespace balsamport {

PlacementRequest placementRequestOf(const RequestContext &context, const RetryTracker &retries)
{
    PlacementRequest query;
    query.request = context.id;
    query.adapter = context.adapter;
    query.service = context.service;
    query.priority = context.priority;
    query.callerClass = context.callerClass.id;
    query.deadline = context.deadline;
    query.promptBytes = static_cast<std::uint32_t>(context.request->body.size());
    query.maxTokens = context.model.maxTokens;
    query.fingerprint = context.fingerprint;
    query.repeatable = context.repeatable;
    query.runAlone = context.alone;
    query.avoid = retries.openCircuits(monotonicNow());
    query.avoid.insert(query.avoid.end(), context.triedServers.begin(), context.triedServers.end());
    return query;
}

namespace {

void takePlace(const ContextPtr &context, const GrantSource &grants, const Next &next,
               const Result<Placement> &result, Millis retryAfter)
{
    if (!result) {
        failRequest(context, result.error(), retryAfter);
        return;
    }
    const Placement &placement = result.value();
    if (context->writer->isDisconnected() && context->run == RunState::NotSent) {
        grants.release(placement, PlacementEnd::Returned);
        failRequest(context, {ErrorCode::CallerGone, "the caller has left"});
        return;
    }
    context->placement = placement;
    if (context->endpoint == Endpoint::Service) {
        next(); // The choice of a replica has its own line.
        return;
    }
    LOG(INFO) << logprefix::grant << "Placed. request=" << context->id
              << " server=" << placement.backendServer << " grant=" << placement.grant
              << " fencing=" << placement.fencing << " alone=" << context->alone;
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
                           takePlace(context, grants, next, result, retryAfter);
                       });
    };
}

} // namespace balsamport
