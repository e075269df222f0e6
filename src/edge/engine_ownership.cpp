#include <balsamport/edge/engine_ownership.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>

namespace balsamport {

namespace {

/// @return live daemons that may own an engine: those in its data centre, or all where there are
/// none
std::vector<VmId> candidates(const PeerTable &peers, const DataCentreId &dataCentre, Millis now)
{
    std::vector<VmId> local;
    std::vector<VmId> all{peers.self};
    if (peers.dataCentre == dataCentre) {
        local.push_back(peers.self);
    }
    for (const auto &[vm, peer] : peers.peers) {
        if (peer.draining || !isAlive(peers, peer, now)) {
            continue;
        }
        all.push_back(vm);
        if (peer.dataCentre == dataCentre) {
            local.push_back(vm);
        }
    }
    return local.empty() ? all : local;
}

/// @return the first live peer that claims an engine, or nothing
const Peer *claimant(const PeerTable &peers, const BackendServerId &engine, Millis now)
{
    for (const auto &[vm, peer] : peers.peers) {
        if (peer.owned.count(engine) != 0 && isAlive(peers, peer, now)) {
            return &peer;
        }
    }
    return nullptr;
}

/// @return the live peer that claims each engine; the first of several
std::map<BackendServerId, const Peer *> claimants(const PeerTable &peers, Millis now)
{
    std::map<BackendServerId, const Peer *> result;
    for (const auto &[vm, peer] : peers.peers) {
        if (!peer.owned.empty() && isAlive(peers, peer, now)) {
            for (const BackendServerId &engine : peer.owned) {
                result.emplace(engine, &peer);
            }
        }
    }
    return result;
}

bool ranksAbove(const VmId &a, const VmId &b, const BackendServerId &engine)
{
    return rendezvousFirst(engine.str(), std::vector<VmId>{a, b}) == a;
}

/// @return true where an owner releases its engine to a peer that claims it as well
bool yieldsTo(const Peer &peer, const VmId &self, const BackendServerId &engine,
              bool inStartupGrace)
{
    return inStartupGrace == peer.inStartupGrace ? ranksAbove(peer.vm, self, engine)
                                                 : inStartupGrace;
}

} // namespace

bool isInStartupGrace(const EngineOwnership &state, const OwnershipTimings &timings,
                      Millis now) noexcept
{
    return now - state.startedAt < timings.startupGrace;
}

OwnershipChange updateOwnership(EngineOwnership &state, const OwnershipTimings &timings,
                                const std::vector<EngineSite> &engines, const PeerTable &peers,
                                bool draining, Millis now)
{
    const bool inStartupGrace = isInStartupGrace(state, timings, now);
    OwnershipChange change;
    std::set<BackendServerId> known;
    const std::map<BackendServerId, const Peer *> claims = claimants(peers, now);
    for (const EngineSite &engine : engines) {
        known.insert(engine.id);
        const auto claim = claims.find(engine.id);
        const Peer *peer = claim == claims.end() ? nullptr : claim->second;
        if (peer != nullptr) {
            state.claimedByPeerAt[engine.id] = peer->lastSeenAt;
        }
        if (state.owned.count(engine.id) != 0) {
            if (draining
                || (peer != nullptr && yieldsTo(*peer, peers.self, engine.id, inStartupGrace))) {
                state.owned.erase(engine.id);
                change.released.push_back(engine.id);
            }
            continue;
        }
        const auto claimed = state.claimedByPeerAt.find(engine.id);
        const bool claimHolds = claimed != state.claimedByPeerAt.end()
                && now - claimed->second < timings.claimTimeout;
        if (draining || peer != nullptr || claimHolds) {
            continue;
        }
        // Gossip about members of other data centres arrives later than about local ones.
        const bool local = engine.dataCentre == peers.dataCentre;
        const bool delayOver = now - state.startedAt
                >= (local ? timings.localClaimDelay : timings.remoteClaimDelay);
        if (!local && !delayOver) {
            continue;
        }
        if (rendezvousFirst(engine.id.str(), candidates(peers, engine.dataCentre, now))
            != peers.self) {
            continue;
        }
        if (delayOver) {
            state.owned.insert(engine.id);
        }
        (delayOver ? change.acquired : change.likely).push_back(engine.id);
    }
    for (auto engine = state.owned.begin(); engine != state.owned.end();) {
        if (known.count(*engine) == 0) {
            change.released.push_back(*engine);
            engine = state.owned.erase(engine);
        } else {
            ++engine;
        }
    }
    std::erase_if(state.claimedByPeerAt,
                  [&known](const auto &entry) { return known.count(entry.first) == 0; });
    return change;
}

std::set<BackendServerId> contestedEngines(const EngineOwnership &state, const PeerTable &peers,
                                           Millis now)
{
    std::set<BackendServerId> contested;
    for (const BackendServerId &engine : state.owned) {
        if (claimant(peers, engine, now) != nullptr) {
            contested.insert(engine);
        }
    }
    return contested;
}

std::optional<VmId> ownerOf(const EngineOwnership &state, const PeerTable &peers,
                            const EngineSite &engine, Millis now)
{
    if (state.owned.count(engine.id) != 0) {
        return peers.self;
    }
    const Peer *peer = claimant(peers, engine.id, now);
    if (peer != nullptr) {
        return peer->vm;
    }
    const std::vector<VmId> likely = candidates(peers, engine.dataCentre, now);
    const std::optional<VmId> first = rendezvousFirst(engine.id.str(), likely);
    return first == peers.self ? std::nullopt : first;
}

} // namespace balsamport
