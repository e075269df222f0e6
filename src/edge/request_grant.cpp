#include "request_flow.h"
#include "request_times.h"

#include <balsamport/core/hash.h>

#include <algorithm>

// The choice of the servers to try, and the handling of the verdicts of engine owners.

namespace balsamport {

namespace {

/// Engines whose owners get a grant request before the request waits for the least busy of them.
constexpr std::size_t minEngines = 2;
constexpr std::size_t maxEngines = 3;
/// Engines that replace those that are down or whose owner is unknown.
constexpr std::size_t maxFallbackEngines = 4;
/// When all daemons have just started, each engine has an owner again after this time. Source:
/// OwnershipTimings::startupGrace, a tick of the daemon and the delay between regions.
constexpr Millis maxOwnerWait{1'200};
/// Interval between checks whether a suspect has been judged.
constexpr Millis judgementInterval{100};
/// Interval between queries for the owner of an engine.
constexpr Millis ownerQueryInterval{150};
/// Time for which a request looks for an engine with an unused rate limit beyond its candidates, so
/// that a caller who must be refused is told at once.
constexpr Millis maxSearchTime{50};
/// Replicas of a plain service that are tried.
constexpr std::size_t maxReplicas = 4;

std::string_view nameOf(GrantVerdict::Kind kind) noexcept
{
    switch (kind) {
    case GrantVerdict::Kind::Queued:
        return "queued";
    case GrantVerdict::Kind::Granted:
        return "granted";
    case GrantVerdict::Kind::Redirected:
        return "elsewhere";
    case GrantVerdict::Kind::Refused:
        return "refused";
    case GrantVerdict::Kind::NotOwner:
        return "not_owner";
    case GrantVerdict::Kind::EngineDown:
        return "engine_down";
    case GrantVerdict::Kind::Quarantined:
        return "quarantined";
    }
    return "unknown";
}

} // namespace

void RequestFlow::selectCandidates()
{
    const EdgeState &state = this->context.state;
    const Location &location = this->context.edge.settings.location;
    const Millis now = monotonicNow();
    const auto servers = acceptingServers(state.availability,
                                          usableServers(state.catalog, this->service), now);
    if (!this->usesEngine) {
        this->candidates = rankReplicas(servers, location, state.serverStats,
                                        hash64(this->request.id.str()), now);
        this->excludeFailed();
        std::stable_partition(this->candidates.begin(), this->candidates.end(),
                              [&](const BackendServerId &server) {
                                  return !this->context.rateLimits.isWithheld(server, now);
                              });
        this->candidates.resize(std::min(this->candidates.size(), maxReplicas));
        return;
    }
    std::vector<const ServerEntry *> grantable = servers;
    std::erase_if(grantable, [&](const ServerEntry *server) {
        return this->context.rateLimits.isWithheld(server->id, now);
    });
    const EngineQuery query{AdapterName{this->request.base, this->request.adapter},
                            demandFor(state.demand, this->adapterName(), now),
                            lastEngine(state.affinity, this->request.adapter.str(), now),
                            state.engineLoads.inUse ? &state.engineLoads : nullptr};
    this->ranking = rankEngines(grantable, location, state.serverStats, query,
                                hash64(this->request.id.str()), now);
    this->candidates = this->ranking.servers;
    this->excludeFailed();
    // A busy adapter has several preferred engines that hold it; others would have to load it.
    const std::size_t engines = std::clamp(this->ranking.preferred.size(), minEngines, maxEngines);
    const auto candidateCount
            = static_cast<std::ptrdiff_t>(std::min(this->candidates.size(), engines));
    const auto fallbackEnd = static_cast<std::ptrdiff_t>(
            std::min(this->candidates.size(), engines + maxFallbackEngines));
    this->fallbackEngines.assign(this->candidates.begin() + candidateCount,
                                 this->candidates.begin() + fallbackEnd);
    this->candidates.resize(static_cast<std::size_t>(candidateCount));
    // The last candidate, for waiting: it is replaced by the least busy engine of those queried, as
    // one more engine would have to load the adapter.
    if (!this->candidates.empty()) {
        const BackendServerId first = this->candidates.front();
        this->candidates.push_back(first);
    }
}

std::string RequestFlow::adapterName() const
{
    return this->request.base.str() + "/" + this->request.adapter.str();
}

void RequestFlow::addFallbackCandidate()
{
    if (this->fallbackEngines.empty()) {
        return;
    }
    this->candidates.insert(this->candidates.begin(), this->fallbackEngines.front());
    this->fallbackEngines.erase(this->fallbackEngines.begin());
}

bool RequestFlow::isPreferredEngine(const BackendServerId &server) const
{
    const std::vector<BackendServerId> &preferred = this->ranking.preferred;
    return std::find(preferred.begin(), preferred.end(), server) != preferred.end();
}

void RequestFlow::recordReportedDemand(const BackendServerId &server, double perSecond, Millis now)
{
    const std::vector<BackendServerId> &preferred = this->ranking.preferred;
    if (this->request.adapter.empty() || !this->isPreferredEngine(server)) {
        return; // Other engines get only the requests that preferred engines redirected.
    }
    // A preferred engine of all regions gets the demand of all regions, one of several preferred
    // engines of this region a part of the region's demand.
    const double factor = this->ranking.regional
            ? static_cast<double>(preferred.size())
            : 1.0 / static_cast<double>(regionCount(this->context.edge.settings.location));
    recordDemand(this->context.state.demand, this->adapterName(), perSecond * factor, now);
}

void RequestFlow::excludeFailed()
{
    std::vector<BackendServerId> remaining;
    for (const BackendServerId &server : this->candidates) {
        if (this->failedServers.count(server) == 0) {
            remaining.push_back(server);
        }
    }
    if (!remaining.empty()) {
        this->candidates = std::move(remaining);
    }
}

void RequestFlow::waitForOwner()
{
    if (!this->ownerTimer) {
        this->ownerTimer = this->context.edge.loop.makeTimer();
    }
    this->ownerTimer->set(ownerQueryInterval, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->ended) {
            self->selectCandidates();
            self->requestNextGrant();
        }
    });
}

