#ifndef BALSAMPORT_EDGE_PEERS_H
#define BALSAMPORT_EDGE_PEERS_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/policy/fleet_rate_limit.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Another daemon of the system as this daemon sees it.
struct Peer
{
    VmId vm;
    std::uint64_t incarnation = 0;
    std::string endpoint; ///< tcp://IP:PORT
    DataCentreId dataCentre;
    /// When its last gossip arrived; -1 if it is known only from other peers.
    Millis lastSeenAt{-1};
    Millis discoveredAt; ///< When this daemon first learned of it.
    bool draining = false;
    bool storeReachable = false;
    bool inStartupGrace = false; ///< Started too recently to know all ownership claims.
    /// Rounds in which this peer is still announced to local peers.
    std::uint32_t announcementsLeft = announcementRounds;
    std::set<BackendServerId> owned; ///< Engines that it sends commands to.
    std::uint32_t knownMembers = 0; ///< Other daemons that it knows; 0 if it didn't say.
    /// Loads of the engines that it owns, as far as it reported them.
    std::map<BackendServerId, double> engineLoads;

    /// Twice, so that the loss of one message does not hide a new peer.
    static constexpr std::uint32_t announcementRounds = 2;

    bool operator==(const Peer &) const = default;
};

/// @brief A daemon that may be running, whether or not this daemon receives gossip from it.
struct KnownDaemon
{
    DataCentreId dataCentre;
    Millis knownAt; ///< When it last sent a message, or was announced.
    bool draining = false; ///< By its last message.

    bool operator==(const KnownDaemon &) const = default;
};

