#include <balsamport/policy/routing.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/rendezvous.h>
#include <balsamport/policy/link_budget.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace balsamport {

namespace {

constexpr Millis sweepInterval{5'000};
constexpr Millis waitLifetime{1'000}; ///< Reported waits expire after this time.
constexpr double boundedLoadFactor = 1.25; ///< Of the mean load per node.
constexpr std::size_t enginesPerPacked = 4; ///< Number of engines for each packed server.
constexpr std::size_t maxPackedCandidates = 2;

double decayed(const DecayedCount &count, Millis halfLife, Millis now) noexcept
{
    const auto age = static_cast<double>((now - count.at).count());
    return count.value * std::exp2(-age / static_cast<double>(halfLife.count()));
}

Millis knownWait(const NodeLoad &load, Millis now) noexcept
{
    return now - load.waitReportedAt < waitLifetime ? load.expectedWait : Millis(0);
}

std::int64_t roundTripCost(NodeDistance distance, const RouteCosts &costs) noexcept
{
    switch (distance) {
    case NodeDistance::DataCentre:
        return 0;
    case NodeDistance::Region:
        return costs.dataCentreRoundTrip.count();
    case NodeDistance::AcrossLink:
        return costs.linkRoundTrip.count();
    }
    return 0;
}

/// The nodes with the smallest keys, in ascending order.
struct BestNodes
{
    std::array<double, maxCandidates> keys{};
    std::array<std::uint32_t, maxCandidates> nodes{};
    std::size_t count = 0;

    void offer(double key, std::uint32_t node) noexcept
    {
        if (this->count == maxCandidates && key >= this->keys[maxCandidates - 1]) {
            return;
        }
        std::size_t at = this->count < maxCandidates ? this->count++ : maxCandidates - 1;
        while (at > 0 && this->keys[at - 1] > key) {
            this->keys[at] = this->keys[at - 1];
            this->nodes[at] = this->nodes[at - 1];
            --at;
        }
        this->keys[at] = key;
        this->nodes[at] = node;
    }
};

bool contains(const Candidates &candidates, std::uint32_t node) noexcept
{
    const auto *end = candidates.list.begin() + candidates.count;
    return std::any_of(candidates.list.begin(), end,
                       [node](const Candidate &c) { return c.node == node; });
}

void append(Candidates &candidates, const RouteGroup &group, const BestNodes &best, bool resident)
{
    for (std::size_t i = 0; i < best.count && candidates.count < maxCandidates; ++i) {
        if (!contains(candidates, best.nodes[i])) {
            const NodeDistance distance = group.nodes[best.nodes[i]].distance;
            candidates.list[candidates.count++] = {best.nodes[i], distance, resident};
        }
    }
}

double residentCost(const RouteNode &node, const NodeLoad &load, const RouteCosts &costs,
                    Millis now) noexcept
{
    const double queue = static_cast<double>(load.inFlight) / node.batchWidth;
    return static_cast<double>(roundTripCost(node.distance, costs) + knownWait(load, now).count())
            + queue;
}

/// Returns the number of requests of this gateway above which a node ranks after the others.
double loadBound(const RoutingState &state) noexcept
{
    const auto nodes = static_cast<double>(std::max<std::size_t>(state.loads.size(), 1));
    return std::ceil(boundedLoadFactor * (static_cast<double>(state.inFlight) + 1) / nodes);
}

/// Returns the rendezvous score of a node for an adapter; cheap enough for hundreds of nodes.
constexpr std::uint64_t nodeScore(std::uint64_t adapterHash, std::uint64_t nodeHash) noexcept
{
    constexpr std::uint64_t adapterSalt = 0xa0761d6478bd642fULL;
    constexpr std::uint64_t nodeSalt = 0xe7037ed1a0b428dbULL;
    __extension__ using Wide = unsigned __int128;
    const Wide product = Wide{adapterHash ^ adapterSalt} * (nodeHash ^ nodeSalt);
    return static_cast<std::uint64_t>(product >> 64U) ^ static_cast<std::uint64_t>(product);
}

/// The nodes with the highest scores, in descending order.
struct BestScores
{
    std::array<std::uint64_t, maxCandidates> scores{};
    std::array<std::uint32_t, maxCandidates> nodes{};
    std::size_t count = 0;
    std::uint64_t threshold = 0; ///< Lower or equal scores are not added once the list is full.

    void offer(std::uint64_t score, std::uint32_t node) noexcept
    {
        if (this->count == maxCandidates && score <= this->threshold) {
            return;
        }
        std::size_t at = this->count < maxCandidates ? this->count++ : maxCandidates - 1;
        while (at > 0 && this->scores[at - 1] < score) {
            this->scores[at] = this->scores[at - 1];
            this->nodes[at] = this->nodes[at - 1];
            --at;
        }
        this->scores[at] = score;
        this->nodes[at] = node;
        this->threshold = this->count == maxCandidates ? this->scores[maxCandidates - 1] : 0;
    }
};

/// Ranks nodes by rendezvous hashing with bounded load: a node above its bound ranks after the
/// others.
BestScores rankByRendezvous(const RouteGroup &group, const NodeHashList &list,
                            const RoutingState &state, std::uint64_t adapterHash,
                            Millis now) noexcept
{
    constexpr std::uint64_t belowBound = std::uint64_t{1} << 63U;
    const double bound = loadBound(state);
    BestScores best;
    for (std::size_t i = 0; i < list.hashes.size(); ++i) {
        std::uint64_t score = nodeScore(adapterHash, list.hashes[i]) | belowBound;
        if (score <= best.threshold) {
            continue;
        }
        const std::uint32_t node = list.nodes[i];
        const NodeLoad &load = state.loads[node];
        if (now < load.avoidUntil) {
            continue;
        }
        if (load.inFlight > bound && load.inFlight >= group.nodes[node].batchWidth) {
            score &= ~belowBound;
        }
        best.offer(score, node);
    }
    return best;
}

void append(Candidates &candidates, const RouteGroup &group, const BestScores &best) noexcept
{
    for (std::size_t i = 0; i < best.count && candidates.count < maxCandidates; ++i) {
        if (!contains(candidates, best.nodes[i])) {
            const NodeDistance distance = group.nodes[best.nodes[i]].distance;
            candidates.list[candidates.count++] = {best.nodes[i], distance, false};
        }
    }
}

/// Appends packed servers: up to maxPackedCandidates in their fixed order, more of them by
/// rendezvous hashing, so that each adapter has its own first candidates.
void appendPacked(Candidates &candidates, const RouteGroup &group, const RoutingState &state,
                  std::uint64_t adapterHash, Millis now) noexcept
{
    const bool fixedOrder = group.packed.size() <= maxPackedCandidates;
    BestNodes best;
    for (std::size_t i = 0; i < group.packed.size(); ++i) {
        const std::uint32_t node = group.packed[i];
        if (now < state.loads[node].avoidUntil) {
            continue;
        }
        const auto score = static_cast<double>(nodeScore(adapterHash, group.nodes[node].hash));
        best.offer(fixedOrder ? static_cast<double>(i) : -score, node);
    }
    best.count = std::min(best.count, maxPackedCandidates);
    append(candidates, group, best, false);
}

} // namespace

std::optional<CandidateQuery> nextCandidate(CandidateProgress &progress,
                                            const RouteGroup &group) noexcept
{
    if (progress.next < progress.candidates.count) {
        const Candidate candidate = progress.candidates.list[progress.next++];
        ++progress.queried;
        const bool last
                = progress.next == progress.candidates.count && !progress.shortestWait.has_value();
        return CandidateQuery{candidate, last};
    }
    if (!progress.shortestWait) {
        return std::nullopt;
    }
    const std::uint32_t node = progress.shortestWait->node;
    progress.shortestWait.reset();
    ++progress.queried;
    return CandidateQuery{{node, group.nodes[node].distance, false}, true};
}

void recordRedirect(CandidateProgress &progress, std::uint32_t node, Millis wait) noexcept
{
    if (!progress.shortestWait || wait < progress.shortestWait->wait) {
        progress.shortestWait = RedirectOffer{node, wait};
    }
}

std::vector<BackendServerId> packedServers(const Snapshot &snapshot, const BaseModelId &base)
{
    std::set<RegionId> storeRegions;
    for (const auto &[id, config] : snapshot.dataCentres) {
        if (config.hasWeightStore) {
            storeRegions.insert(config.region);
        }
    }
    std::vector<BackendServerId> storeRegionEngines;
    std::size_t engines = 0;
    for (const auto &[id, server] : snapshot.backendServers) {
        if (server.kind != BackendServerKind::Engine || server.base != base || server.draining) {
            continue;
        }
        ++engines;
        if (storeRegions.contains(snapshot.regionOf(server.dataCentre))) {
            storeRegionEngines.push_back(id);
        }
    }
    std::vector<BackendServerId> ranked
            = rendezvousRank("packed-" + base.str(), storeRegionEngines);
    ranked.resize(std::min(ranked.size(), engines / enginesPerPacked));
    return ranked;
}

RoutingTable buildRoutingTable(const Snapshot &snapshot, const DataCentreId &dataCentre)
{
    RoutingTable table;
    table.dataCentre = dataCentre;
    const RegionId ownRegion = snapshot.regionOf(dataCentre);
    std::vector<RegionId> storeRegions;
    for (const auto &[id, config] : snapshot.dataCentres) {
        if (config.hasWeightStore) {
            storeRegions.push_back(config.region);
        }
    }
    for (const auto &[id, server] : snapshot.backendServers) {
        if (server.draining) {
            continue;
        }
        const bool isEngine = server.kind == BackendServerKind::Engine;
        RouteGroup &group = isEngine ? table.engines[server.base] : table.services[server.service];
        const RegionId region = snapshot.regionOf(server.dataCentre);
        NodeDistance distance = NodeDistance::AcrossLink;
        if (server.dataCentre == dataCentre) {
            distance = NodeDistance::DataCentre;
        } else if (region == ownRegion) {
            distance = NodeDistance::Region;
        }
        const bool inStoreRegion = storeRegions.empty()
                || std::find(storeRegions.begin(), storeRegions.end(), region)
                        != storeRegions.end();
        group.storeRegionSize += inStoreRegion ? 1 : 0;
        group.ownRegionSize += distance == NodeDistance::AcrossLink ? 0 : 1;
        group.nodes.push_back({id, server.address, hash64(id.str()), distance, inStoreRegion,
                               std::max(server.batchWidth, 1U)});
    }
    for (auto &[base, group] : table.engines) {
        indexNodes(group);
        for (const BackendServerId &id : packedServers(snapshot, base)) {
            const auto found = std::find_if(group.nodes.begin(), group.nodes.end(),
                                            [&id](const RouteNode &node) { return node.id == id; });
            group.packed.push_back(static_cast<std::uint32_t>(found - group.nodes.begin()));
        }
    }
    return table;
}

bool poolsRegions(const RouteGroup &group, const LimitsConfig &limits,
                  std::uint64_t adapterBytes) noexcept
{
    if (group.nodes.empty()) {
        return false;
    }
    // Both sides are bytes per thousand seconds, multiplied by the number of nodes.
    constexpr std::uint64_t seconds = 1'000;
    const std::uint64_t nodesOutsideStoreRegion = group.nodes.size() - group.storeRegionSize;
    const std::uint64_t loadedBytes
            = limits.storeLoadsPerThousandSeconds * nodesOutsideStoreRegion * adapterBytes;
    const std::uint64_t budget = limits.linkBytesPerSecond * linkLoadPercent / 100 * seconds;
    return loadedBytes <= budget * group.nodes.size();
}

Candidates chooseCandidates(const RouteGroup &group, const RoutingState &state,
                            const RouteCosts &costs, std::uint64_t adapterHash, Millis now,
                            const std::vector<std::uint64_t> &prefixes) noexcept
{
    Candidates candidates;
    bool justifiesCopy = false;
    bool needsReplica = false;
    const auto found = state.replicas.find(adapterHash);
    if (found != state.replicas.end()) {
        const AdapterReplicas &replicas = found->second;
        justifiesCopy = !costs.poolRegions
                && decayed(replicas.demand, costs.demandHalfLife, now) >= costs.copyDemandThreshold;
        needsReplica = replicas.count < replicas.wantedReplicas;
        BestNodes best;
        for (std::size_t i = 0; i < replicas.count; ++i) {
            const std::uint32_t node = replicas.nodes[i];
            if (now >= state.loads[node].avoidUntil) {
                const std::size_t cachedPrefixes = prefixMatch(state.prefixes, prefixes, node, now);
                const auto gain = static_cast<double>(costs.cachedPrefixGain.count())
                        * static_cast<double>(cachedPrefixes);
                best.offer(residentCost(group.nodes[node], state.loads[node], costs, now) - gain,
                           node);
            }
        }
        const bool inOwnRegion
                = best.count > 0 && group.nodes[best.nodes[0]].distance != NodeDistance::AcrossLink;
        if (!needsReplica && (inOwnRegion || !justifiesCopy || group.ownRegionSize == 0)) {
            append(candidates, group, best, true);
        }
    }
    if (costs.packBatches) {
        appendPacked(candidates, group, state, adapterHash, now);
    }
    const auto addByRendezvous = [&](const NodeHashList &list) {
        if (candidates.count < maxCandidates) {
            append(candidates, group, rankByRendezvous(group, list, state, adapterHash, now));
        }
    };
    if (justifiesCopy) {
        addByRendezvous(group.ownRegion);
    }
    if (!costs.poolRegions) {
        addByRendezvous(group.storeRegion);
    }
    addByRendezvous(group.all);
    return candidates;
}

std::optional<BackendServerId> preferredEngineOf(const Snapshot &snapshot,
                                                 const AdapterRef &adapter)
{
    const RoutingTable table = buildRoutingTable(snapshot, DataCentreId());
    const auto group = table.engines.find(adapter.base);
    if (group == table.engines.end()) {
        return std::nullopt;
    }
    RoutingState state;
    state.loads.resize(group->second.nodes.size());
    RouteCosts costs;
    const auto config = snapshot.findAdapter(adapter.adapter);
    costs.packBatches = packsBatches(snapshot.limits.weightPercent);
    costs.poolRegions = poolsRegions(group->second, snapshot.limits, config ? config->bytes : 0);
    const Candidates candidates
            = chooseCandidates(group->second, state, costs, hashOf(adapter), Millis(0));
    if (candidates.count == 0) {
        return std::nullopt;
    }
    return group->second.nodes[candidates.list[0].node].id;
}

Candidates chooseServiceNodes(const RouteGroup &group, const RoutingState &state,
                              Millis now) noexcept
{
    BestNodes best;
    constexpr double distanceCost = 1e6;
    constexpr double avoidCost = 1e9;
    for (std::uint32_t i = 0; i < group.nodes.size(); ++i) {
        const NodeLoad &load = state.loads[i];
        const bool across = group.nodes[i].distance == NodeDistance::AcrossLink;
        const bool region = group.nodes[i].distance == NodeDistance::Region;
        const double key = (across ? distanceCost : 0) + (region ? 0.5 : 0) + load.inFlight
                + (now < load.avoidUntil ? avoidCost : 0);
        best.offer(key, i);
    }
    Candidates candidates;
    append(candidates, group, best, false);
    return candidates;
}

void recordRequest(RoutingState &state, const RouteCosts &costs, std::uint64_t adapterHash,
                   Millis now)
{
    AdapterReplicas &replicas = state.replicas[adapterHash];
    replicas.demand = {decayed(replicas.demand, costs.demandHalfLife, now) + 1, now};
    replicas.usedAt = now;
}

void recordGrant(RoutingState &state, const RouteCosts &costs, std::uint64_t adapterHash,
                 std::uint32_t node, Millis queueWait, Millis now)
{
    AdapterReplicas &replicas = state.replicas[adapterHash];
    replicas.usedAt = now;
    const auto *end = replicas.nodes.begin() + replicas.count;
    if (std::find(replicas.nodes.cbegin(), end, node) == end && replicas.count < maxReplicas) {
        replicas.nodes[replicas.count++] = node;
    }
    if (queueWait > costs.addReplicaWait) {
        if (replicas.wantedReplicas == replicas.count && replicas.wantedReplicas < maxReplicas) {
            ++replicas.wantedReplicas;
        }
        replicas.shortWaitsSince = now;
    } else if (replicas.wantedReplicas > 1
               && now - replicas.shortWaitsSince > costs.dropReplicaAfter) {
        --replicas.wantedReplicas;
        replicas.count = std::min(replicas.count, replicas.wantedReplicas);
        replicas.shortWaitsSince = now;
    }
}

void recordRequestStart(RoutingState &state, std::uint32_t node) noexcept
{
    ++state.loads[node].inFlight;
    ++state.inFlight;
}

void recordRequestEnd(RoutingState &state, std::uint32_t node) noexcept
{
    if (state.loads[node].inFlight > 0) {
        --state.loads[node].inFlight;
        --state.inFlight;
    }
}

void indexNodes(RouteGroup &group)
{
    group.all = group.storeRegion = group.ownRegion = NodeHashList();
    const auto add = [](NodeHashList &list, std::uint64_t hash, std::uint32_t index) {
        list.hashes.push_back(hash);
        list.nodes.push_back(index);
    };
    for (std::uint32_t i = 0; i < group.nodes.size(); ++i) {
        const RouteNode &node = group.nodes[i];
        add(group.all, node.hash, i);
        if (node.inStoreRegion) {
            add(group.storeRegion, node.hash, i);
        }
        if (node.distance != NodeDistance::AcrossLink) {
            add(group.ownRegion, node.hash, i);
        }
    }
}

void recordNotResident(RoutingState &state, std::uint64_t adapterHash, std::uint32_t node) noexcept
{
    const auto found = state.replicas.find(adapterHash);
    if (found == state.replicas.end()) {
        return;
    }
    AdapterReplicas &replicas = found->second;
    auto *end = replicas.nodes.begin() + replicas.count;
    auto *at = std::find(replicas.nodes.begin(), end, node);
    if (at != end) {
        std::copy(at + 1, end, at);
        --replicas.count;
    }
}

void recordExpectedWait(RoutingState &state, std::uint32_t node, Millis wait, Millis now) noexcept
{
    state.loads[node].expectedWait = wait;
    state.loads[node].waitReportedAt = now;
}

RoutingState remapRoutingState(const RouteGroup &before, const RoutingState &state,
                               const RouteGroup &after)
{
    RoutingState next;
    next.capacity = state.capacity;
    next.sweptAt = state.sweptAt;
    next.loads.resize(after.nodes.size());
    constexpr auto removed = static_cast<std::uint32_t>(-1);
    std::vector<std::uint32_t> moved(before.nodes.size(), removed);
    for (std::uint32_t i = 0; i < before.nodes.size(); ++i) {
        const auto found = std::lower_bound(
                after.nodes.begin(), after.nodes.end(), before.nodes[i].id,
                [](const RouteNode &node, const BackendServerId &id) { return node.id < id; });
        if (found != after.nodes.end() && found->id == before.nodes[i].id) {
            moved[i] = static_cast<std::uint32_t>(found - after.nodes.begin());
            next.loads[moved[i]] = state.loads[i];
            next.inFlight += state.loads[i].inFlight;
        }
    }
    for (const auto &[hash, replicas] : state.replicas) {
        AdapterReplicas kept = replicas;
        kept.count = 0;
        for (std::size_t i = 0; i < replicas.count; ++i) {
            if (moved[replicas.nodes[i]] != removed) {
                kept.nodes[kept.count++] = moved[replicas.nodes[i]];
            }
        }
        next.replicas.emplace(hash, kept);
    }
    return next;
}

void sweepIdleAdapters(RoutingState &state, const RouteCosts &costs, Millis now)
{
    const bool full = state.replicas.size() > state.capacity;
    if (!full && now - state.sweptAt < sweepInterval) {
        return;
    }
    state.sweptAt = now;
    const Millis lifetime = full ? costs.replicaLifetime / 4 : costs.replicaLifetime;
    std::erase_if(state.replicas, [now, lifetime](const auto &entry) {
        return now - entry.second.usedAt > lifetime;
    });
}

} // namespace balsamport
