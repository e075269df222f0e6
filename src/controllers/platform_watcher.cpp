#include <balsamport/controllers/platform_watcher.h>

#include <balsamport/core/log.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis watchTimeout{5'000};
constexpr Millis idlePollInterval{100};
/// Shortest time between two calls of one kind.
constexpr Millis minCallInterval{200};
constexpr Millis vmsPollInterval{500};
/// Time for which a starting VM waits for the configuration of its peers.
constexpr Millis peerGracePeriod{500};
/// The platform counts as reachable for this time after a successful call.
constexpr Millis reachableWindow{5'000};

} // namespace

PlatformWatcher::PlatformWatcher(PlatformClient &platformClient, ConfigController &configController,
                                 MembershipController &membershipController, std::uint64_t seed)
    : platform(platformClient)
    , config(configController)
    , membership(membershipController)
    , random(seed)
    , configThread([this] { this->watchConfig(); })
    , vmsThread([this] { this->watchVms(); })
{ }

PlatformWatcher::~PlatformWatcher()
{
    this->stop();
}

void PlatformWatcher::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->platform.stop();
    this->wakeup.notify_all();
    if (this->configThread.joinable()) {
        this->configThread.join();
    }
    if (this->vmsThread.joinable()) {
        this->vmsThread.join();
    }
}

void PlatformWatcher::sleepFor(Millis time)
{
    std::unique_lock lock(this->mutex);
    this->wakeup.wait_for(lock, std::chrono::milliseconds(time.count()),
                          [this] { return this->stopping; });
}

void PlatformWatcher::waitAfterCall(const Result<void> &result, JitteredBackoff &backoff,
                                    Millis interval)
{
    if (result.has_value()) {
        backoff.failures = 0;
        this->lastSuccess = monotonicNow().count();
        this->sleepFor(interval);
        return;
    }
    ++backoff.failures;
    if (backoff.failures == 1) {
        LOG(WARNING) << logprefix::config
                     << "A call to the platform failed; retrying with backoff. reason="
                     << describe(result.error());
    }
    std::uint64_t randomNumber = 0;
    {
        const std::lock_guard lock(this->mutex);
        randomNumber = this->random();
    }
    this->sleepFor(std::max(interval, waitAfterFailures(backoff, randomNumber)));
}

Result<void> PlatformWatcher::readConfigOnce()
{
    const ConfigRevision known = std::max(this->highestRead, this->config.highestEvaluated());
    if (this->hasReadConfig) {
        const Result<ConfigRevision> newest = this->platform.watch(known, watchTimeout);
        if (newest.has_error()) {
            return newest.error();
        }
        if (newest.value() <= known) {
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }
    }
    const Result<PublishedValues> published = this->platform.values();
    if (published.has_error()) {
        return published.error();
    }
    const RevisionContentPtr inForce = this->config.contentInForce();
    Result<std::vector<SourceFile>> files = this->platform.readAll(
            published.value(), inForce ? inForce->files : std::vector<SourceFile>());
    if (files.has_error()) {
        return files.error();
    }
    this->hasReadConfig = true;
    const ConfigRevision revision = published.value().revision;
    this->highestRead = std::max(this->highestRead, revision);
    this->config.submit(
            CandidateRevision{RevisionContent{revision, 0, std::move(files.value())}, true});
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PlatformWatcher::watchConfig()
{
    JitteredBackoff backoff;
    this->sleepFor(peerGracePeriod);
    while (true) {
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopping) {
                return;
            }
        }
        if (this->config.snapshot() != nullptr && !this->membership.isWatcher()) {
            this->hasReadConfig = false;
            this->sleepFor(idlePollInterval);
            continue;
        }
        const Result<void> result = this->readConfigOnce();
        this->waitAfterCall(result, backoff, minCallInterval);
    }
}

Result<void> PlatformWatcher::readVmsOnce()
{
    const Millis requestedAt = monotonicNow();
    Result<std::vector<ListedVm>> vms = this->platform.vms();
    if (vms.has_error()) {
        return vms.error();
    }
    this->membership.applyPlatformList(std::move(vms.value()), requestedAt);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PlatformWatcher::watchVms()
{
    JitteredBackoff backoff;
    while (true) {
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopping) {
                return;
            }
        }
        if (this->membership.list().isKnown() && !this->membership.isWatcher()) {
            this->sleepFor(idlePollInterval);
            continue;
        }
        const Result<void> result = this->readVmsOnce();
        this->waitAfterCall(result, backoff, vmsPollInterval);
    }
}

void PlatformWatcher::fillStatus(wire::StatusReply &status) const
{
    const Millis success(this->lastSuccess);
    status.set_platform_reachable(success != Millis()
                                  && monotonicNow() < success + reachableWindow);
    status.set_platform_calls(this->platform.calls());
}

} // namespace balsamport
