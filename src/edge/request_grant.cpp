#include "request_flow.h"
#include "request_times.h"

#include <balsamport/core/hash.h>

#include <algorithm>

// Of a request: which servers are tried, and what the owners of engines say.

namespace balsamport {

namespace {

/// Engines that are asked for a place before a request waits at the least busy of them.
constexpr std::size_t fewestEngines = 2;
constexpr std::size_t mostEngines = 3;
/// Engines that are asked in place of those that are down, or whose owner is not known.
constexpr std::size_t maxSpares = 4;
/// Where all daemons have just started, each engine has an owner again after this time. Source:
/// OwnershipTimings::settle, a tick of the daemon and the way between regions.
constexpr Millis ownerPatience{1'200};
/// Between questions who owns an engine.
constexpr Millis ownerPace{150};
/// Replicas of a plain service that are tried.
constexpr std::size_t maxReplicas = 4;

std::string_view nameOf(PlaceVerdict::Kind kind) noexcept
{
    switch (kind) {
    case PlaceVerdict::Kind::Queued:
        return "queued";
    case PlaceVerdict::Kind::Granted:
        return "granted";
    case PlaceVerdict::Kind::Elsewhere:
        return "elsewhere";
    case PlaceVerdict::Kind::Refused:
        return "refused";
    case PlaceVerdict::Kind::NotOwner:
        return "not_owner";
    case PlaceVerdict::Kind::EngineDown:
        return "engine_down";
    }
    return "unknown";
}

} // namespace

void RequestFlow::planServers()
{
    const EdgeState &state = this->context.state;
    const Location &location = this->context.edge.settings.location;
    const Millis now = monotonicNow();
    const auto servers
            = takingRequests(state.notices, usableServers(state.catalog, this->service), now);
    if (!this->engine) {
        this->plan = rankReplicas(servers, location, state.experiences,
                                  hash64(this->request.id.str()), now);
        this->leaveOutFailed();
        this->plan.resize(std::min(this->plan.size(), maxReplicas));
        return;
    }
    const EngineWish wish{AdapterName{this->request.base, this->request.adapter},
                          demandFor(state.demand, this->adapterName(), now),
                          lastHome(state.homes, this->request.adapter.str(), now)};
    this->ranking = rankEngines(servers, location, state.experiences, wish,
                                hash64(this->request.id.str()), now);
    this->plan = this->ranking.servers;
    this->leaveOutFailed();
    // A busy adapter has further homes that hold it; another engine would have to load it.
    const std::size_t engines = std::clamp(this->ranking.homes.size(), fewestEngines, mostEngines);
    const auto tried = static_cast<std::ptrdiff_t>(std::min(this->plan.size(), engines));
    const auto spare
            = static_cast<std::ptrdiff_t>(std::min(this->plan.size(), engines + maxSpares));
    this->spares.assign(this->plan.begin() + tried, this->plan.begin() + spare);
    this->plan.resize(static_cast<std::size_t>(tried));
    // Back to the least busy one to wait there: a third engine would have to load the adapter.
    if (!this->plan.empty()) {
        const BackendServerId first = this->plan.front();
        this->plan.push_back(first);
    }
}

std::string RequestFlow::adapterName() const
{
    return this->request.base.str() + "/" + this->request.adapter.str();
}

void RequestFlow::askSpareInstead()
{
    if (this->spares.empty()) {
        return;
    }
    this->plan.insert(this->plan.begin(), this->spares.front());
    this->spares.erase(this->spares.begin());
}

bool RequestFlow::isHome(const BackendServerId &server) const
{
    const std::vector<BackendServerId> &homes = this->ranking.homes;
    return std::find(homes.begin(), homes.end(), server) != homes.end();
}

void RequestFlow::noteTold(const BackendServerId &server, double perSecond, Millis now)
{
    const std::vector<BackendServerId> &homes = this->ranking.homes;
    if (this->request.adapter.empty() || !this->isHome(server)) {
        return; // Elsewhere only those ask that found no place at a home.
    }
    // A home of all regions is asked by all of them; one of several homes by a part.
    const double share = this->ranking.regional
            ? static_cast<double>(homes.size())
            : 1.0 / static_cast<double>(regionCount(this->context.edge.settings.location));
    noteDemand(this->context.state.demand, this->adapterName(), perSecond * share, now);
}

void RequestFlow::leaveOutFailed()
{
    std::vector<BackendServerId> others;
    for (const BackendServerId &server : this->plan) {
        if (this->failedAt.count(server) == 0) {
            others.push_back(server);
        }
    }
    if (!others.empty()) {
        this->plan = std::move(others);
    }
}

void RequestFlow::awaitOwner()
{
    if (!this->ownerTimer) {
        this->ownerTimer = this->context.edge.loop.makeTimer();
    }
    this->ownerTimer->set(ownerPace, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->ended) {
            self->planServers();
            self->askNext();
        }
    });
}

