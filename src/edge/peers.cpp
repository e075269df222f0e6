#include <balsamport/edge/peers.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

constexpr std::string_view delegateRole = "delegate";
/// Daemons of another data centre that receive a message for all of its daemons.
constexpr std::size_t relaysPerDataCentre = 2;

} // namespace

bool updatePeer(PeerTable &table, const PeerStatus &status, Millis lastSeenAt)
{
    if (status.vm == table.self || status.vm.empty()) {
        return false;
    }
    table.removed.erase(status.vm);
    Peer &peer = table.peers[status.vm];
    if (lastSeenAt < peer.lastSeenAt) {
        return false;
    }
    const bool isNew = peer.incarnation != status.incarnation;
    if (peer.vm.empty()) {
        peer.discoveredAt = lastSeenAt;
    }
    peer.vm = status.vm;
    peer.incarnation = status.incarnation;
    peer.endpoint = status.endpoint;
    peer.dataCentre = status.dataCentre;
    peer.draining = status.draining;
    peer.storeReachable = status.storeReachable;
    peer.inStartupGrace = status.inStartupGrace;
    peer.owned = status.owned;
    peer.engineLoads = status.engineLoads;
    if (isNew || status.knownMembers != 0) { // A delegate doesn't state it for its members.
        peer.knownMembers = status.knownMembers;
    }
    peer.lastSeenAt = lastSeenAt;
    table.known.insert_or_assign(status.vm,
                                 KnownDaemon{status.dataCentre, lastSeenAt, status.draining});
    return isNew;
}

bool discoverPeer(PeerTable &table, const PeerStatus &status, Millis now)
{
    if (status.vm == table.self || status.vm.empty() || table.peers.count(status.vm) != 0) {
        return false;
    }
    table.removed.erase(status.vm);
    Peer peer;
    peer.vm = status.vm;
    peer.endpoint = status.endpoint;
    peer.dataCentre = status.dataCentre;
    peer.discoveredAt = now;
    table.peers.emplace(status.vm, peer);
    table.known.try_emplace(status.vm, KnownDaemon{status.dataCentre, now, false});
    return true;
}

std::vector<VmId> removeSilentPeers(PeerTable &table, bool hasMajority, Millis now)
{
    std::erase_if(table.removed, [&](const auto &entry) {
        return now - entry.second > table.timings.removedPeerMemory;
    });
    std::erase_if(table.known, [&](const auto &entry) {
        return now - entry.second.knownAt > table.timings.removedPeerMemory;
    });
    std::vector<VmId> removed;
    for (auto peer = table.peers.begin(); peer != table.peers.end();) {
        const Millis silentSince = std::max(peer->second.lastSeenAt, peer->second.discoveredAt);
        if (now - silentSince > table.timings.silentPeerRetention) {
            removed.push_back(peer->first);
            if (!hasMajority && !peer->second.draining) {
                table.removed.emplace(peer->first, now);
            }
            peer = table.peers.erase(peer);
        } else {
            ++peer;
        }
    }
    return removed;
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
    // Two rounds of the delegate of the sender's data centre.
    const Millis silenceLimit = table.timings.remoteGossipPeriod * 2;
    const bool seenRecently
            = std::any_of(table.peers.begin(), table.peers.end(), [&](const auto &entry) {
                  return entry.second.dataCentre == from && entry.second.lastSeenAt >= Millis(0)
                          && now - entry.second.lastSeenAt < silenceLimit;
              });
    return !draining && (!seenRecently || isDelegate(table, draining, now));
}

std::size_t possibleDaemons(const PeerTable &table, Millis window, Millis now)
{
    auto count = static_cast<std::size_t>(
            std::count_if(table.known.begin(), table.known.end(), [&](const auto &entry) {
                return !entry.second.draining || now - entry.second.knownAt <= window;
            }));
    for (const auto &[vm, peer] : table.peers) {
        count = std::max<std::size_t>(count, peer.knownMembers);
    }
    return count + 1;
}

std::size_t budgetSharers(const PeerTable &table, const FleetEvidence &evidence, Millis window,
                          Millis now)
{
    const std::size_t possible = possibleDaemons(table, window, now);
    if (!evidence.hasOtherSeeds) {
        return possible;
    }
    std::set<DataCentreId> missing = evidence.dataCentres;
    missing.erase(table.dataCentre);
    for (const auto &[vm, daemon] : table.known) {
        missing.erase(daemon.dataCentre);
    }
    // Later, a data centre without a message is taken for one that has no daemons.
    const bool mayBeHidden
            = !missing.empty() && now - evidence.startedAt <= table.timings.removedPeerMemory;
    return possible == 1 || mayBeHidden ? 0 : possible;
}

