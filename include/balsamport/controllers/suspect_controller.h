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

/// @brief Holds this VM's table of requests that crash backend servers. Part of the controller
/// daemon.
///
/// Handles SuspectReport. Gateways report to every controller. Controllers send their table to
/// peers that have just started and, every 2 s, to one peer in turn, so that lost reports arrive
/// after all. The lease to run alone is granted by one VM for each fingerprint,
/// suspectCoordinator(). Gateways keep a feed open, on which every change is sent. All functions
/// may be called from any thread.
class SuspectController
{
public:
    /// @param messages must outlive this object
    SuspectController(MessageClient &messages, VmInstance self);

    /// @brief Sets the limits and the fleet's members.
    /// @param snapshot nullptr keeps the limits
    void update(const SnapshotPtr &snapshot, const std::vector<Member> &members);

    /// @brief Handles a SuspectReport; ignores other messages.
    void handle(const wire::Envelope &message, const ReplySender &reply);

    /// @brief Removes expired suspects, sends keep-alives on the feeds and gossips to a peer.
    /// @param now monotonic
    void tick(Millis now);

    /// @brief Sets the numbers of suspects and of quarantined requests.
    void fillStatus(wire::StatusReply &status);

    /// @return Clear, RunAlone where the request is suspected, or Quarantine
    [[nodiscard]] SuspectVerdict verdictFor(Fingerprint fingerprint);

private:
    struct Change
    {
        bool any = false;
        bool quarantined = false;
    };

    Change applyReport(const wire::SuspectReport &report, Millis now);
    void applyGossip(const wire::SuspectReport &report, Millis now);
    void openFeed(const wire::Envelope &message, const ReplySender &reply, Millis now);
    void publish(const wire::ListedSuspect &change);
    void gossipToPeers(const wire::ListedSuspect &change);
    wire::ListedSuspect currentListing(Fingerprint fingerprint, Millis now) const;
    wire::Envelope fullGossip(Millis now) const;

    MessageClient &messages;
    VmInstance self;

    std::mutex mutex; ///< Guards the rest.
    SuspectLimits limits;
    SuspectTable table;
    std::vector<Member> members;
    std::set<VmInstance> introducedPeers; ///< Peers that the complete table was sent to.
    std::map<VmId, ReplySender> feeds; ///< By VM of the gateway.
    std::size_t nextPeer = 0;
    Millis nextGossip;
    Millis nextFeed;
};

/// @brief Chooses the VM that grants the lease to run alone for a fingerprint: rendezvous hashing
/// of the members that are not dead.
/// @return nothing where there are no members
/// @complexity linear in the number of members
[[nodiscard]] std::optional<Member> suspectCoordinator(Fingerprint fingerprint,
                                                       const std::vector<Member> &members);

} // namespace balsamport

#endif
