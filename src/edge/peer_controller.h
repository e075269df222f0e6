#ifndef BALSAMPORT_EDGE_PEER_CONTROLLER_H
#define BALSAMPORT_EDGE_PEER_CONTROLLER_H

#include "edge_context.h"

#include <balsamport/edge/order_ownership.h>
#include <balsamport/edge/peers.h>
#include <balsamport/wire/message_client.h>

#include <functional>
#include <memory>
#include <string>

namespace balsamport {

/// @brief What this daemon tells its peers of itself.
struct SelfNews
{
    std::uint64_t contentRevision = 0;
    Millis publishedAge{0};
    bool storeReachable = false;
    bool leaving = false;
    std::set<BackendServerId> owned;

    bool operator==(const SelfNews &) const = default;
};

/// @brief Finds the other daemons through the seeds and keeps in touch with them.
class PeerController
{
public:
    PeerController(EdgeContext &context, MessageClient &messages, std::function<SelfNews()> self);

    void start();

    /// @brief Takes a peer's gossip.
    /// @return true where the peer is new or has started again
    bool take(const wire::EdgeGossip &gossip, std::uint64_t incarnation);

    /// @brief Tells all peers at once, for example that this daemon leaves.
    void tellAll();

    /// @brief Sends a message to a peer that is known. Messages to others are dropped.
    void send(const VmId &peer, wire::Envelope message);
    void sendToDataCentre(const wire::Envelope &message);
    void sendToAll(const wire::Envelope &message);

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

    EdgeContext &context;
    MessageClient &messages;
    std::function<SelfNews()> self;
    PeerTable peers;
    std::unique_ptr<LoopTimer> timer;
    std::set<VmId> believedAlive;
};

} // namespace balsamport

#endif