std::vector<PermitMember> permitMembers(const PeerTable &table, const DataCentreId &dataCentre,
                                        bool draining, Millis now)
{
    const auto membersOf = [&](const std::optional<DataCentreId> &wanted) {
        std::vector<PermitMember> members;
        if (!draining && (!wanted || table.dataCentre == *wanted)) {
            members.push_back(PermitMember{table.self, true});
        }
        for (const auto &[vm, peer] : table.peers) {
            if (!peer.draining && peer.lastSeenAt >= Millis(0)
                && (!wanted || peer.dataCentre == *wanted)) {
                members.push_back(PermitMember{vm, isAlive(table, peer, now)});
            }
        }
        return members;
    };
    std::vector<PermitMember> members = membersOf(dataCentre);
    if (members.empty()) {
        members = membersOf(std::nullopt);
    }
    if (members.empty()) {
        members.push_back(PermitMember{table.self, true}); // The last daemon, although it drains.
    }
    return members;
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
        // The probable delegate and its successor, in case the delegate is dead. Silent members
        // come last and in rotation, so that a partitioned data centre is rediscovered.
        const auto rank = [&](const Peer *peer) {
            const bool available = !peer->draining && isAlive(table, *peer, now);
            const std::uint64_t score
                    = rendezvousScore(hash64(delegateRole), hash64(peer->vm.str()));
            return std::make_pair(available ? 1 : 0,
                                  available ? score : mixHash(score, table.round));
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
    // A peer that knows more gets the rest from the announcements of the regular rounds.
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
    std::vector<const Peer *> announced;
    const std::size_t count = table.peers.size();
    const std::size_t turnIndex = count == 0 ? 0 : table.round % count;
    std::size_t index = 0;
    for (auto &[vm, peer] : table.peers) {
        const bool isTurn = index++ == turnIndex;
        if (!isAlive(table, peer, now)) {
            continue;
        }
        if (peer.announcementsLeft > 0 || isTurn) {
            peer.announcementsLeft -= peer.announcementsLeft > 0 ? 1 : 0;
            announced.push_back(&peer);
        }
    }
    return announced;
}

std::size_t storeReaderRank(const PeerTable &table, bool selfReachesStore, Millis now)
{
    const std::uint64_t role = hash64("store-reader");
    const std::uint64_t ownScore = rendezvousScore(role, hash64(table.self.str()));
    std::size_t rank = 0;
    for (const auto &[vm, peer] : table.peers) {
        if (peer.dataCentre == table.dataCentre && peer.storeReachable && !peer.draining
            && isAlive(table, peer, now)) {
            const std::uint64_t score = rendezvousScore(role, hash64(vm.str()));
            const bool ranksHigher = score > ownScore || (score == ownScore && vm < table.self);
            rank += ranksHigher || !selfReachesStore ? 1 : 0;
        }
    }
    // A daemon that cannot reach the store is never the reader, even if no other daemon is left.
    return selfReachesStore ? rank : std::max<std::size_t>(rank, 1);
}

Millis maxStaleness(std::size_t rank) noexcept
{
    constexpr Millis readerStaleness{2'000};
    // Long enough for one daemon's read to reach the others, and short enough that the last rank
    // still puts a configuration in force within the required 3 s after the reader fell silent.
    constexpr Millis delayPerRank{150};
    constexpr std::size_t maxDelayedRanks = 6;
    return readerStaleness
            + delayPerRank
            * static_cast<std::int64_t>(std::min(rank == 0 ? 0 : rank - 1, maxDelayedRanks));
}

Millis initialReadDelay(std::size_t rank) noexcept
{
    // Time within which local peers reply to the first gossip of a daemon.
    constexpr Millis firstContact{150};
    // Time for the first daemon's list and its transfer to the others. Source:
    // docs/incidents/inc-7b0f.md, half a megabyte for each data centre over 60 Mbit/s.
    constexpr Millis firstList{500};
    constexpr Millis delayPerRank{150};
    constexpr std::size_t maxDelayedRanks = 6;
    if (rank == 0) {
        return firstContact;
    }
    return firstContact + firstList
            + delayPerRank * static_cast<std::int64_t>(std::min(rank - 1, maxDelayedRanks));
}

} // namespace balsamport
