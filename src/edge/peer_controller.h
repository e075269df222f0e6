#ifndef BALSAMPORT_EDGE_PEER_CONTROLLER_H
#define BALSAMPORT_EDGE_PEER_CONTROLLER_H

#include "edge_context.h"

#include <balsamport/edge/crash_note_relay.h>
#include <balsamport/edge/engine_ownership.h>
#include <balsamport/edge/fleet_contact.h>
#include <balsamport/edge/peers.h>
#include <balsamport/wire/message_client.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace balsamport {

/// @brief Status of this daemon as it is sent to its peers.
struct LocalStatus
{
    StoreRevision contentRevision;
    std::uint64_t keptDigest = 0; ///< Of keptEntriesDigest().
    Millis publishedAge{0};
    bool storeReachable = false;
    bool draining = false;
    bool inStartupGrace = false; ///< Its ownership claims yield to those of other daemons.
    std::set<BackendServerId> owned;
    std::map<BackendServerId, double> engineLoads; ///< Of the owned engines.

    bool operator==(const LocalStatus &) const = default;
};

/// @brief Discovers the other daemons through the seed nodes and exchanges gossip with them.
class PeerController
{
public:
    /// @param localStatus returns the current status of this daemon
    /// @param addKnowledge adds what this daemon knows of backend servers and quotas to its gossip,
    /// or to that of its data centre
    PeerController(EdgeContext &context, MessageClient &messages,
                   std::function<LocalStatus()> localStatus,
                   std::function<void(wire::EdgeGossip &, bool forDataCentre)> addKnowledge);

    void start();

    /// @brief Assesses how much of the fleet this daemon is in contact with.
    const ContactState &updateContact(Millis now);
    /// @brief Lets the contact be assessed anew after a pause of the process.
    void restartMajority(Millis now) { balsamport::restartMajority(this->contact, now); }

    /// @brief Handles the gossip of a peer.
    /// @return true if the peer is new or has restarted
    bool handleGossip(const wire::EdgeGossip &gossip, std::uint64_t incarnation);

    /// @brief Sends the status of this daemon to all peers immediately, for example that it drains.
    /// What it knows of backend servers follows with its regular gossip.
    void broadcastStatus();

    /// @brief Sends the crash count of a request to all peers.
    void broadcastCrashes(const wire::CrashNote &note);

    /// @brief Relays a crash note to the own data centre if its sender requested that and this
    /// daemon is the delegate: a crash and suspects at once, completions with others that arrive
    /// soon after.
    void relayCrashes(const wire::CrashNote &note);

    /// @brief Sends a change of a server's rate limit to all peers.
    void broadcastRateLimit(const wire::ServerRateLimit &rateLimit);

    /// @brief Relays a change of a rate limit to the own data centre if its sender requested that
    /// and this daemon is the delegate.
    void relayRateLimit(const wire::RateLimitNotice &notice);

    /// @brief Sends a message to a known peer. Messages to unknown peers are dropped.
    void send(const VmId &peer, wire::Envelope message);

    /// @brief Requests a grant from the owner of an engine. Replies arrive over the connection of
    /// the request: a connection from the owner might have to be opened first, which takes four
    /// one-way trips between the regions.
    /// @param timeout for each expected reply
    /// @param handler called on the loop's thread for each reply; a queued request gets two
    void queryOwner(const VmId &owner, wire::Envelope request, Millis timeout,
                    std::function<void(const wire::PlaceReply &reply)> handler);
    /// @brief Requests a permit from the issuer of a server's permits.
    /// @param handler called once on the loop's thread, with nothing after the timeout
    void queryIssuer(const VmId &issuer, wire::Envelope request, Millis timeout,
                     std::function<void(const std::optional<wire::PermitReply> &reply)> handler);
    /// @brief Sends a message to all known peers of the own data centre.
    void sendToDataCentre(wire::Envelope message);

    [[nodiscard]] const PeerTable &table() const noexcept { return this->peers; }
    /// @return the number of live daemons, this one included
    [[nodiscard]] std::size_t liveDaemons() const;

    /// @brief Returns the number of daemons that a shared budget is divided by; see
    /// balsamport::budgetSharers().
    [[nodiscard]] std::size_t budgetSharers(Millis window) const;

private:
    void runRound();
    void sendGossip(const std::string &endpoint);
    void sendTo(const std::vector<const Peer *> &recipients, wire::Envelope message);
    /// @return true where this daemon relays messages to its data centre
    [[nodiscard]] bool isDelegate() const;
    /// @return true if the settings name seed nodes other than this daemon
    [[nodiscard]] bool hasOtherSeeds() const;
    void contactSeeds();
    void updateLiveness(Millis now);
    /// @return the status of this daemon, with what it knows of backend servers
    /// @param forDataCentre with what all daemons of the data centre together report
    [[nodiscard]] wire::Envelope gossipMessage(bool forDataCentre = false) const;
    /// @return the status of this daemon alone
    [[nodiscard]] wire::Envelope statusMessage() const;
    [[nodiscard]] wire::Envelope dataCentreGossip(Millis now) const;
    void addMembers(wire::EdgeGossip &gossip, Millis now) const;
    /// Relays the statuses in the gossip of another data centre to the own one, together with
    /// others that arrive soon after.
    void relayGossip(const wire::EdgeGossip &gossip, std::uint64_t incarnation);
    /// Keeps a status to relay, unless a newer one of its daemon waits already.
    void addRelay(const wire::EdgeMember &member, Millis now);
    void scheduleRelays();
    void flushRelays();
    /// Replies to the first gossip of a peer.
    void introduceTo(const Peer &peer, std::size_t knownPeers, Millis now);
    /// Opens connections to remote daemons that own engines, before a request has to wait for one.
    void contactRemoteOwners(Millis now);

    EdgeContext &context;
    MessageClient &messages;
    std::function<LocalStatus()> localStatus;
    std::function<void(wire::EdgeGossip &, bool forDataCentre)> addKnowledge;
    PeerTable peers;
    ContactState contact;
    std::unique_ptr<LoopTimer> timer;
    std::set<VmId> alivePeers; ///< Of the last round.
    /// A status of a remote daemon that waits to be relayed.
    struct Relay
    {
        wire::EdgeMember member;
        Millis receivedAt;
    };
    /// The use of quotas in another data centre, which waits to be relayed.
    struct UsageRelay
    {
        wire::DataCentreUsage usage;
        Millis receivedAt;
    };
    std::map<VmId, Relay> relays; ///< The latest status of each daemon.
    std::map<DataCentreId, UsageRelay> usageRelays; ///< The latest of each data centre.
    CrashNoteRelay crashRelay;
    bool relaysScheduled = false;
    std::unique_ptr<LoopTimer> relayTimer;
    /// Incarnations of the remote owners that this daemon has sent its gossip to.
    std::map<VmId, std::uint64_t> contactedOwners;
};

} // namespace balsamport

#endif
