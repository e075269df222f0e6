#include <balsamport/controllers/platform_watcher.h>

#include <balsamport/core/log.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis watchTimeout{5'000};
constexpr Millis idlePause{100};
/// Least time between two calls of one kind.
constexpr Millis shortestPause{200};
constexpr Millis vmsPeriod{500};
/// How long a starting VM waits for the configuration of its peers.
constexpr Millis peerFirst{500};
constexpr Millis reachableTime{5'000};

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

void PlatformWatcher::waitFor(Millis time)
{
    std::unique_lock lock(this->mutex);
    this->wakeup.wait_for(lock, std::chrono::milliseconds(time.count()),
                          [this] { return this->stopping; });
}

void PlatformWatcher::pauseAfter(const Result<void> &result, JitteredBackoff &backoff, Millis pause)
{
    if (result.has_value()) {
        backoff.failures = 0;
        this->lastSuccess = monotonicNow().count();
        this->waitFor(pause);
        return;
    }
    ++backoff.failures;
    if (backoff.failures == 1) {
        LOG(WARNING) << logprefix::config
                     << "A call to the platform failed. reason=" << describe(result.error());
    }
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(this->mutex);
        number = this->random();
    }
    this->waitFor(std::max(pause, waitAfterFailures(backoff, number)));
}

Result<void> PlatformWatcher::readConfigOnce()
{
    const ConfigRevision known = std::max(this->offered, this->config.highestEvaluated());
    if (this->hasRead) {
        const Result<ConfigRevision> seen = this->platform.watch(known, watchTimeout);
        if (seen.has_error()) {
            return seen.error();
        }
        if (seen.value() <= known) {
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }
    }
    const Result<PublishedValues> published = this->platform.values();
    if (published.has_error()) {
        return published.error();
    }
    const RevisionContentPtr held = this->config.held();
    Result<std::vector<SourceFile>> files = this->platform.readAll(
            published.value(), held ? held->files : std::vector<SourceFile>());
    if (files.has_error()) {
        return files.error();
    }
    this->hasRead = true;
    const ConfigRevision revision = published.value().revision;
    this->offered = std::max(this->offered, revision);
    this->config.submit(
            CandidateRevision{RevisionContent{revision, 0, std::move(files.value())}, true});
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void PlatformWatcher::watchConfig()
{
    JitteredBackoff backoff;
    this->waitFor(peerFirst);
    while (true) {
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopping) {
                return;
            }
        }
        if (this->config.snapshot() != nullptr && !this->membership.isWatcher()) {
            this->hasRead = false;
            this->waitFor(idlePause);
            continue;
        }
        const Result<void> result = this->readConfigOnce();
        this->pauseAfter(result, backoff, shortestPause);
    }
}

Result<void> PlatformWatcher::readVmsOnce()
{
    const Millis askedAt = monotonicNow();
    Result<std::vector<ListedVm>> vms = this->platform.vms();
    if (vms.has_error()) {
        return vms.error();
    }
    this->membership.applyPlatformList(std::move(vms.value()), askedAt);
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
            this->waitFor(idlePause);
            continue;
        }
        const Result<void> result = this->readVmsOnce();
        this->pauseAfter(result, backoff, vmsPeriod);
    }
}

void PlatformWatcher::fillStatus(wire::StatusReply &status) const
{
    const Millis success(this->lastSuccess);
    status.set_platform_reachable(success != Millis() && monotonicNow() < success + reachableTime);
    status.set_platform_calls(this->platform.calls());
}

} // namespace balsamport
