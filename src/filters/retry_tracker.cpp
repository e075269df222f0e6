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

void RetryTracker::recordSent(const BackendServerId &server, Millis now)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->breakers.find(server);
    if (found != this->breakers.end() && isRequestAllowed(found->second, now)) {
        found->second = afterRequest(found->second, now);
    }
}

void RetryTracker::recordSuccess(const BackendServerId &server, std::uint32_t retryPercent)
{
    const std::scoped_lock lock(this->mutex);
    this->budget = afterSuccess(this->budget, retryPercent);
    this->breakers.erase(server);
}

void RetryTracker::recordFailure(const BackendServerId &server, Millis now)
{
    const std::scoped_lock lock(this->mutex);
    CircuitBreaker &breaker = this->breakers[server];
    breaker = afterFailure(breaker, now);
}

std::vector<BackendServerId> RetryTracker::openCircuits(Millis now) const
{
    const std::scoped_lock lock(this->mutex);
    std::vector<BackendServerId> openServers;
    for (const auto &[server, breaker] : this->breakers) {
        if (!isRequestAllowed(breaker, now)) {
            openServers.push_back(server);
        }
    }
    std::sort(openServers.begin(), openServers.end());
    return openServers;
}

} // namespace balsamport