bool RequestFlow::waitIfUnderJudgement()
{
    if (!this->context.crashes.isUnderJudgement(this->traits)) {
        return false;
    }
    if (!this->ownerTimer) {
        this->ownerTimer = this->context.edge.loop.makeTimer();
    }
    this->ownerTimer->set(judgementInterval, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->ended && !self->refuseIfQuarantined("judged")) {
            self->selectServer();
        }
    });
    return true;
}

void RequestFlow::requestNextGrant()
{
    if (this->ended) {
        return;
    }
    const Millis now = monotonicNow();
    if (this->candidates.empty()
        && (this->refuseIfAllBackingOff() || this->refuseIfAllWithheld())) {
        return;
    }
    const bool hasTimeLeft = timeUntil(this->deadlineAt, now) >= minUsefulTime;
    if (this->candidates.empty() && hasTimeLeft && !this->ownerAnswered
        && now - this->arrivedAt < maxOwnerWait) {
        this->waitForOwner();
        return;
    }
    if (this->candidates.empty() || !hasTimeLeft) {
        this->refuse(ErrorCode::Overloaded, std::max(this->retryAfterHint, defaultRetryAfter));
        return;
    }
    BackendServerId server = this->candidates.front();
    this->candidates.erase(this->candidates.begin());
    if (this->candidates.empty() && !this->leastBusy.empty()) {
        if (this->leastBusyRateLimited && now + this->leastBusyWait > this->objectiveAt) {
            // Its owner would refuse the request as well, only later.
            this->refuse(ErrorCode::Overloaded, this->leastBusyWait);
            return;
        }
        server = this->leastBusy;
    }
    ++this->grantRequests;
    EngineGrantRequest grantRequest;
    grantRequest.request = this->request.id;
    grantRequest.base = this->request.base;
    grantRequest.adapter = this->request.adapter;
    grantRequest.priority = this->route.priority;
    grantRequest.routePriority = this->routePriority;
    grantRequest.organisation = this->organisation.empty() ? 0 : hash64(this->organisation.str());
    grantRequest.objectiveAt = this->objectiveAt;
    grantRequest.deadlineAt = this->deadlineAt;
    grantRequest.maxWaitUntil = this->route.maxStreamSilence > Millis(0)
            ? std::min(this->deadlineAt, this->arrivedAt + this->route.maxStreamSilence)
            : this->deadlineAt;
    grantRequest.maxTokenGap = this->route.tokenGapObjective;
    grantRequest.outputTokens = this->request.maxOutputTokens;
    grantRequest.parts = this->request.promptParts;
    grantRequest.lastChoice = this->candidates.empty();
    grantRequest.nextIsPreferred = this->candidates.size() > 1 && this->isPreferredEngine(server)
            && this->isPreferredEngine(this->candidates.front());
    const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
    auto number = std::make_shared<std::uint64_t>(0);
    const auto entry = this->context.state.catalog.servers.find(server);
    const DataCentreId dataCentre = entry == this->context.state.catalog.servers.end()
            ? DataCentreId()
            : entry->second.entry.dataCentre;
    this->pendingGrant = this->context.grants.requestGrant(
            EngineSite{server, dataCentre}, std::move(grantRequest),
            [weak, server, number](const GrantVerdict &verdict) {
                if (const auto self = weak.lock()) {
                    self->handleVerdict(*number, server, verdict);
                }
            });
    *number = this->pendingGrant;
}

