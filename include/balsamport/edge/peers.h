#ifndef BALSAMPORT_EDGE_PEERS_H
#define BALSAMPORT_EDGE_PEERS_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Another daemon of the system as this one sees it.
struct Peer
{
    VmId vm;
    std::uint64_t incarnation = 0;
    std::string endpoint; ///< tcp://IP:PORT
    DataCentreId dataCentre;
    Millis lastSeenAt{-1}; ///< When it last spoke to this VM; -1 if only others told of it.
    Millis discoveredAt; ///< When this VM learnt of it.
    bool draining = false;
    bool storeReachable = false;
    bool inStartupGrace = false; ///< Started too lately to have heard all claims of others.
    std::uint32_t announcementsLeft
            = announcementRounds; ///< Rounds in which near peers are still told of it.
    std::set<BackendServerId> owned; ///< Backend servers that it gives orders to.

    /// Twice, so that one lost message does not hide a new peer.
    static constexpr std::uint32_t announcementRounds = 2;

    bool operator==(const Peer &) const = default;
};

/// @brief Times of the daemons' gossip.
///
/// Daemons of a data centre tell each other of themselves. One of them, the delegate, tells those
/// of other data centres of all its members. In a large fleet it tells two daemons of each other
/// data centre, whose delegate relays that to its own members: what crosses between data centres
/// then grows with the fleet, not with its square.
struct PeerTimings
{
    Millis localGossipPeriod{
            500}; ///< One round: between messages to a peer of the same data centre.
    /// Beyond as many near peers each is told in every second round. Two messages still come within
    /// localPeerTimeout, so that one late message makes no peer seem silent.
    std::size_t maxLocalPeersPerRound = 16;
    Millis remoteGossipPeriod{1'000}; ///< Between messages of the delegate, for a small fleet.
    std::size_t maxDirectRemotePeers
            = 24; ///< Far peers that the delegate tells itself; more are relayed to.
    Millis localPeerTimeout{2'200}; ///< A near peer that was heard within this time is alive.
    Millis remotePeerTimeout{5'000}; ///< A far one; its delegate may have to be replaced first.
    Millis silentPeerRetention{20'000}; ///< A silent peer is then forgotten.

    bool operator==(const PeerTimings &) const = default;
};

/// @brief The daemons that this one knows.
struct PeerTable
{
    VmId self;
    DataCentreId dataCentre;
    PeerTimings timings;
    std::map<VmId, Peer> peers; ///< Without this VM.
    std::uint64_t round = 0;

    bool operator==(const PeerTable &) const = default;
};

/// @brief What a peer says of itself.
struct PeerStatus
{
    VmId vm;
    std::uint64_t incarnation = 0;
    std::string endpoint;
    DataCentreId dataCentre;
    bool draining = false;
    bool storeReachable = false;
    bool inStartupGrace = false;
    std::set<BackendServerId> owned;

    bool operator==(const PeerStatus &) const = default;
};

/// @brief Takes what a peer says of itself, or its delegate says of it.
/// @param lastSeenAt when the peer was heard
/// @return true where the peer is new or has started again
bool updatePeer(PeerTable &table, const PeerStatus &news, Millis lastSeenAt);

/// @brief Learns from a third daemon that a peer exists; it counts as alive only once it speaks.
/// @return true where it was not known
bool discoverPeer(PeerTable &table, const PeerStatus &news, Millis now);

/// @brief Forgets peers that have been silent for long.
/// @return those that were forgotten
std::vector<VmId> removeSilentPeers(PeerTable &table, Millis now);

/// @return true where the peer spoke lately
[[nodiscard]] bool isAlive(const PeerTable &table, const Peer &peer, Millis now) noexcept;

/// @brief Whom to tell in a round. Of many near peers, one half or the other.
struct GossipTargets
{
    std::vector<const Peer *> local;
    std::vector<const Peer *> remote; ///< Empty unless this daemon is the delegate.
    bool relayed = false; ///< Those in remote are to relay to their data centres.
};

/// @brief Says whether this daemon speaks for its data centre, and relays to it.
/// @param draining this daemon stops; another one becomes the delegate
[[nodiscard]] bool isDelegate(const PeerTable &table, bool draining, Millis now);

/// @brief Says whether this daemon passes a message from another data centre on to its own: it is
/// the delegate, or nobody passed anything on from there lately.
/// @param from data centre of the sender; ask before its news is taken
[[nodiscard]] bool shouldRelay(const PeerTable &table, const DataCentreId &from, bool draining,
                               Millis now);

/// @brief Chooses whom a message for all daemons goes to beside those of the own data centre: all
/// others in a small fleet, else two of each other data centre, who relay it.
[[nodiscard]] GossipTargets remoteTargets(const PeerTable &table, Millis now);

/// @brief Says whether a new peer lacks so many of the live daemons that it is told of all of them.
/// @param knownPeers that the peer says it knows
[[nodiscard]] bool needsMemberList(const PeerTable &table, std::size_t knownPeers, Millis now);

/// @brief Chooses whom to tell in this round, which is one localGossipPeriod long.
/// @param draining this daemon stops; another one becomes the delegate
[[nodiscard]] GossipTargets gossipTargets(PeerTable &table, bool draining, Millis now);

/// @brief Chooses the peers that near ones are told of in this round: new ones, and one of the
/// others in turn, so that what was lost is told again. Only live ones, or two daemons would remind
/// each other of a machine that is gone for good.
[[nodiscard]] std::vector<const Peer *> peersToAnnounce(PeerTable &table, Millis now);

/// @brief Ranks this daemon among the live members of its data centre that reach the store.
/// @return 0 for the one that reads the store for all of them
/// @complexity linear in the peers
[[nodiscard]] std::size_t storeReaderRank(const PeerTable &table, bool selfReachesStore,
                                          Millis now);

/// @brief Says how old the published state may become before a daemon reads for itself.
///
/// Later ranks wait longer, so that a reader that is slow or gone is replaced by the next one and
/// not by all at once, whose reads would fill the links to the store.
[[nodiscard]] Millis maxStaleness(std::size_t rank) noexcept;

/// @brief Says how long after its start a daemon that knows nothing yet lists the store itself.
///
/// Where many start at once, the first of each data centre lists and tells the others; all lists at
/// once would fill the links to the store. One that starts beside others mostly hears from them
/// what they hold before it asks the store.
/// @param rank of storeReaderRank(), which counts only peers that were heard by then
[[nodiscard]] Millis initialReadDelay(std::size_t rank) noexcept;

} // namespace balsamport

#endif
