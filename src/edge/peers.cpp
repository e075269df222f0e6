#include <balsamport/edge/peers.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <utility>

namespace balsamport {

bool hearPeer(PeerTable &table, const PeerNews &news, Millis heardAt)
{
    if (news.vm == table.self || news.vm.empty()) {
        return false;
    }
    Peer &peer = table.peers[news.vm];
    if (heardAt < peer.heardAt) {
        return false;
    }
    const bool isNew = peer.incarnation != news.incarnation;
    if (peer.vm.empty()) {
        peer.firstTold = heardAt;
    }
    peer.vm = news.vm;
    peer.incarnation = news.incarnation;
    peer.endpoint = news.endpoint;
    peer.dataCentre = news.dataCentre;
    peer.leaving = news.leaving;
    peer.storeReachable = news.storeReachable;
    peer.owned = news.owned;
    peer.heardAt = heardAt;
    return isNew;
}

bool learnPeer(PeerTable &table, const PeerNews &news, Millis now)
{
    if (news.vm == table.self || news.vm.empty() || table.peers.count(news.vm) != 0) {
        return false;
    }
    Peer peer;
    peer.vm = news.vm;
    peer.endpoint = news.endpoint;
    peer.dataCentre = news.dataCentre;
    peer.firstTold = now;
    table.peers.emplace(news.vm, peer);
    return true;
}

std::vector<VmId> forgetPeers(PeerTable &table, Millis now)
{
    std::vector<VmId> forgotten;
    for (auto peer = table.peers.begin(); peer != table.peers.end();) {
        const Millis last = std::max(peer->second.heardAt, peer->second.firstTold);
        if (now - last > table.timings.forgetTime) {
            forgotten.push_back(peer->first);
            peer = table.peers.erase(peer);
        } else {
            ++peer;
        }
    }
    return forgotten;
}

bool isAlive(const PeerTable &table, const Peer &peer, Millis now) noexcept
{
    const Millis limit = peer.dataCentre == table.dataCentre ? table.timings.nearAlive
                                                             : table.timings.farAlive;
    return peer.heardAt >= Millis(0) && now - peer.heardAt <= limit;
}

GossipTargets gossipTargets(PeerTable &table, bool leaving, Millis now)
{
    GossipTargets targets;
    std::vector<VmId> delegates;
    if (!leaving) {
        delegates.push_back(table.self);
    }
    for (const auto &[vm, peer] : table.peers) {
        if (peer.dataCentre != table.dataCentre) {
            targets.far.push_back(&peer);
            continue;
        }
        targets.near.push_back(&peer);
        if (!peer.leaving && isAlive(table, peer, now)) {
            delegates.push_back(vm);
        }
    }
    const std::uint64_t round = table.round++;
    const auto roundsPerFar = static_cast<std::uint64_t>(std::max<std::int64_t>(
            1, table.timings.farPeriod.count() / table.timings.nearPeriod.count()));
    const std::size_t far = targets.far.size();
    // All of a small fleet every farPeriod, a part of a large one in turn.
    const std::size_t stride = (far + table.timings.farPeersPerSecond - 1)
            / std::max<std::size_t>(1, table.timings.farPeersPerSecond);
    if (round % roundsPerFar != 0 || rendezvousFirst("delegate", delegates) != table.self) {
        targets.far.clear();
    } else if (stride > 1) {
        std::vector<const Peer *> part;
        for (std::size_t i = round / roundsPerFar % stride; i < far; i += stride) {
            part.push_back(targets.far[i]);
        }
        targets.far = std::move(part);
    }
    return targets;
}

bool isStoreReader(const PeerTable &table, bool selfReachesStore, Millis now)
{
    if (!selfReachesStore) {
        return false;
    }
    std::vector<VmId> readers{table.self};
    for (const auto &[vm, peer] : table.peers) {
        if (peer.dataCentre == table.dataCentre && peer.storeReachable && !peer.leaving
            && isAlive(table, peer, now)) {
            readers.push_back(vm);
        }
    }
    return rendezvousFirst("store-reader", readers) == table.self;
}

} // namespace balsamport
