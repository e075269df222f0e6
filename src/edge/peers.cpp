#include <balsamport/edge/peers.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

constexpr std::string_view delegateRole = "delegate";
/// Daemons of another data centre that a message for all of it is sent to.
constexpr std::size_t relaysPerDataCentre = 2;

} // namespace

bool updatePeer(PeerTable &table, const PeerStatus &news, Millis lastSeenAt)
{
    if (news.vm == table.self || news.vm.empty()) {
        return false;
    }
    Peer &peer = table.peers[news.vm];
    if (lastSeenAt < peer.lastSeenAt) {
        return false;
    }
    const bool isNew = peer.incarnation != news.incarnation;
    if (peer.vm.empty()) {
        peer.discoveredAt = lastSeenAt;
    }
    peer.vm = news.vm;
    peer.incarnation = news.incarnation;
    peer.endpoint = news.endpoint;
    peer.dataCentre = news.dataCentre;
    peer.draining = news.draining;
    peer.storeReachable = news.storeReachable;
    peer.inStartupGrace = news.inStartupGrace;
    peer.owned = news.owned;
    peer.lastSeenAt = lastSeenAt;
    return isNew;
}

bool discoverPeer(PeerTable &table, const PeerStatus &news, Millis now)
{
    if (news.vm == table.self || news.vm.empty() || table.peers.count(news.vm) != 0) {
        return false;
    }
    Peer peer;
    peer.vm = news.vm;
    peer.endpoint = news.endpoint;
    peer.dataCentre = news.dataCentre;
    peer.discoveredAt = now;
    table.peers.emplace(news.vm, peer);
    return true;
}

