#include <balsamport/edge/peers.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>

namespace balsamport {

bool hearPeer(PeerTable &table, const PeerNews &news, Millis now)
{
    if (news.vm == table.self) {
        return false;
    }
    Peer &peer = table.peers[news.vm];
    const bool isNew = peer.incarnation != news.incarnation;
    if (peer.vm.empty()) {
        peer.firstTold = now;
    }
    peer.vm = news.vm;
    peer.incarnation = news.incarnation;
    peer.endpoint = news.endpoint;
    peer.dataCentre = news.dataCentre;
    peer.leaving = news.leaving;
    peer.storeReachable = news.storeReachable;
    peer.owned = news.owned;
    peer.heardAt = now;
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
    return peer.heardAt >= Millis(0) && now - peer.heardAt <= table.timings.aliveTime;
}

std::vector<const Peer *> gossipTargets(PeerTable &table)
{
    std::vector<const Peer *> near;
    std::vector<const Peer *> far;
    for (const auto &[vm, peer] : table.peers) {
        (peer.dataCentre == table.dataCentre ? near : far).push_back(&peer);
    }
    const std::uint64_t round = table.round++;
    // The far period is a multiple of the near one, which is the length of a round.
    const auto roundsPerFar = static_cast<std::uint64_t>(std::max<std::int64_t>(
            1, table.timings.farPeriod.count() / table.timings.nearPeriod.count()));
    if (round % roundsPerFar == 0 && !far.empty()) {
        const std::size_t count = std::min(far.size(), table.timings.farPeersPerRound);
        const std::size_t first = round / roundsPerFar * count % far.size();
        for (std::size_t i = 0; i < count; ++i) {
            near.push_back(far[(first + i) % far.size()]);
        }
    }
    return near;
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
