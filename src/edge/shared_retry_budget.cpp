#include <balsamport/edge/shared_retry_budget.h>

#include <algorithm>

namespace balsamport {

SharedRetryBudget::Bucket &SharedRetryBudget::bucketAt(const RetryBudgetLimits &limits, Millis now)
{
    const Millis length = limits.window / static_cast<std::int64_t>(bucketsPerWindow);
    const std::int64_t index = now.count() / std::max<std::int64_t>(1, length.count());
    Bucket &bucket = this->ring[static_cast<std::size_t>(index) % bucketCount];
    if (bucket.index != index) {
        bucket = Bucket{index, 0, 0};
    }
    return bucket;
}

void SharedRetryBudget::recordRequest(const RetryBudgetLimits &limits, Millis now)
{
    ++this->bucketAt(limits, now).requests;
}

bool SharedRetryBudget::tryTake(const RetryBudgetLimits &limits, std::size_t daemons, Millis now)
{
    Bucket &current = this->bucketAt(limits, now);
    double requests = 0;
    double retries = 0;
    for (const Bucket &bucket : this->ring) {
        if (bucket.index > current.index - static_cast<std::int64_t>(bucketsPerWindow)) {
            requests += bucket.requests;
        }
        if (bucket.index > current.index - static_cast<std::int64_t>(bucketCount)) {
            retries += bucket.retries;
        }
    }
    const double slack = daemons == 0 ? 0 : limits.slack / static_cast<double>(daemons);
    const bool hasJustStarted = this->startedAt && now - *this->startedAt < limits.window;
    const double fraction = hasJustStarted ? startFraction : usableFraction;
    if (retries + 1 > fraction * (limits.ratio * requests + slack)) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace balsamport
