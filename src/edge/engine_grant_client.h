#ifndef BALSAMPORT_EDGE_ENGINE_GRANT_CLIENT_H
#define BALSAMPORT_EDGE_ENGINE_GRANT_CLIENT_H

#include "engine_controller.h"
#include "peer_controller.h"

#include <balsamport/wire/message_server.h>

#include <functional>
#include <map>

namespace balsamport {

/// @brief Asks the owners of engines for places, this daemon's own engines included.
class EngineGrantClient
{
public:
    using Handler = std::function<void(const GrantVerdict &verdict)>;

    EngineGrantClient(EdgeContext &context, PeerController &peers, EngineController &engines,
                      const EngineOwnership &ownership);

    /// @brief Asks for a place. The handler gets Queued at most once and then one other verdict,
    /// or NotOwner where the owner is unknown or silent.
    /// @param request its key is filled in
    /// @return the number of the place, for sendUpdate()
    std::uint64_t requestGrant(const EngineSite &engine, EngineGrantRequest request,
                               Handler handler);

    /// @brief Tells the owner what became of a place. Ended and Cancelled forget it.
    void sendUpdate(std::uint64_t place, const GrantUpdate &note);

    /// @brief Takes a verdict, from a peer or from this daemon's engines.
    void handleVerdict(std::uint64_t place, const GrantVerdict &verdict);

    /// @brief Serves a peer's messages.
    void handlePeerMessage(const VmId &peer, std::uint64_t incarnation,
                           const wire::PlaceRequest &request, const Replier &reply);
    void handlePeerMessage(const VmId &peer, std::uint64_t incarnation,
                           const wire::PlaceUpdate &update);

    /// @brief Sends the verdict on a peer's request back to it.
    void sendVerdict(const GrantKey &key, const GrantVerdict &verdict);

    /// @brief Forgets the open questions of a daemon that has started again.
    /// @param incarnation those of this run are kept
    void dropRequestsOf(const VmId &peer, std::uint64_t incarnation);

private:
    struct Asked
    {
        BackendServerId server;
        VmId owner;
        Handler handler;
        std::unique_ptr<LoopTimer> timer; ///< Until the owner's first word.
    };

    void expire(std::uint64_t place);

    EdgeContext &context;
    PeerController &peers;
    EngineController &engines;
    const EngineOwnership &ownership;
    std::uint64_t nextPlace = 1;
    std::map<std::uint64_t, Asked> asked;
    std::map<GrantKey, Replier> questions; ///< Of peers, that have no last verdict yet.
};

/// @return a verdict as a peer sent it
[[nodiscard]] GrantVerdict verdictFromWire(const wire::PlaceReply &reply);

} // namespace balsamport

#endif
