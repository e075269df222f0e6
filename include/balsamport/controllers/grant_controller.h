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

/// @brief How a controller asks its peers.
struct PeerMessages
{
    std::function<void(const std::string &endpoint, wire::Envelope message, Millis timeout,
                       ReplyHandler handler)>
            request;
    std::function<void(const std::string &endpoint, wire::Envelope message)> notify;
};

/// @param client must live longer than what is returned
[[nodiscard]] PeerMessages peerMessagesOver(MessageClient &client);

/// @brief The owner's side of grants: places, slots, loads and shares of the weight store, for
/// every backend server that this VM owns.
///
/// State is in one shard for each backend server, under its own lock, and the share of the weight
/// store under another. All functions may be called from any thread; callbacks of `orders` and
/// `peers` that come after the destructor are ignored.
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
    GrantController(VmId self, EngineOperations orders, PeerMessages peers);
    ~GrantController();
    GrantController(const GrantController &) = delete;
    GrantController &operator=(const GrantController &) = delete;

    /// @return whether handle() takes this kind: grant_request, grant_release, grant_announce,
    /// share_borrow
    [[nodiscard]] static bool handles(const wire::Envelope &message) noexcept;

    /// @brief Takes in the configuration, what this VM owns, and the owners of all servers.
    ///
    /// Call it on each change, and on each confirmation, since `confirmedUntil` bounds the orders.
    /// @param fleet names the peers that shares of the weight store are borrowed from
    void update(const SnapshotPtr &snapshot, const std::vector<ServerOwnership> &servers,
                const std::shared_ptr<const FleetView> &fleet);

    /// @brief Answers one message.
    ///
    /// A grant request whose `deadline_ms` is 0 asks for no place: the adapter is loaded when the
    /// budget for loads has room to spare. A share_borrow with `in_flight` 1 asks for a token of
    /// the weight store, with how long its oldest request has waited in `millitokens`; with
    /// `in_flight` 0 it returns loan `millitokens`; `lease_ms` is then 0 where it was not used, or
    /// 1 more than how long ago its load started.
    void handle(const wire::Envelope &message, const ReplySender &reply);

    /// @brief Runs what is due: queues, deadlines, load reports, borrowing.
    void tick(Millis now);

    void fillStatus(wire::StatusReply &status) const;

private:
    struct Core;
    std::shared_ptr<Core> core;
};

} // namespace balsamport

#endif
