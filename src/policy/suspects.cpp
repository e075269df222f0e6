#include <balsamport/core/hash.h>
#include <balsamport/policy/suspects.h>

#include <algorithm>

namespace balsamport {

namespace {

/// Number of crashes after which a request is quarantined.
constexpr std::uint32_t crashesToQuarantine = 2;

} // namespace

Fingerprint fingerprintOf(const AdapterRef &adapter, std::string_view body) noexcept
{
    return Fingerprint(hash64(body, hashOf(adapter)));
}

bool SuspectTable::recordCrash(const CrashReport &report, const SuspectLimits &limits)
{
    if (!this->entries.contains(report.fingerprint)) {
        this->evictOldest(limits);
    }
    Entry &entry = this->entries[report.fingerprint];
    if (entry.quarantined) {
        return false;
    }
    const bool ranAlone = entry.aloneRun && entry.aloneRun->request == report.request;
    const bool sameCrash = entry.crashes > 0 && entry.lastServer == report.backendServer
            && report.at < entry.lastAt + limits.sameCrashWindow;
    if (sameCrash && !ranAlone) {
        return false;
    }
    ++entry.crashes;
    entry.lastServer = report.backendServer;
    entry.lastAt = report.at;
    entry.quarantined = entry.crashes >= crashesToQuarantine;
    if (ranAlone) {
        entry.aloneRun.reset();
    }
    return true;
}

bool SuspectTable::recordSuspicion(const CrashReport &report, const SuspectLimits &limits)
{
    if (this->entries.contains(report.fingerprint)) {
        return false;
    }
    return this->recordCrash(report, limits);
}

bool SuspectTable::recordFinish(Fingerprint fingerprint)
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end() || found->second.quarantined) {
        return false;
    }
    this->entries.erase(found);
    return true;
}

bool SuspectTable::recordQuarantine(Fingerprint fingerprint, Millis at, const SuspectLimits &limits)
{
    if (!this->entries.contains(fingerprint)) {
        this->evictOldest(limits);
    }
    Entry &entry = this->entries[fingerprint];
    const bool isNew = !entry.quarantined;
    entry.quarantined = true;
    entry.crashes = std::max(entry.crashes, crashesToQuarantine);
    entry.lastAt = std::max(entry.lastAt, at);
    return isNew;
}

void SuspectTable::recordRunEnd(Fingerprint fingerprint, const RequestId &request)
{
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end() && found->second.aloneRun
        && found->second.aloneRun->request == request) {
        found->second.aloneRun.reset();
    }
}

SuspectVerdict SuspectTable::requestRun(Fingerprint fingerprint, const RequestId &request,
                                        Millis now, const SuspectLimits &limits)
{
    const SuspectVerdict known = this->verdictFor(fingerprint, now, limits);
    if (known != SuspectVerdict::RunAlone) {
        return known;
    }
    Entry &entry = this->entries[fingerprint];
    const bool isLeased = entry.aloneRun && now < entry.aloneRun->until;
    if (isLeased && entry.aloneRun->request != request) {
        return SuspectVerdict::Wait;
    }
    entry.aloneRun = Run{request, now + limits.runAloneLease};
    return SuspectVerdict::RunAlone;
}

SuspectVerdict SuspectTable::verdictFor(Fingerprint fingerprint, Millis now,
                                        const SuspectLimits &limits) const
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end() || now >= found->second.lastAt + limits.quarantineTime) {
        return SuspectVerdict::Clear;
    }
    return found->second.quarantined ? SuspectVerdict::Quarantine : SuspectVerdict::RunAlone;
}

void SuspectTable::expire(Millis now, const SuspectLimits &limits)
{
    std::erase_if(this->entries, [&](const auto &item) {
        return now >= item.second.lastAt + limits.quarantineTime;
    });
}

std::vector<SuspectTable::Listed> SuspectTable::list() const
{
    std::vector<Listed> listed;
    listed.reserve(this->entries.size());
    for (const auto &[fingerprint, entry] : this->entries) {
        listed.push_back({fingerprint, entry.quarantined, entry.lastServer, entry.lastAt});
    }
    return listed;
}

std::size_t SuspectTable::quarantinedCount() const noexcept
{
    return static_cast<std::size_t>(
            std::count_if(this->entries.begin(), this->entries.end(),
                          [](const auto &item) { return item.second.quarantined; }));
}

void SuspectTable::evictOldest(const SuspectLimits &limits)
{
    if (this->entries.empty() || this->entries.size() < limits.capacity) {
        return;
    }
    const auto oldest = std::min_element(
            this->entries.begin(), this->entries.end(),
            [](const auto &a, const auto &b) { return a.second.lastAt < b.second.lastAt; });
    this->entries.erase(oldest);
}

} // namespace balsamport
