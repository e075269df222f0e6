#ifndef BALSAMPORT_EDGE_RATE_LIMIT_CONTROLLER_H
#define BALSAMPORT_EDGE_RATE_LIMIT_CONTROLLER_H

#include "edge_state.h"
#include "peer_controller.h"

#include <balsamport/wire/message_server.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace balsamport {

/// @brief Whether a request may be sent to a server with a rate limit.
struct PermitVerdict
{
    bool issued = false;
    Millis retryAfter{0}; ///< Until a permit is expected, if none was issued.

    bool operator==(const PermitVerdict &) const = default;
};

/// @brief Keeps the rate limits that backend servers state for all daemons together, exchanges them
/// with the other daemons, and requests and issues the permits for requests to such servers.
///
/// Engines need no permits from here: their owners grant all requests, at the rate that this
/// controller hands to EngineController.
class RateLimitController
{
public:
    using PermitHandler = std::function<void(const PermitVerdict &verdict)>;
    /// Sets the grants per second of an engine that this daemon may own; nothing without a limit.
    using EngineRateSetter
            = std::function<void(const BackendServerId &engine, std::optional<double> perSecond)>;

    RateLimitController(EdgeContext &context, EdgeState &state, PeerController &peers,
                        EngineRateSetter setEngineRate);

    /// @return true where requests to the server need a permit
    [[nodiscard]] bool needsPermit(const BackendServerId &server) const;

    /// @return true where no permit for the server is expected now
    [[nodiscard]] bool isWithheld(const BackendServerId &server, Millis now) const;

    /// @brief Records the wait that an engine's owner reported because of the rate limit. Until a
    /// grant is possible within a request's usual patience, the engine is withheld.
    void recordEngineWait(const BackendServerId &engine, Millis wait);

    /// @return the shortest time until one of the servers isn't withheld any more, for a caller
    /// that is refused; nothing unless all of them are withheld
    [[nodiscard]] std::optional<Millis>
    allWithheldFor(const std::vector<const ServerEntry *> &servers, const RequestId &request,
                   Millis now) const;

    /// @brief Requests a permit for one request to a server. The handler is called once, possibly
    /// before this returns.
    void requestPermit(const BackendServerId &server, const RequestId &request,
                       PermitHandler handler);

    /// @brief Handles the request of a peer for a permit.
    void handlePermitRequest(const VmId &peer, const wire::PermitRequest &request,
                             const ReplySender &reply);

    /// @brief Follows changes of the membership, and hands the rates to the engines' owner.
    void update(Millis now);

    /// @brief Discards all permits after a pause of the process, in which another daemon may have
    /// issued them.
    void restartPermits(Millis now);

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
    /// Applies a changed limit to waiting requests and to those that were withheld.
    void applyChange(const BackendServerId &server, Millis now);
    void logChange(const BackendServerId &server, std::string_view source, std::string_view name);
    /// @return the daemons that may issue the permits of servers in a data centre
    PermitGroup &groupOf(const DataCentreId &dataCentre, Millis now);
    /// Decides as the issuer, if this daemon is that.
    [[nodiscard]] PermitDecision decide(const ServerEntry &server, const RequestId &request,
                                        const VmId &requester, Millis now);
    /// Passes on a decision, and withholds the next requests until a permit is expected.
    void finish(const BackendServerId &server, const RequestId &request, std::string_view outcome,
                Millis retryAfter, const PermitHandler &handler);
    /// @return a part of the interval between two permits, so that refused callers don't all come
    /// back at once
    [[nodiscard]] Millis retrySpread(const BackendServerId &server, const RequestId &request) const;
    [[nodiscard]] wire::ServerRateLimit currentLimit(const ServerEntry &server, Millis now) const;

    EdgeContext &context;
    EdgeState &state;
    /// Permits of one server.
    struct ServerPermits
    {
        PermitBucket bucket; ///< While this daemon is the issuer.
        Millis withheldUntil{-1}; ///< No permit is requested before.
    };

    PeerController &peers;
    EngineRateSetter setEngineRate;
    std::map<BackendServerId, ServerPermits> permits; ///< Of servers with a limit.
    std::map<DataCentreId, PermitGroup> groups;
    BackendServerId lastGossiped; ///< The next gossip continues after this server.
};

} // namespace balsamport

#endif
