#ifndef BALSAMPORT_EDGE_RATE_LIMIT_CONTROLLER_H
#define BALSAMPORT_EDGE_RATE_LIMIT_CONTROLLER_H

#include "edge_state.h"
#include "peer_controller.h"

#include <cstddef>

namespace balsamport {

/// @brief Keeps the rate limits that backend servers state for all daemons together, and exchanges
/// them with the other daemons.
class RateLimitController
{
public:
    RateLimitController(EdgeContext &context, EdgeState &state, PeerController &peers);

    /// @brief Applies what the response to a request states about the server's request rate, and
    /// notifies the other daemons of a change.
    void applyResponse(const BackendServerId &server, const RequestId &request,
                       const RateLimitReport &report);

    /// @brief Applies a change that a peer received from a server.
    void handleNotice(const VmId &peer, const wire::RateLimitNotice &notice);

    /// @brief Applies the limits in a peer's gossip, which repairs lost notices.
    void applyGossip(const VmId &peer, const wire::EdgeGossip &gossip);

    /// @brief Adds some of the known limits to a gossip message, others to the next one.
    void addToGossip(wire::EdgeGossip &gossip);

    /// @brief Records that a request is sent to a server.
    void recordSend(const BackendServerId &server);

    void updateGauges(Millis now);

private:
    [[nodiscard]] const ServerEntry *findServer(const BackendServerId &server) const;
    void applyFromPeer(const VmId &peer, const wire::ServerRateLimit &message);
    void logChange(const BackendServerId &server, std::string_view source, std::string_view name);

    EdgeContext &context;
    EdgeState &state;
    PeerController &peers;
    BackendServerId lastGossiped; ///< The next gossip continues after this server.
};

} // namespace balsamport

#endif
