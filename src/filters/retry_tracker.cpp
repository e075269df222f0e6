#include <balsamport/filters/retry_tracker.h>

#include <algorithm>

namespace balsamport {

RetryDecision RetryTracker::decide(const FailedAttempt &failed)
{
    const std::scoped_lock lock(this->mutex);
    const double jitter = std::uniform_real_distribution<double>(0, 1)(this->random);
    const RetryDecision decision = decideRetry(failed, this->budget, jitter);
    if (decision.action != RetryAction::Fail) {
        this->budget = afterRetry(this->budget);
    }
    return decision;
}

void RetryTracker::noteSent(const BackendServerId &server, Millis now)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->failing.find(server);
    if (found != this->failing.end() && isRequestAllowed(found->second, now)) {
        found->second = afterRequest(found->second, now);
    }
}

void RetryTracker::noteSuccess(const BackendServerId &server, std::uint32_t retryPercent)
{
    const std::scoped_lock lock(this->mutex);
    this->budget = afterSuccess(this->budget, retryPercent);
    this->failing.erase(server);
}

void RetryTracker::noteFailure(const BackendServerId &server, Millis now)
{
    const std::scoped_lock lock(this->mutex);
    CircuitBreaker &breaker = this->failing[server];
    breaker = afterFailure(breaker, now);
}

std::vector<BackendServerId> RetryTracker::openCircuits(Millis now) const
{
    const std::scoped_lock lock(this->mutex);
    std::vector<BackendServerId> open;
    for (const auto &[server, breaker] : this->failing) {
        if (!isRequestAllowed(breaker, now)) {
            open.push_back(server);
        }
    }
    std::sort(open.begin(), open.end());
    return open;
}

} // namespace balsamport
