#include <balsamport/edge/server_choice.h>

#include <balsamport/core/hash.h>

#include <algorithm>
#include <set>

namespace balsamport {

namespace {

/// Weight of the newest response in a server's failure rate.
constexpr double newestFailureWeight = 0.12;
/// A server with a higher failure rate is tried last. Plain services fail up to a seventh of their
/// requests in normal operation.
constexpr double maxFailureRate = 0.4;
/// A server that couldn't be reached is tried last for this long.
constexpr Millis unreachableAvoidance{1'500};
/// An expected wait that an owner reported is used for this long.
constexpr Millis waitReportLifetime{400};
/// Waits are compared in steps of this, so that small differences don't move an adapter between its
/// preferred engines.
constexpr Millis waitStep{120};
/// A demand that an owner reported is used for this long.
constexpr Millis demandReportLifetime{20'000};
/// Requests a second of one adapter for each preferred engine, beside those of other adapters. The
/// prefill of a mean prompt takes 92 ms; small shares even out the load of engines, and a few more
/// adapter slots cost little.
constexpr double requestsPerPreferredEngine = 2.0;
/// Adapters with less demand, in requests a second, have one preferred engine for all regions: the
/// network delay between regions costs less than a second load from the store.
constexpr double minRegionalDemand = 1.5;
/// An engine keeps an adapter, or reloads it fast, for about this long after the last request.
constexpr Millis affinityLifetime{20'000};
/// Adapters with a demand or an affinity beyond which expired entries are removed.
constexpr std::size_t maxAdapterEntries = 4096;
/// Costs of the distance to a server and of its failures, in requests in flight there.
constexpr double sameRegionCost = 0.25;
constexpr double otherRegionCost = 4.0;
constexpr double failureCost = 50.0;

ServerStats statsOf(const ServerStatsMap &serverStats, const BackendServerId &id)
{
    const auto found = serverStats.find(id);
    return found == serverStats.end() ? ServerStats() : found->second;
}

bool isDegraded(const ServerStats &stats, Millis now) noexcept
{
    return stats.avoidUntil > now || stats.failureRate > maxFailureRate;
}

enum CandidateGroup : int {
    LastServed,
    Holder,
    Preferred,
    SameRegionLight, ///< With loads: engines with capacity, also in other regions, go first.
    OtherRegionLight,
    SameRegion,
    OtherRegion,
};

struct Candidate
{
    BackendServerId id;
    bool degraded = false;
    bool holds = false; ///< The adapter is loaded there.
    int group = 0; ///< One of CandidateGroup; the lowest goes first.
    std::int64_t waitSteps = 0;
    std::uint64_t score = 0;
};

/// Orders engines by group, then by expected wait; degraded ones come last.
bool isBetter(const Candidate &a, const Candidate &b)
{
    if (a.degraded != b.degraded) {
        return b.degraded;
    }
    if (a.group != b.group) {
        return a.group < b.group;
    }
    if (a.waitSteps != b.waitSteps) {
        return a.waitSteps < b.waitSteps;
    }
    return a.score != b.score ? a.score > b.score : a.id < b.id;
}

/// Orders engines as candidates for preferred ones: by group, then those that hold the adapter,
/// then by rendezvous hashing.
bool isPreferredBefore(const Candidate &a, const Candidate &b)
{
    if (a.group != b.group) {
        return a.group < b.group;
    }
    if (a.holds != b.holds) {
        return a.holds;
    }
    return a.score != b.score ? a.score > b.score : a.id < b.id;
}

bool holdsAdapter(const ServerEntry &server, const EngineQuery &query)
{
    return server.adapters.count(query.name) != 0;
}

std::size_t holdersInRegion(const std::vector<const ServerEntry *> &servers,
                            const Location &location, const EngineQuery &query)
{
    return static_cast<std::size_t>(
            std::count_if(servers.begin(), servers.end(), [&](const ServerEntry *server) {
                return holdsAdapter(*server, query)
                        && distanceTo(location, server->dataCentre) != Distance::OtherRegion;
            }));
}

/// @return a candidate without its group
Candidate candidateFor(const ServerEntry &server, const ServerStatsMap &serverStats,
                       const EngineQuery &query, Millis now)
{
    const ServerStats stats = statsOf(serverStats, server.id);
    const bool waitKnown
            = stats.waitReportedAt >= Millis(0) && now - stats.waitReportedAt < waitReportLifetime;
    Candidate candidate;
    candidate.id = server.id;
    candidate.degraded = isDegraded(stats, now) || !server.holdsModel;
    candidate.holds = holdsAdapter(server, query);
    candidate.waitSteps = waitKnown ? stats.expectedWait.count() / waitStep.count() : 0;
    candidate.score = rendezvousScore(hash64(query.name.adapter.str()), hash64(server.id.str()));
    return candidate;
}

/// @return the number of preferred engines: two to choose from for an adapter with little demand,
/// as many as needed for a busy one
std::size_t preferredCount(std::string_view adapter, double requestsPerSecond, std::size_t engines)
{
    if (adapter.empty()) {
        // Every engine holds the base model.
        return engines;
    }
    if (requestsPerSecond < minRegionalDemand) {
        return 2;
    }
    return static_cast<std::size_t>(1 + requestsPerSecond / requestsPerPreferredEngine);
}

/// Moves the engines outside of the preferred ones that have capacity before the others.
void groupByLoad(std::vector<Candidate> &candidates, const EngineLoads &loads, Millis now)
{
    for (Candidate &candidate : candidates) {
        const bool isLight = isLightlyLoaded(loads, candidate.id, now);
        if (candidate.group == SameRegion && isLight) {
            candidate.group = SameRegionLight;
        } else if (candidate.group == OtherRegion && isLight) {
            candidate.group = OtherRegionLight;
        }
    }
}

/// Orders the preferred engines that stand first by their loads.
void orderPreferredByLoad(EngineRanking &ranking, const std::vector<Candidate> &candidates,
                          const EngineLoads &loads, std::uint64_t random, Millis now)
{
    const auto begin
            = std::find_if(candidates.begin(), candidates.end(),
                           [](const Candidate &candidate) { return candidate.group >= Preferred; });
    const auto end = std::find_if(begin, candidates.end(), [](const Candidate &candidate) {
        return candidate.group != Preferred || candidate.degraded;
    });
    const auto from = ranking.servers.begin() + (begin - candidates.begin());
    const auto to = ranking.servers.begin() + (end - candidates.begin());
    std::vector<BackendServerId> preferred(from, to);
    if (ranking.regional) {
        orderByTwoChoices(preferred, loads, random, now);
    } else if (preferred.size() > 1 && prefersSecond(loads, preferred[0], preferred[1], now)) {
        std::swap(preferred[0], preferred[1]);
    }
    std::copy(preferred.begin(), preferred.end(), from);
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

void recordResponse(ServerStats &stats, bool failed) noexcept
{
    stats.failureRate
            = stats.failureRate * (1 - newestFailureWeight) + (failed ? newestFailureWeight : 0);
}

void recordUnreachable(ServerStats &stats, Millis now) noexcept
{
    stats.avoidUntil = now + unreachableAvoidance;
}

void recordDemand(AdapterDemand &demand, std::string_view adapter, double perSecond, Millis now)
{
    if (demand.reports.size() > maxAdapterEntries) {
        std::erase_if(demand.reports, [now](const auto &entry) {
            return now - entry.second.at > demandReportLifetime;
        });
    }
    demand.reports.insert_or_assign(std::string(adapter), AdapterDemand::Report{perSecond, now});
}

double demandFor(const AdapterDemand &demand, std::string_view adapter, Millis now)
{
    const auto found = demand.reports.find(adapter);
    return found == demand.reports.end() || now - found->second.at > demandReportLifetime
            ? 0
            : found->second.perSecond;
}

void recordServedBy(AdapterAffinity &affinity, std::string_view adapter,
                    const BackendServerId &server, Millis now)
{
    if (affinity.lastServed.size() > maxAdapterEntries) {
        std::erase_if(affinity.lastServed, [now](const auto &entry) {
            return now - entry.second.servedAt > affinityLifetime;
        });
    }
    affinity.lastServed.insert_or_assign(std::string(adapter),
                                         AdapterAffinity::ServedBy{server, now});
}

std::optional<BackendServerId> lastEngine(const AdapterAffinity &affinity, std::string_view adapter,
                                          Millis now)
{
    const auto found = affinity.lastServed.find(adapter);
    if (found == affinity.lastServed.end() || now - found->second.servedAt > affinityLifetime) {
        return std::nullopt;
    }
    return found->second.server;
}

EngineRanking rankEngines(const std::vector<const ServerEntry *> &servers, const Location &location,
                          const ServerStatsMap &serverStats, const EngineQuery &query,
                          std::uint64_t random, Millis now)
{
    const std::string &adapter = query.name.adapter.str();
    const bool known = query.requestsPerSecond > 0;
    const std::size_t holders
            = known || adapter.empty() ? 0 : holdersInRegion(servers, location, query);
    EngineRanking ranking;
    ranking.regional
            = adapter.empty() || query.requestsPerSecond >= minRegionalDemand || holders > 1;
    std::vector<Candidate> candidates;
    for (const ServerEntry *server : servers) {
        Candidate candidate = candidateFor(*server, serverStats, query, now);
        const bool inOtherRegion
                = distanceTo(location, server->dataCentre) == Distance::OtherRegion;
        candidate.group = inOtherRegion && ranking.regional ? OtherRegion : SameRegion;
        candidates.push_back(std::move(candidate));
    }
    std::sort(candidates.begin(), candidates.end(), isPreferredBefore);
    const auto sameRegion = static_cast<std::size_t>(
            std::count_if(candidates.begin(), candidates.end(), [](const Candidate &candidate) {
                return candidate.group == SameRegion;
            }));
    const std::size_t preferredWanted = holders > 1
            ? holders
            : preferredCount(adapter, query.requestsPerSecond, candidates.size());
    const std::size_t preferred
            = std::min(preferredWanted, sameRegion == 0 ? candidates.size() : sameRegion);
    for (std::size_t i = 0; i < preferred; ++i) {
        Candidate &candidate = candidates[i];
        candidate.group = std::min(candidate.group, static_cast<int>(Preferred));
        ranking.preferred.push_back(candidate.id);
        if (ranking.regional) {
            // All daemons rank the same engines as preferred; the random score keeps them from
            // sending all requests to one of these.
            candidate.score = mixHash(random, hash64(candidate.id.str()));
        }
    }
    if (!ranking.regional && !candidates.empty() && candidates.front().holds) {
        candidates.front().group = Holder;
    }
    for (Candidate &candidate : candidates) {
        if (!ranking.regional && candidate.id == query.lastEngine) {
            candidate.group = LastServed;
        }
    }
    if (query.loads != nullptr) {
        groupByLoad(candidates, *query.loads, now);
    }
    std::sort(candidates.begin(), candidates.end(), isBetter);
    for (const Candidate &candidate : candidates) {
        ranking.servers.push_back(candidate.id);
    }
    if (query.loads != nullptr) {
        orderPreferredByLoad(ranking, candidates, *query.loads, random, now);
    }
    return ranking;
}

std::vector<BackendServerId> rankReplicas(const std::vector<const ServerEntry *> &servers,
                                          const Location &location,
                                          const ServerStatsMap &serverStats, std::uint64_t random,
                                          Millis now)
{
    std::vector<std::pair<double, BackendServerId>> ranked;
    for (const ServerEntry *server : servers) {
        const ServerStats stats = statsOf(serverStats, server->id);
        double cost = stats.inFlight;
        const Distance distance = distanceTo(location, server->dataCentre);
        cost += distance == Distance::SameDataCentre ? 0
                : distance == Distance::SameRegion   ? sameRegionCost
                                                     : otherRegionCost;
        cost += isDegraded(stats, now) ? failureCost : 0;
        // Less than one request, so that it decides only between equal costs.
        constexpr double tieBreakScale = 0.1 / 18446744073709551616.0;
        cost += tieBreakScale * static_cast<double>(mixHash(random, hash64(server->id.str())));
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