void RequestFlow::handleVerdict(std::uint64_t grantNumber, const BackendServerId &server,
                                const GrantVerdict &verdict)
{
    if (this->ended || grantNumber != this->pendingGrant) {
        return;
    }
    const Millis now = monotonicNow();
    this->context.edge.log.write(EventPriority::Routine, "place",
                                 {{"request", this->request.id.str()},
                                  {"server", server.str()},
                                  {"verdict", nameOf(verdict.kind)},
                                  {"ask", this->grantRequests},
                                  {"wait_ms", verdict.wait},
                                  {"retry_after_ms", verdict.retryAfter},
                                  {"since_arrival_ms", now - this->arrivedAt}});
    ServerStats &stats = this->context.state.serverStats[server];
    if (verdict.kind == GrantVerdict::Kind::Granted
        || verdict.kind == GrantVerdict::Kind::Redirected) {
        stats.expectedWait = verdict.wait;
        stats.waitReportedAt = now;
    }
    if (verdict.kind == GrantVerdict::Kind::Granted
        || verdict.kind == GrantVerdict::Kind::Redirected
        || verdict.kind == GrantVerdict::Kind::Refused) {
        this->recordReportedDemand(server, verdict.demand, now);
    }
    this->ownerAnswered = this->ownerAnswered || verdict.kind != GrantVerdict::Kind::NotOwner;
    switch (verdict.kind) {
    case GrantVerdict::Kind::Queued:
        return;
    case GrantVerdict::Kind::Granted:
        this->pendingGrant = 0;
        recordServedBy(this->context.state.affinity, this->request.adapter.str(), server, now);
        this->send(server, grantNumber, verdict.version);
        return;
    case GrantVerdict::Kind::Redirected:
        if (this->leastBusy.empty() || verdict.wait < this->leastBusyWait) {
            this->leastBusy = server;
            this->leastBusyWait = verdict.wait;
            this->leastBusyRateLimited = verdict.rateLimited;
        }
        this->retryAfterHint = std::max(this->retryAfterHint, verdict.wait);
        this->pendingGrant = 0;
        if (verdict.rateLimited) {
            this->context.rateLimits.recordEngineWait(server, verdict.wait);
            if (now - this->arrivedAt < maxSearchTime) {
                this->addFallbackCandidate();
            }
        }
        this->requestNextGrant();
        return;
    case GrantVerdict::Kind::EngineDown:
        recordUnreachable(stats, now);
        [[fallthrough]];
    case GrantVerdict::Kind::NotOwner:
        this->pendingGrant = 0;
        this->addFallbackCandidate();
        this->requestNextGrant();
        return;
    case GrantVerdict::Kind::Quarantined:
        this->pendingGrant = 0;
        this->refuse(ErrorCode::Quarantined, Millis(0));
        return;
    case GrantVerdict::Kind::Refused:
        this->pendingGrant = 0;
        if (verdict.rateLimited) {
            this->context.rateLimits.recordEngineWait(server, verdict.retryAfter);
        }
        this->refuse(ErrorCode::Overloaded, verdict.retryAfter);
        return;
    }
}

bool RequestFlow::refuseIfAllBackingOff()
{
    const EdgeState &state = this->context.state;
    const auto servers = usableServers(state.catalog, this->service);
    const Millis now = monotonicNow();
    const std::optional<Millis> backoff = shortestBackoff(state.availability, servers, now);
    if (!backoff || !acceptingServers(state.availability, servers, now).empty()) {
        return false;
    }
    this->refuse(ErrorCode::NoBackendServer, *backoff);
    return true;
}

bool RequestFlow::refuseIfAllWithheld()
{
    const EdgeState &state = this->context.state;
    const Millis now = monotonicNow();
    const auto servers = acceptingServers(state.availability,
                                          usableServers(state.catalog, this->service), now);
    const std::optional<Millis> wait
            = this->context.rateLimits.allWithheldFor(servers, this->request.id, now);
    if (!wait) {
        return false;
    }
    this->refuse(ErrorCode::Overloaded, std::max(*wait, this->retryAfterHint));
    return true;
}

void RequestFlow::sendToNextReplica()
{
    if (this->candidates.empty()) {
        if (this->permitExpectedIn) {
            this->refuse(ErrorCode::Overloaded, *this->permitExpectedIn);
        } else if (!this->refuseIfAllBackingOff()) {
            this->refuse(ErrorCode::NoBackendServer, defaultRetryAfter);
        }
        return;
    }
    const BackendServerId server = this->candidates.front();
    this->candidates.erase(this->candidates.begin());
    if (this->context.rateLimits.needsPermit(server)) {
        this->sendWithPermit(server);
    } else {
        this->send(server, 0, AdapterVersion());
    }
}

void RequestFlow::sendWithPermit(const BackendServerId &server)
{
    this->context.rateLimits.requestPermit(
            server, this->request.id,
            [weak = this->weak_from_this(), server](const PermitVerdict &verdict) {
                if (const auto self = weak.lock()) {
                    self->handlePermit(server, verdict);
                }
            });
}

void RequestFlow::handlePermit(const BackendServerId &server, const PermitVerdict &verdict)
{
    if (this->ended) {
        return;
    }
    if (verdict.issued) {
        this->send(server, 0, AdapterVersion());
        return;
    }
    this->permitExpectedIn
            = std::min(this->permitExpectedIn.value_or(verdict.retryAfter), verdict.retryAfter);
    this->sendToNextReplica();
}

} // namespace balsamport
