#ifndef BALSAMPORT_CONTROLLERS_GRANT_CONTROLLER_H
#define BALSAMPORT_CONTROLLERS_GRANT_CONTROLLER_H

#include <balsamport/config/snapshot.h>
#include <balsamport/controllers/engine_operations.h>
#include <balsamport/policy/members.h>
#include <balsamport/policy/ownership_view.h>
#include <balsamport/wire/message_client.h>
#include <balsamport/wire/message_server.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsamport {

/// @brief The functions with which a controller or gateway sends messages to its peers.
struct PeerMessages
{
    std::function<void(const std::string &endpoint, wire::Envelope message, Millis timeout,
                       ReplyHandler handler)>
            request;
    std::function<void(const std::string &endpoint, wire::Envelope message)> notify;
};

/// @brief Creates functions that send over a message client.
/// @param client must outlive the returned functions
[[nodiscard]] PeerMessages peerMessagesOver(MessageClient &client);

/// @brief Grants requests on the backend servers that this VM owns: queues, adapter slots, loads,
/// and load tokens.
///
/// Each backend server has a shard of state with its own lock; the load budget has
/// another. All functions may be called from any thread; callbacks of `engines` and `peers` that
/// are called after the destructor are ignored.
///
/// Example, in the controller's daemon:
///
///     HttpClient engines;
///     MessageClient peers(self, keys);
///     GrantController grants(self, engineOperationsOver(engines), peerMessagesOver(peers));
///     grants.update(snapshot, ownership.servers(), fleetView); // on every change and confirmation
///     grants.handle(message, reply);                           // for the kinds in handles()
///     grants.tick(monotonicNow());                             // every 20 ms
class GrantController
{
public:
    GrantController(VmId self, EngineOperations engines, PeerMessages peers);
    ~GrantController();
    GrantController(const GrantController &) = delete;
    GrantController &operator=(const GrantController &) = delete;

    /// @return true where handle() handles this kind: grant_request, grant_release, grant_announce,
    /// share_borrow
    [[nodiscard]] static bool handles(const wire::Envelope &message) noexcept;

    /// @brief Sets the configuration, the ownership of this VM, and the owners of all servers.
    ///
    /// Call this on each change and on each confirmation, since `confirmedUntil` bounds the
    /// commands.
    /// @param fleet names the peers that load tokens are borrowed from
    void update(const SnapshotPtr &snapshot, const std::vector<ServerOwnership> &servers,
                const std::shared_ptr<const FleetView> &fleet);

    /// @brief Handles a message.
    ///
    /// A grant request whose `deadline_ms` is 0 requests no grant: the adapter is loaded when the
    /// budget for loads has an idle token. A share_borrow with `in_flight` 1 requests a load
    /// token; `millitokens` is how long its oldest request has waited, in ms. With
    /// `in_flight` 0 it returns the loan of number `millitokens`; `lease_ms` is then 0 where the
    /// loan was not used, or 1 more than the time since its load started, in ms.
    void handle(const wire::Envelope &message, const ReplySender &reply);

    /// @brief Runs work that is due: queues, deadlines, load reports, loans.
    /// @param now monotonic
    void tick(Millis now);

    /// @brief Sets the status of the owned servers and the number of loads.
    void fillStatus(wire::StatusReply &status) const;

private:
    struct Core;
    std::shared_ptr<Core> core;
};

} // namespace balsamport

#endif
