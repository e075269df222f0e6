#include <balsamport/edge/order_ownership.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>

namespace balsamport {

namespace {

/// Live daemons that may own an engine: those of its data centre, or all where it has none.
std::vector<VmId> candidates(const PeerTable &peers, const DataCentreId &dataCentre, Millis now)
{
    std::vector<VmId> near;
    std::vector<VmId> all{peers.self};
    if (peers.dataCentre == dataCentre) {
        near.push_back(peers.self);
    }
    for (const auto &[vm, peer] : peers.peers) {
        if (peer.draining || !isAlive(peers, peer, now)) {
            continue;
        }
        all.push_back(vm);
        if (peer.dataCentre == dataCentre) {
            near.push_back(vm);
        }
    }
    return near.empty() ? all : near;
}

const Peer *claimant(const PeerTable &peers, const BackendServerId &engine, Millis now)
{
    for (const auto &[vm, peer] : peers.peers) {
        if (peer.owned.count(engine) != 0 && isAlive(peers, peer, now)) {
            return &peer;
        }
    }
    return nullptr;
}

/// The live peer that claims each engine; the first of several.
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

void noteTouch(OrderOwnership &state, const OwnershipTimings &timings, const PeerTable &peers,
               Millis now)
{
    const bool allAlive
            = std::all_of(peers.peers.begin(), peers.peers.end(), [&peers, now](const auto &entry) {
                  return isAlive(peers, entry.second, now);
              });
    const bool stoodStill
            = state.lookedAt < Millis(0) || now - state.lookedAt >= timings.standstill;
    state.lookedAt = now;
    if (!allAlive) {
        state.inTouchSince = Millis(-1);
    } else if (stoodStill || state.inTouchSince < Millis(0)) {
        state.inTouchSince = now;
    }
}

bool ranksAbove(const VmId &a, const VmId &b, const BackendServerId &engine)
{
    return rendezvousFirst(engine.str(), std::vector<VmId>{a, b}) == a;
}

/// Whether an owner gives its engine up to a peer that claims it as well.
bool givesWay(const Peer &peer, const VmId &self, const BackendServerId &engine, bool settling)
{
    return settling == peer.inStartupGrace ? ranksAbove(peer.vm, self, engine) : settling;
}

} // namespace

bool isSettling(const OrderOwnership &state, const OwnershipTimings &timings, Millis now) noexcept
{
    return now - state.startedAt < timings.settle;
}

OwnershipChange updateOwnership(OrderOwnership &state, const OwnershipTimings &timings,
                                const std::vector<EngineSite> &engines, const PeerTable &peers,
                                bool leaving, Millis now)
{
    noteTouch(state, timings, peers, now);
    const bool settling = isSettling(state, timings, now);
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
            if (leaving || (peer != nullptr && givesWay(*peer, peers.self, engine.id, settling))) {
                state.owned.erase(engine.id);
                change.lost.push_back(engine.id);
            }
            continue;
        }
        const auto claimed = state.claimedByPeerAt.find(engine.id);
        const bool claimHolds
                = claimed != state.claimedByPeerAt.end() && now - claimed->second < timings.silence;
        if (leaving || peer != nullptr || claimHolds) {
            continue;
        }
        // Members of other data centres are heard of later than those of the own one.
        const bool near = engine.dataCentre == peers.dataCentre;
        const bool settled
                = now - state.startedAt >= (near ? timings.earlyClaim : timings.farSettle);
        if (!near && !settled) {
            continue;
        }
        if (rendezvousFirst(engine.id.str(), candidates(peers, engine.dataCentre, now))
            != peers.self) {
            continue;
        }
        if (settled) {
            state.owned.insert(engine.id);
        }
        (settled ? change.gained : change.likely).push_back(engine.id);
    }
    for (auto engine = state.owned.begin(); engine != state.owned.end();) {
        if (known.count(*engine) == 0) {
            change.lost.push_back(*engine);
            engine = state.owned.erase(engine);
        } else {
            ++engine;
        }
    }
    std::erase_if(state.claimedByPeerAt,
                  [&known](const auto &entry) { return known.count(entry.first) == 0; });
    return change;
}

bool isUncontested(const OrderOwnership &state, const OwnershipTimings &timings,
                   const BackendServerId &engine, Millis lease, Millis now)
{
    const bool looking = state.lookedAt >= Millis(0) && now - state.lookedAt < timings.standstill;
    const bool inTouch = state.inTouchSince >= Millis(0)
            && now - state.inTouchSince >= lease + timings.unnoticed;
    if (!looking || !inTouch || state.owned.count(engine) == 0) {
        return false;
    }
    const auto claimed = state.claimedByPeerAt.find(engine);
    return claimed == state.claimedByPeerAt.end() || now - claimed->second >= lease;
}

std::optional<VmId> ownerOf(const OrderOwnership &state, const PeerTable &peers,
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

FencingNumber fencingNumberFor(std::uint64_t contentRevision, std::uint64_t orderCount,
                               const VmId &vm)
{
    constexpr std::uint64_t vmNumbers = 4096;
    return FencingNumber((contentRevision + orderCount + 1) * vmNumbers
                         + hash64(vm.str()) % vmNumbers);
}

} // namespace balsamport
