#include <balsamport/filters/admission.h>

#include <balsamport/filters/response.h>

#include <algorithm>

namespace balsamport {

namespace {

/// Above this part of the limit, in quarters, only classes below their share are admitted.
constexpr std::uint64_t uncontendedQuarters = 3;
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

ConcurrencyLimiter::ConcurrencyLimiter(std::uint32_t limit) noexcept
    : limit(limit)
{ }

bool ConcurrencyLimiter::tryAcquire(const CallerClassConfig &callerClass, std::uint64_t totalWeight)
{
    const std::scoped_lock lock(this->mutex);
    std::uint32_t &classCount = this->countByClass[callerClass.id];
    const std::uint64_t weight = std::max<std::uint64_t>(totalWeight, 1);
    const std::uint64_t share = this->limit * std::uint64_t{callerClass.weight} / weight;
    const bool contended = this->total >= this->limit * uncontendedQuarters / quarters;
    if (this->total >= this->limit || (contended && classCount >= share)) {
        return false;
    }
    classCount += 1;
    this->total += 1;
    return true;
}

void ConcurrencyLimiter::release(const CallerClassId &callerClass)
{
    const std::scoped_lock lock(this->mutex);
    const auto entry = this->countByClass.find(callerClass);
    entry->second -= 1;
    this->total -= 1;
    if (entry->second == 0) {
        this->countByClass.erase(entry);
    }
}

std::uint32_t ConcurrencyLimiter::count() const
{
    const std::scoped_lock lock(this->mutex);
    return this->total;
}

Filter makeAdmissionFilter(std::shared_ptr<ConcurrencyLimiter> limiter)
{
    return [limiter = std::move(limiter)](const ContextPtr &context, const Next &next) {
        context->priority = context->callerClass.priority + routePriority(*context);
        if (!limiter->tryAcquire(context->callerClass, totalWeight(*context))) {
            failRequest(context, {ErrorCode::Overloaded, "too many requests are in progress"});
            return;
        }
        context->onEnd([limiter, callerClass = context->callerClass.id] {
            limiter->release(callerClass);
        });
        next();
    };
}

} // namespace balsamport