void RequestFlow::askNext()
{
    if (this->ended) {
        return;
    }
    const Millis now = monotonicNow();
    if (this->plan.empty() && this->refusePaused()) {
        return;
    }
    const bool inTime = timeUntil(this->deadlineAt, now) >= leastUsefulTime;
    if (this->plan.empty() && inTime && !this->ownerAnswered
        && now - this->arrivedAt < ownerPatience) {
        this->awaitOwner();
        return;
    }
    if (this->plan.empty() || !inTime) {
        this->refuse(ErrorCode::Overloaded, std::max(this->retryHint, defaultRetryAfter));
        return;
    }
    BackendServerId server = this->plan.front();
    this->plan.erase(this->plan.begin());
    if (this->plan.empty() && !this->leastBusy.empty()) {
        server = this->leastBusy;
    }
    ++this->asks;
    PlaceRequest asked;
    asked.request = this->request.id;
    asked.base = this->request.base;
    asked.adapter = this->request.adapter;
    asked.priority = this->route.priority;
    asked.objectiveAt = this->objectiveAt;
    asked.deadlineAt = this->deadlineAt;
    asked.patientUntil = this->route.maxStreamSilence > Millis(0)
            ? std::min(this->deadlineAt, this->arrivedAt + this->route.maxStreamSilence)
            : this->deadlineAt;
    asked.longestPause = this->route.tokenGapObjective;
    asked.outputTokens = this->request.maxOutputTokens;
    asked.parts = this->request.promptParts;
    asked.lastChoice = this->plan.empty();
    asked.otherHome
            = this->plan.size() > 1 && this->isHome(server) && this->isHome(this->plan.front());
    const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
    auto number = std::make_shared<std::uint64_t>(0);
    const auto known = this->context.state.catalog.servers.find(server);
    const DataCentreId dataCentre = known == this->context.state.catalog.servers.end()
            ? DataCentreId()
            : known->second.entry.dataCentre;
    this->place = this->context.places.ask(EngineSite{server, dataCentre}, std::move(asked),
                                           [weak, server, number](const PlaceVerdict &verdict) {
                                               if (const auto self = weak.lock()) {
                                                   self->takeVerdict(*number, server, verdict);
                                               }
                                           });
    *number = this->place;
}

void RequestFlow::takeVerdict(std::uint64_t number, const BackendServerId &server,
                              const PlaceVerdict &verdict)
{
    if (this->ended || number != this->place) {
        return;
    }
    const Millis now = monotonicNow();
    this->context.edge.log.write(EventWeight::Routine, "place",
                                 {{"request", this->request.id.str()},
                                  {"server", server.str()},
                                  {"verdict", nameOf(verdict.kind)},
                                  {"ask", this->asks},
                                  {"wait_ms", verdict.wait},
                                  {"retry_after_ms", verdict.retryAfter},
                                  {"since_arrival_ms", now - this->arrivedAt}});
    ServerExperience &experience = this->context.state.experiences[server];
    if (verdict.kind == PlaceVerdict::Kind::Granted
        || verdict.kind == PlaceVerdict::Kind::Elsewhere) {
        experience.wait = verdict.wait;
        experience.waitToldAt = now;
    }
    if (verdict.kind == PlaceVerdict::Kind::Granted || verdict.kind == PlaceVerdict::Kind::Elsewhere
        || verdict.kind == PlaceVerdict::Kind::Refused) {
        this->noteTold(server, verdict.demand, now);
    }
    this->ownerAnswered = this->ownerAnswered || verdict.kind != PlaceVerdict::Kind::NotOwner;
    switch (verdict.kind) {
    case PlaceVerdict::Kind::Queued:
        return;
    case PlaceVerdict::Kind::Granted:
        this->place = 0;
        noteHome(this->context.state.homes, this->request.adapter.str(), server, now);
        this->send(server, number, verdict.version);
        return;
    case PlaceVerdict::Kind::Elsewhere:
        if (this->leastBusy.empty() || verdict.wait < this->leastWait) {
            this->leastBusy = server;
            this->leastWait = verdict.wait;
        }
        this->retryHint = std::max(this->retryHint, verdict.wait);
        this->place = 0;
        this->askNext();
        return;
    case PlaceVerdict::Kind::EngineDown:
        noteUnreachable(experience, now);
        [[fallthrough]];
    case PlaceVerdict::Kind::NotOwner:
        this->place = 0;
        this->askSpareInstead();
        this->askNext();
        return;
    case PlaceVerdict::Kind::Refused:
        this->place = 0;
        this->refuse(ErrorCode::Overloaded, verdict.retryAfter);
        return;
    }
}

bool RequestFlow::refusePaused()
{
    const EdgeState &state = this->context.state;
    const auto servers = usableServers(state.catalog, this->service);
    const Millis now = monotonicNow();
    const std::optional<Millis> pause = shortestPause(state.notices, servers, now);
    if (!pause || !takingRequests(state.notices, servers, now).empty()) {
        return false;
    }
    this->refuse(ErrorCode::NoBackendServer, *pause);
    return true;
}

void RequestFlow::sendToNextReplica()
{
    if (this->plan.empty()) {
        if (!this->refusePaused()) {
            this->refuse(ErrorCode::NoBackendServer, defaultRetryAfter);
        }
        return;
    }
    const BackendServerId server = this->plan.front();
    this->plan.erase(this->plan.begin());
    this->send(server, 0, AdapterVersion());
}

} // namespace balsamport
