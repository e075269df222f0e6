#ifndef BALSAMPORT_EDGE_ENGINE_GRANT_CLIENT_H
#define BALSAMPORT_EDGE_ENGINE_GRANT_CLIENT_H

#include "engine_controller.h"
#include "peer_controller.h"

#include <balsamport/wire/message_server.h>

#include <functional>
#include <map>

namespace balsamport {

/// @brief Requests grants from the owners of engines, this daemon included.
class EngineGrantClient
{
public:
    using Handler = std::function<void(const GrantVerdict &verdict)>;

    EngineGrantClient(EdgeContext &context, PeerController &peers, EngineController &engines,
                      const EngineOwnership &ownership);

    /// @brief Requests a grant. The handler gets Queued at most once and then one other verdict, or
    /// NotOwner where the owner is unknown or doesn't respond.
    /// @param request its key is filled in
    /// @return the number of the grant, for sendUpdate()
    std::uint64_t requestGrant(const EngineSite &engine, EngineGrantRequest request,
                               Handler handler);

    /// @brief Sends the owner an update of a grant. Every event but Started removes the grant here.
    void sendUpdate(std::uint64_t number, const GrantUpdate &update);

    /// @brief Handles a verdict of a peer or of this daemon as the owner.
    void handleVerdict(std::uint64_t number, const GrantVerdict &verdict);

    /// @brief Handles a grant request or an update of a peer.
    void handlePeerMessage(const VmId &peer, std::uint64_t incarnation,
                           const wire::PlaceRequest &request, const ReplySender &reply);
    void handlePeerMessage(const VmId &peer, std::uint64_t incarnation,
                           const wire::PlaceUpdate &update);

    /// @brief Sends a verdict to the peer that requested the grant.
    void sendVerdict(const GrantKey &key, const GrantVerdict &verdict);

    /// @brief Drops the undecided requests of a daemon that has restarted.
    /// @param incarnation requests of this run are kept
    void dropRequestsOf(const VmId &peer, std::uint64_t incarnation);

private:
    struct PendingGrant
    {
        BackendServerId server;
        VmId owner;
        Handler handler;
        std::unique_ptr<LoopTimer> timer; ///< Until the owner's first response.
    };

    void expire(std::uint64_t number);

    EdgeContext &context;
    PeerController &peers;
    EngineController &engines;
    const EngineOwnership &ownership;
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, PendingGrant> grants;
    std::map<GrantKey, ReplySender> peerRequests; ///< Without a final verdict.
};

/// @return the verdict in a peer's message
[[nodiscard]] GrantVerdict verdictFromWire(const wire::PlaceReply &reply);

} // namespace balsamport

#endif
