#ifndef BALSAMPORT_CONTROLLERS_SUSPECT_CONTROLLER_H
#define BALSAMPORT_CONTROLLERS_SUSPECT_CONTROLLER_H

#include <balsamport/config/snapshot.h>
#include <balsamport/policy/members.h>
#include <balsamport/policy/suspects.h>
#include <balsamport/wire/message_client.h>
#include <balsamport/wire/message_server.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace balsamport {

/// @brief What this VM knows of requests that crash backend servers. Part of the controller daemon.
///
/// Takes SuspectReport. Gateways send their news to every controller; the controllers tell peers
/// that have just started, and now and then one peer in turn, so that news that was lost arrives
/// all the same. The right to run alone is lent by one VM for each fingerprint, suspectHome().
/// Gateways hold a feed open, on which every change is sent. All functions may be called from any
/// thread.
class SuspectController
{
public:
    /// @param messages must outlive this object
    SuspectController(MessageClient &messages, VmInstance self);

    /// @brief Takes the limits and the fleet's members.
    void update(const SnapshotPtr &snapshot, const std::vector<Member> &members);

    /// @brief Answers a SuspectReport; other messages are left alone.
    void handle(const wire::Envelope &message, const ReplySender &reply);

    /// @brief Forgets what is over, keeps feeds alive and gossips.
    void tick(Millis now);

    /// @brief Adds the numbers of suspects and of quarantined requests.
    void fillStatus(wire::StatusReply &status);

    /// @brief Tells what is known of a request: Clear, RunAlone where it is suspected, Quarantine.
    [[nodiscard]] SuspectVerdict look(Fingerprint fingerprint);

private:
    struct Change
    {
        bool any = false;
        bool quarantined = false;
    };

    Change apply(const wire::SuspectReport &report, Millis now);
    void applyGossip(const wire::SuspectReport &report, Millis now);
    void openFeed(const wire::Envelope &message, const ReplySender &reply, Millis now);
    void feed(const wire::ListedSuspect &change);
    void tellPeers(const wire::ListedSuspect &change);
    wire::ListedSuspect listedNow(Fingerprint fingerprint, Millis now) const;
    wire::Envelope gossipOfAll(Millis now) const;

    MessageClient &messages;
    VmInstance self;

    std::mutex mutex; ///< Guards the rest.
    SuspectLimits limits;
    SuspectTable table;
    std::vector<Member> members;
    std::set<VmInstance> greeted; ///< Peers that were sent the whole list.
    std::map<VmId, ReplySender> feeds; ///< By the gateway's VM.
    std::size_t nextPeer = 0;
    Millis nextGossip;
    Millis nextFeed;
};

/// @brief Chooses the VM that lends the right to run alone for a fingerprint: rendezvous over the
/// members that are not dead.
/// @return nothing where there are no members
/// @complexity linear in the number of members
[[nodiscard]] std::optional<Member> suspectHome(Fingerprint fingerprint,
                                                const std::vector<Member> &members);

} // namespace balsamport

#endif
