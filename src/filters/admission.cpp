#include <balsamport/filters/admission.h>

#include <balsamport/filters/answer.h>

#include <algorithm>

namespace balsamport {

namespace {

/// Above this part of the bound only classes below their share are let in.
constexpr std::uint64_t openQuarters = 3;
constexpr std::uint64_t quarters = 4;

std::int32_t routePriority(const RequestContext &context)
{
    if (context.endpoint == Endpoint::Service) {
        const auto service = context.snapshot->services.find(context.service);
        return service == context.snapshot->services.end() ? 0 : service->second.priority;
    }
    const auto route = context.snapshot->routes.find(context.model.model);
    return route == context.snapshot->routes.end() ? 0 : route->second.priority;
}

std::uint64_t totalWeight(const RequestContext &context)
{
    std::uint64_t total = 0;
    for (const auto &[id, callerClass] : context.snapshot->callerClasses) {
        total += callerClass.weight;
    }
    return std::max<std::uint64_t>(total, context.callerClass.weight);
}

} // namespace

InProgress::InProgress(std::uint32_t limit) noexcept
    : limit(limit)
{ }

bool InProgress::tryEnter(const CallerClassConfig &callerClass, std::uint64_t totalWeight)
{
    const std::scoped_lock lock(this->mutex);
    std::uint32_t &own = this->byClass[callerClass.id];
    const std::uint64_t weight = std::max<std::uint64_t>(totalWeight, 1);
    const std::uint64_t share = this->limit * std::uint64_t{callerClass.weight} / weight;
    const bool crowded = this->total >= this->limit * openQuarters / quarters;
    if (this->total >= this->limit || (crowded && own >= share)) {
        return false;
    }
    own += 1;
    this->total += 1;
    return true;
}

void InProgress::leave(const CallerClassId &callerClass)
{
    const std::scoped_lock lock(this->mutex);
    const auto own = this->byClass.find(callerClass);
    own->second -= 1;
    this->total -= 1;
    if (own->second == 0) {
        this->byClass.erase(own);
    }
}

std::uint32_t InProgress::count() const
{
    const std::scoped_lock lock(this->mutex);
    return this->total;
}

Filter makeAdmissionFilter(std::shared_ptr<InProgress> inProgress)
{
    return [inProgress = std::move(inProgress)](const ContextPtr &context, const Next &next) {
        context->priority = context->callerClass.priority + routePriority(*context);
        if (!inProgress->tryEnter(context->callerClass, totalWeight(*context))) {
            failRequest(context, {ErrorCode::Overloaded, "too many requests are in progress"});
            return;
        }
        context->onEnd([inProgress, callerClass = context->callerClass.id] {
            inProgress->leave(callerClass);
        });
        next();
    };
}

} // namespace balsamport
