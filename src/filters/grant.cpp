#include <balsamport/filters/grant.h>

#include <balsamport/core/log.h>
#include <balsamport/filters/answer.h>

#include <utility>

namespace balsamport {

PlacementQuery placementQueryOf(const RequestContext &context)
{
    PlacementQuery query;
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
    query.triedServers = context.triedServers;
    return query;
}

Filter makeGrantFilter(GrantSource grants)
{
    return [grants = std::move(grants)](const ContextPtr &context, Next next) {
        const PlacementQuery query = placementQueryOf(*context);
        grants.acquire(
                query,
                [grants, query, context, next = std::move(next)](const Result<Placement> &result) {
                    if (!result) {
                        failRequest(context, result.error());
                        return;
                    }
                    if (context->writer->isGone()) {
                        grants.release(query, result.value(),
                                       {PlacementEnd::Returned, Millis(0), 0});
                        failRequest(context, {ErrorCode::CallerGone, "the caller has left"});
                        return;
                    }
                    context->placement = result.value();
                    LOG(INFO) << logprefix::grant << "Placed. request=" << context->id
                              << " server=" << result.value().backendServer
                              << " grant=" << result.value().grant;
                    next();
                });
    };
}

} // namespace balsamport
