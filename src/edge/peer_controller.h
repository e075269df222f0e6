#ifndef BALSAMPORT_EDGE_PEER_CONTROLLER_H
#define BALSAMPORT_EDGE_PEER_CONTROLLER_H

#include "edge_context.h"

#include <balsamport/edge/order_ownership.h>
#include <balsamport/edge/peers.h>
#include <balsamport/wire/message_client.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace balsamport {

/// @brief What this daemon tells its peers of itself.
struct LocalStatus
{
    std::uint64_t contentRevision = 0;
    Millis publishedAge{0};
    bool storeReachable = false;
    bool draining = false;
    bool inStartupGrace = false; ///< Its claims give way to those of others.
    std::set<BackendServerId> owned;

    bool operator==(const LocalStatus &) const = default;
};

/// @brief Finds the other daemons through the seeds and keeps in touch with them.
class PeerController
{
public:
    /// @param addProfiles adds what this daemon measured of engines to its gossip
    PeerController(EdgeContext &context, MessageClient &messages, std::function<LocalStatus()> self,
                   std::function<void(wire::EdgeGossip &)> addProfiles);

    void start();

    /// @brief Takes a peer's gossip.
    /// @return true where the peer is new or has started again
    bool handleGossip(const wire::EdgeGossip &gossip, std::uint64_t incarnation);

    /// @brief Tells all peers of this daemon at once, for example that it leaves.
    void broadcastStatus();

    /// @brief Tells all peers that a request crashed servers.
    void broadcastCrashes(Fingerprint fingerprint, std::uint32_t crashes);

    /// @brief Passes a note on to the own data centre where its sender asks the delegate for it.
    void relayCrashes(const wire::CrashNote &note);

    /// @brief Sends a message to a peer that is known. Messages to others are dropped.
    void send(const VmId &peer, wire::Envelope message);

    /// @brief Asks the owner of an engine for a place. Replies come over the connection of the
    /// question: one of the owner's own may have to be opened first, which takes four ways between
    /// the regions.
    /// @param timeout for each awaited reply
    /// @param handler called on the loop's thread for each reply, a queued request's two included
    void queryOwner(const VmId &owner, wire::Envelope question, Millis timeout,
                    std::function<void(const wire::PlaceReply &reply)> handler);
    void sendToDataCentre(const wire::Envelope &message);

    [[nodiscard]] const PeerTable &table() const noexcept { return this->peers; }
    /// @return live daemons, this one included
    [[nodiscard]] std::size_t liveDaemons() const;

private:
    void round();
    void tell(const std::string &endpoint);
    void tellSeeds();
    void noteSilence(Millis now);
    [[nodiscard]] wire::Envelope gossip() const;
    [[nodiscard]] wire::Envelope dataCentreGossip(Millis now) const;
    void addMembers(wire::EdgeGossip &gossip, Millis now) const;
    /// Tells the own data centre what the delegate of another one said.
    void relay(const wire::EdgeGossip &gossip, std::uint64_t incarnation);
    void greet(const Peer &peer, std::size_t knownPeers, Millis now);
    /// Opens connections to far daemons that own engines, before a request has to wait for one.
    void contactFarOwners(Millis now);

    EdgeContext &context;
    MessageClient &messages;
    std::function<LocalStatus()> self;
    std::function<void(wire::EdgeGossip &)> addProfiles;
    PeerTable peers;
    std::unique_ptr<LoopTimer> timer;
    std::set<VmId> believedAlive;
    std::map<VmId, std::uint64_t> contacted; ///< Far owners that were told of this daemon, by run.
};

} // namespace balsamport

#endif