std::vector<VmId> removeSilentPeers(PeerTable &table, Millis now)
{
    std::vector<VmId> forgotten;
    for (auto peer = table.peers.begin(); peer != table.peers.end();) {
        const Millis last = std::max(peer->second.lastSeenAt, peer->second.discoveredAt);
        if (now - last > table.timings.silentPeerRetention) {
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
    const Millis limit = peer.dataCentre == table.dataCentre ? table.timings.localPeerTimeout
                                                             : table.timings.remotePeerTimeout;
    return peer.lastSeenAt >= Millis(0) && now - peer.lastSeenAt <= limit;
}

bool isDelegate(const PeerTable &table, bool draining, Millis now)
{
    if (draining) {
        return false;
    }
    std::vector<VmId> members{table.self};
    for (const auto &[vm, peer] : table.peers) {
        if (peer.dataCentre == table.dataCentre && !peer.draining && isAlive(table, peer, now)) {
            members.push_back(vm);
        }
    }
    return rendezvousFirst(delegateRole, members) == table.self;
}

bool shouldRelay(const PeerTable &table, const DataCentreId &from, bool draining, Millis now)
{
    // Two rounds of the sender's delegate.
    const Millis missed = table.timings.remoteGossipPeriod * 2;
    const bool heardLately
            = std::any_of(table.peers.begin(), table.peers.end(), [&](const auto &entry) {
                  return entry.second.dataCentre == from && entry.second.lastSeenAt >= Millis(0)
                          && now - entry.second.lastSeenAt < missed;
              });
    return !draining && (!heardLately || isDelegate(table, draining, now));
}

GossipTargets remoteTargets(const PeerTable &table, Millis now)
{
    GossipTargets targets;
    std::map<DataCentreId, std::vector<const Peer *>> byDataCentre;
    for (const auto &[vm, peer] : table.peers) {
        if (peer.dataCentre != table.dataCentre) {
            targets.remote.push_back(&peer);
            byDataCentre[peer.dataCentre].push_back(&peer);
        }
    }
    if (targets.remote.size() <= table.timings.maxDirectRemotePeers) {
        return targets;
    }
    targets.relayed = true;
    targets.remote.clear();
    for (auto &[dataCentre, members] : byDataCentre) {
        // The likely delegate and the next, as the delegate may be gone. Members that fell silent
        // come last, in turn, so that a data centre that was cut off is found again.
        const auto rank = [&](const Peer *peer) {
            const bool usable = !peer->draining && isAlive(table, *peer, now);
            const std::uint64_t score
                    = rendezvousScore(hash64(delegateRole), hash64(peer->vm.str()));
            return std::make_pair(usable ? 1 : 0, usable ? score : mixHash(score, table.round));
        };
        const std::size_t relays = std::min(relaysPerDataCentre, members.size());
        std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(relays),
                          members.end(),
                          [&rank](const Peer *a, const Peer *b) { return rank(a) > rank(b); });
        targets.remote.insert(targets.remote.end(), members.begin(),
                              members.begin() + static_cast<std::ptrdiff_t>(relays));
    }
    return targets;
}

bool needsMemberList(const PeerTable &table, std::size_t knownPeers, Millis now)
{
    const auto alive = static_cast<std::size_t>(
            std::count_if(table.peers.begin(), table.peers.end(),
                          [&](const auto &entry) { return isAlive(table, entry.second, now); }));
    // What is missing otherwise is told in the usual rounds.
    return knownPeers * 2 < alive;
}

GossipTargets gossipTargets(PeerTable &table, bool draining, Millis now)
{
    GossipTargets targets;
    const std::uint64_t round = table.round++;
    const auto roundsPerRemoteRound = static_cast<std::uint64_t>(std::max<std::int64_t>(
            1, table.timings.remoteGossipPeriod.count() / table.timings.localGossipPeriod.count()));
    if (round % roundsPerRemoteRound == 0 && isDelegate(table, draining, now)) {
        targets = remoteTargets(table, now);
    }
    std::vector<const Peer *> localPeers;
    for (const auto &[vm, peer] : table.peers) {
        if (peer.dataCentre == table.dataCentre) {
            localPeers.push_back(&peer);
        }
    }
    const std::size_t stride = localPeers.size() > table.timings.maxLocalPeersPerRound ? 2 : 1;
    for (std::size_t i = round % stride; i < localPeers.size(); i += stride) {
        targets.local.push_back(localPeers[i]);
    }
    return targets;
}

std::vector<const Peer *> peersToAnnounce(PeerTable &table, Millis now)
{
    std::vector<const Peer *> told;
    const std::size_t count = table.peers.size();
    const std::size_t turn = count == 0 ? 0 : table.round % count;
    std::size_t index = 0;
    for (auto &[vm, peer] : table.peers) {
        const bool isTurn = index++ == turn;
        if (!isAlive(table, peer, now)) {
            continue;
        }
        if (peer.announcementsLeft > 0 || isTurn) {
            peer.announcementsLeft -= peer.announcementsLeft > 0 ? 1 : 0;
            told.push_back(&peer);
        }
    }
    return told;
}

std::size_t storeReaderRank(const PeerTable &table, bool selfReachesStore, Millis now)
{
    const std::uint64_t role = hash64("store-reader");
    const std::uint64_t own = rendezvousScore(role, hash64(table.self.str()));
    std::size_t rank = 0;
    for (const auto &[vm, peer] : table.peers) {
        if (peer.dataCentre == table.dataCentre && peer.storeReachable && !peer.draining
            && isAlive(table, peer, now)) {
            const std::uint64_t score = rendezvousScore(role, hash64(vm.str()));
            const bool before = score > own || (score == own && vm < table.self);
            rank += before || !selfReachesStore ? 1 : 0;
        }
    }
    // A daemon that the store does not answer is no reader, even where nobody else is left.
    return selfReachesStore ? rank : std::max<std::size_t>(rank, 1);
}

Millis maxStaleness(std::size_t rank) noexcept
{
    constexpr Millis firstStaleAge{2'000};
    // Long enough for a read to be told to the others, short enough that the last one still keeps
    // to the 3 s in which a configuration must be in force after the reader has fallen silent.
    constexpr Millis step{150};
    constexpr std::size_t mostSteps = 6;
    return firstStaleAge
            + step * static_cast<std::int64_t>(std::min(rank == 0 ? 0 : rank - 1, mostSteps));
}

Millis initialReadDelay(std::size_t rank) noexcept
{
    // Peers of the data centre answer a greeting well within this.
    constexpr Millis greeting{150};
    // For the first one's list and its way to the others. Source: docs/incidents/inc-7b0f.md, half
    // a megabyte for each data centre over 60 Mbit/s.
    constexpr Millis firstList{500};
    constexpr Millis step{150};
    constexpr std::size_t mostSteps = 6;
    if (rank == 0) {
        return greeting;
    }
    return greeting + firstList + step * static_cast<std::int64_t>(std::min(rank - 1, mostSteps));
}

} // namespace balsamport