/// @brief Intervals and time-outs of the gossip between daemons.
///
/// Local peers are those of the own data centre, remote peers those of other data centres. Local
/// peers gossip with each other directly. One daemon of each data centre, the delegate, sends the
/// status of all its members to the other data centres. In a large fleet it sends to two daemons of
/// each other data centre, and the delegate there relays the message to its own members: traffic
/// between data centres then grows linearly with the fleet instead of quadratically.
struct PeerTimings
{
    /// Length of a round: the interval between messages to a local peer.
    Millis localGossipPeriod{500};
    /// With more local peers than this, each gets a message in every second round only. Two
    /// messages still arrive within localPeerTimeout, so that one late message makes no peer seem
    /// silent.
    std::size_t maxLocalPeersPerRound = 16;
    Millis remoteGossipPeriod{1'000}; ///< Interval between messages of the delegate.
    /// Remote peers that the delegate sends to directly; a larger number is reached by relays.
    std::size_t maxDirectRemotePeers = 24;
    Millis localPeerTimeout{2'200}; ///< A local peer is alive for this long after its last message.
    /// The same for a remote peer, whose delegate may have to be replaced first.
    Millis remotePeerTimeout{5'000};
    Millis silentPeerRetention{20'000}; ///< A peer that is silent for longer is removed.
    /// One that was removed while at most half of the others were alive still counts as a
    /// member for this long: it may live behind a cut.
    Millis removedPeerMemory{120'000};

    bool operator==(const PeerTimings &) const = default;
};

/// @brief The daemons known to this daemon.
struct PeerTable
{
    VmId self;
    DataCentreId dataCentre;
    PeerTimings timings;
    std::map<VmId, Peer> peers; ///< Without this daemon.
    std::map<VmId, Millis> removed; ///< See removedPeerMemory; with the time of their removal.
    /// All other daemons that may be running, removed peers included.
    std::map<VmId, KnownDaemon> known;
    std::uint64_t round = 0;

    bool operator==(const PeerTable &) const = default;
};

/// @brief Status of a peer as it reports it in gossip.
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
    std::uint32_t knownMembers = 0;
    std::map<BackendServerId, double> engineLoads;

    bool operator==(const PeerStatus &) const = default;
};

/// @brief Applies the status that a peer, or the delegate of its data centre, sent. A status older
/// than the one held is ignored.
/// @param lastSeenAt when the peer last sent a message
/// @return true if the peer is new or has restarted
bool updatePeer(PeerTable &table, const PeerStatus &status, Millis lastSeenAt);

/// @brief Adds a peer that a third daemon announced. It counts as alive only once it sends a
/// message itself.
/// @return true if the peer was unknown
bool discoverPeer(PeerTable &table, const PeerStatus &status, Millis now);

/// @brief Removes the peers that were silent for longer than PeerTimings::silentPeerRetention.
/// @param hasMajority more than half of the others are alive; if not, the removed ones are
/// remembered
/// @return the removed peers
std::vector<VmId> removeSilentPeers(PeerTable &table, bool hasMajority, Millis now);

/// @return true if the peer sent a message within the time-out for its data centre
[[nodiscard]] bool isAlive(const PeerTable &table, const Peer &peer, Millis now) noexcept;

/// @brief Returns the number of daemons that may be running, this one included.
///
/// Shares of what all daemons use together are divided by it: a daemon that is cut off still uses
/// its share. Daemons count until `window` after a last message that said that they drain; others
/// until removedPeerMemory after their last message, and for longer while no peer is heard at all.
/// @param window for which a share that was used counts
[[nodiscard]] std::size_t possibleDaemons(const PeerTable &table, Millis window, Millis now);

/// @brief What tells a daemon that it knows the whole fleet.
struct FleetEvidence
{
    bool hasOtherSeeds = false; ///< The settings name seed nodes other than this daemon.
    std::set<DataCentreId> dataCentres; ///< All of the platform, as the settings name them.
    Millis startedAt; ///< Of this daemon.

    bool operator==(const FleetEvidence &) const = default;
};

/// @brief Returns the number of daemons that a shared budget is divided by.
/// @return possibleDaemons(); 0 if further daemons may be running that this one hasn't heard of
/// since its start
[[nodiscard]] std::size_t budgetSharers(const PeerTable &table, const FleetEvidence &evidence,
                                        Millis window, Millis now);

/// @brief Returns the daemons that may issue the permits of servers in a data centre: its own, also
/// silent ones, or those of all data centres if it has none. Draining daemons leave others to
/// issue.
[[nodiscard]] std::vector<PermitMember>
permitMembers(const PeerTable &table, const DataCentreId &dataCentre, bool draining, Millis now);

/// @brief Recipients of gossip in one round. Of many local peers, every second one.
struct GossipTargets
{
    std::vector<const Peer *> local;
    std::vector<const Peer *> remote; ///< Empty unless this daemon is the delegate.
    bool relayed = false; ///< The remote recipients relay the message to their data centres.
};

/// @brief Returns whether this daemon is the delegate, which sends and relays gossip for its data
/// centre.
/// @param draining this daemon is stopping; another one becomes the delegate
[[nodiscard]] bool isDelegate(const PeerTable &table, bool draining, Millis now);

/// @brief Returns whether this daemon relays a message from another data centre to its own: it is
/// the delegate, or no gossip from that data centre has arrived for two rounds of its delegate.
/// @param from data centre of the sender; call this before the sender's status is applied
[[nodiscard]] bool shouldRelay(const PeerTable &table, const DataCentreId &from, bool draining,
                               Millis now);

/// @brief Chooses the remote recipients of a message for all daemons: all remote peers in a small
/// fleet, otherwise two daemons of each other data centre, which relay it.
[[nodiscard]] GossipTargets remoteTargets(const PeerTable &table, Millis now);

/// @brief Returns whether a new peer knows less than half of the live daemons and needs the member
/// list.
/// @param knownPeers number of peers that the new peer reports
[[nodiscard]] bool needsMemberList(const PeerTable &table, std::size_t knownPeers, Millis now);

/// @brief Chooses the recipients of this round and advances to the next one. A round is one
/// PeerTimings::localGossipPeriod long.
/// @param draining this daemon is stopping; another one becomes the delegate
[[nodiscard]] GossipTargets gossipTargets(PeerTable &table, bool draining, Millis now);

/// @brief Chooses the peers that are announced to local peers in this round: new peers, and one of
/// the others in turn, which repairs the loss of an earlier message. Only live peers are announced,
/// otherwise two daemons would keep reminding each other of a machine that was removed for good.
[[nodiscard]] std::vector<const Peer *> peersToAnnounce(PeerTable &table, Millis now);

/// @brief Ranks this daemon among the live daemons of its data centre that reach the store.
/// @return 0 for the store reader, which reads the store for all of them
/// @complexity linear in the peers
[[nodiscard]] std::size_t storeReaderRank(const PeerTable &table, bool selfReachesStore,
                                          Millis now);

/// @brief Returns the age of the published state above which a daemon reads the store itself.
///
/// Higher ranks wait longer, so that a slow or dead reader is replaced by the next daemon and not
/// by all daemons at once, whose reads would saturate the links to the store.
[[nodiscard]] Millis maxStaleness(std::size_t rank) noexcept;

/// @brief Returns how long after its start a daemon without published state lists the store itself.
///
/// When many daemons start at once, the first of each data centre lists the store and sends the
/// result to the others; simultaneous lists of all would saturate the links to the store. A daemon
/// that starts beside running ones usually gets the entries from them before it reads the store.
/// @param rank from storeReaderRank(), which counts only the peers seen by then
[[nodiscard]] Millis initialReadDelay(std::size_t rank) noexcept;

} // namespace balsamport

#endif
