#include <balsamport/edge/server_choice.h>

#include <balsamport/core/hash.h>

#include <algorithm>
#include <set>

namespace balsamport {

namespace {

/// Weight of the newest answer in a server's share of failures.
constexpr double failureWeight = 0.12;
/// A server whose answers fail more often is tried last. Plain services fail up to a seventh of
/// their requests by themselves.
constexpr double failureLimit = 0.4;
/// A server that could not be reached is tried last for this long.
constexpr Millis avoidTime{1'500};
/// An owner's word on its wait is believed for this long.
constexpr Millis waitHintTime{400};
/// Waits that differ by less are alike, so that an adapter keeps to its homes.
constexpr Millis waitStep{120};
/// An owner's word on demand is believed for this long.
constexpr Millis demandTime{20'000};
/// Requests a second of one adapter that an engine serves beside others. A mean prompt takes 92 ms
/// to read; small parts even out the load of engines, and a few more places cost little.
constexpr double requestsPerHome = 2.0;
/// Adapters with less demand have one home in all regions: the way between them costs less than
/// a second load from the store.
constexpr double demandForRegionalHome = 1.5;
/// An engine keeps an adapter, or reloads it fast, for about this long after it was served.
constexpr Millis homeTime{20'000};
constexpr std::size_t maxDemandEntries = 4096;
/// Cost of the way to a server, in requests in flight there.
constexpr double regionCost = 0.25;
constexpr double otherRegionCost = 4.0;
constexpr double failureCost = 50.0;

ServerExperience experienceOf(const ServerExperiences &experiences, const BackendServerId &id)
{
    const auto found = experiences.find(id);
    return found == experiences.end() ? ServerExperience() : found->second;
}

bool isTroubled(const ServerExperience &experience, Millis now) noexcept
{
    return experience.avoidUntil > now || experience.failureShare > failureLimit;
}

enum CandidateGroup : int {
    LastServed,
    Holder,
    Home,
    SameRegion,
    OtherRegion,
};

struct Candidate
{
    BackendServerId id;
    bool troubled = false;
    bool holds = false; ///< The adapter is in place there.
    int group = 0; ///< One of CandidateGroup; the lowest goes first.
    std::int64_t waitSteps = 0;
    std::uint64_t score = 0;
};

bool isBetter(const Candidate &a, const Candidate &b)
{
    if (a.troubled != b.troubled) {
        return b.troubled;
    }
    if (a.group != b.group) {
        return a.group < b.group;
    }
    if (a.waitSteps != b.waitSteps) {
        return a.waitSteps < b.waitSteps;
    }
    return a.score != b.score ? a.score > b.score : a.id < b.id;
}

/// Which engines become homes: near ones, then those that hold the adapter, then by rendezvous.
bool isBetterHome(const Candidate &a, const Candidate &b)
{
    if (a.group != b.group) {
        return a.group < b.group;
    }
    if (a.holds != b.holds) {
        return a.holds;
    }
    return a.score != b.score ? a.score > b.score : a.id < b.id;
}

bool holdsAdapter(const ServerEntry &server, const EngineWish &wish)
{
    return server.adapters.count(wish.name) != 0;
}

std::size_t nearHolders(const std::vector<const ServerEntry *> &servers, const Location &location,
                        const EngineWish &wish)
{
    return static_cast<std::size_t>(
            std::count_if(servers.begin(), servers.end(), [&](const ServerEntry *server) {
                return holdsAdapter(*server, wish)
                        && distanceTo(location, server->dataCentre) != Distance::OtherRegion;
            }));
}

/// A candidate without its group.
Candidate candidateFor(const ServerEntry &server, const ServerExperiences &experiences,
                       const EngineWish &wish, Millis now)
{
    const ServerExperience experience = experienceOf(experiences, server.id);
    const bool hinted
            = experience.waitToldAt >= Millis(0) && now - experience.waitToldAt < waitHintTime;
    Candidate candidate;
    candidate.id = server.id;
    candidate.troubled = isTroubled(experience, now) || !server.holdsModel;
    candidate.holds = holdsAdapter(server, wish);
    candidate.waitSteps = hinted ? experience.wait.count() / waitStep.count() : 0;
    candidate.score = rendezvousScore(hash64(wish.name.adapter.str()), hash64(server.id.str()));
    return candidate;
}

/// An adapter with little demand chooses between two engines; a busy one has as many as it needs.
std::size_t homeCount(std::string_view adapter, double requestsPerSecond, std::size_t engines)
{
    if (adapter.empty()) {
        // The base model is everywhere.
        return engines;
    }
    if (requestsPerSecond < demandForRegionalHome) {
        return 2;
    }
    return static_cast<std::size_t>(1 + requestsPerSecond / requestsPerHome);
}

} // namespace

Distance distanceTo(const Location &location, const DataCentreId &dataCentre)
{
    if (dataCentre == location.dataCentre) {
        return Distance::SameDataCentre;
    }
    const auto own = location.regions.find(location.dataCentre);
    const auto other = location.regions.find(dataCentre);
    const bool same = own != location.regions.end() && other != location.regions.end()
            && own->second == other->second;
    return same ? Distance::SameRegion : Distance::OtherRegion;
}

std::size_t regionCount(const Location &location)
{
    std::set<RegionId> regions;
    for (const auto &[dataCentre, region] : location.regions) {
        regions.insert(region);
    }
    return std::max<std::size_t>(regions.size(), 1);
}

void noteAnswer(ServerExperience &experience, bool failed) noexcept
{
    experience.failureShare
            = experience.failureShare * (1 - failureWeight) + (failed ? failureWeight : 0);
}

void noteUnreachable(ServerExperience &experience, Millis now) noexcept
{
    experience.avoidUntil = now + avoidTime;
}

void noteDemand(AdapterDemand &demand, std::string_view adapter, double perSecond, Millis now)
{
    if (demand.told.size() > maxDemandEntries) {
        std::erase_if(demand.told,
                      [now](const auto &entry) { return now - entry.second.at > demandTime; });
    }
    demand.told.insert_or_assign(std::string(adapter), AdapterDemand::Told{perSecond, now});
}

double demandFor(const AdapterDemand &demand, std::string_view adapter, Millis now)
{
    const auto found = demand.told.find(adapter);
    return found == demand.told.end() || now - found->second.at > demandTime
            ? 0
            : found->second.perSecond;
}

void noteHome(AdapterHomes &homes, std::string_view adapter, const BackendServerId &server,
              Millis now)
{
    if (homes.homes.size() > maxDemandEntries) {
        std::erase_if(homes.homes,
                      [now](const auto &entry) { return now - entry.second.servedAt > homeTime; });
    }
    homes.homes.insert_or_assign(std::string(adapter), AdapterHomes::Home{server, now});
}

std::optional<BackendServerId> lastHome(const AdapterHomes &homes, std::string_view adapter,
                                        Millis now)
{
    const auto found = homes.homes.find(adapter);
    if (found == homes.homes.end() || now - found->second.servedAt > homeTime) {
        return std::nullopt;
    }
    return found->second.server;
}

EngineRanking rankEngines(const std::vector<const ServerEntry *> &servers, const Location &location,
                          const ServerExperiences &experiences, const EngineWish &wish,
                          std::uint64_t random, Millis now)
{
    const std::string &adapter = wish.name.adapter.str();
    const bool known = wish.requestsPerSecond > 0;
    const std::size_t holders = known || adapter.empty() ? 0 : nearHolders(servers, location, wish);
    EngineRanking ranking;
    ranking.regional
            = adapter.empty() || wish.requestsPerSecond >= demandForRegionalHome || holders > 1;
    std::vector<Candidate> candidates;
    for (const ServerEntry *server : servers) {
        Candidate candidate = candidateFor(*server, experiences, wish, now);
        const bool far = distanceTo(location, server->dataCentre) == Distance::OtherRegion;
        candidate.group = far && ranking.regional ? OtherRegion : SameRegion;
        candidates.push_back(std::move(candidate));
    }
    std::sort(candidates.begin(), candidates.end(), isBetterHome);
    const auto near = static_cast<std::size_t>(
            std::count_if(candidates.begin(), candidates.end(), [](const Candidate &candidate) {
                return candidate.group == SameRegion;
            }));
    const std::size_t wanted
            = holders > 1 ? holders : homeCount(adapter, wish.requestsPerSecond, candidates.size());
    const std::size_t homes = std::min(wanted, near == 0 ? candidates.size() : near);
    for (std::size_t i = 0; i < homes; ++i) {
        Candidate &home = candidates[i];
        home.group = std::min(home.group, static_cast<int>(Home));
        ranking.homes.push_back(home.id);
        if (ranking.regional) {
            // All daemons know the same homes; none of these may get the requests of all.
            home.score = mixHash(random, hash64(home.id.str()));
        }
    }
    if (!ranking.regional && !candidates.empty() && candidates.front().holds) {
        candidates.front().group = Holder;
    }
    for (Candidate &candidate : candidates) {
        if (!ranking.regional && candidate.id == wish.last) {
            candidate.group = LastServed;
        }
    }
    std::sort(candidates.begin(), candidates.end(), isBetter);
    for (const Candidate &candidate : candidates) {
        ranking.servers.push_back(candidate.id);
    }
    return ranking;
}

std::vector<BackendServerId> rankReplicas(const std::vector<const ServerEntry *> &servers,
                                          const Location &location,
                                          const ServerExperiences &experiences,
                                          std::uint64_t random, Millis now)
{
    std::vector<std::pair<double, BackendServerId>> ranked;
    for (const ServerEntry *server : servers) {
        const ServerExperience experience = experienceOf(experiences, server->id);
        double cost = experience.inFlight;
        const Distance distance = distanceTo(location, server->dataCentre);
        cost += distance == Distance::SameDataCentre ? 0
                : distance == Distance::SameRegion   ? regionCost
                                                     : otherRegionCost;
        cost += isTroubled(experience, now) ? failureCost : 0;
        // Below one request, so that it only decides between equals.
        constexpr double tieScale = 0.1 / 18446744073709551616.0;
        cost += tieScale * static_cast<double>(mixHash(random, hash64(server->id.str())));
        ranked.emplace_back(cost, server->id);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<BackendServerId> result;
    for (auto &[cost, id] : ranked) {
        result.push_back(std::move(id));
    }
    return result;
}

} // namespace balsamport
