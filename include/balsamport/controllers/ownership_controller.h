#ifndef BALSAMPORT_CONTROLLERS_OWNERSHIP_CONTROLLER_H
#define BALSAMPORT_CONTROLLERS_OWNERSHIP_CONTROLLER_H

#include <balsamport/controllers/membership_controller.h>
#include <balsamport/policy/ownership.h>
#include <balsamport/wire/message_client.h>
#include <balsamport/wire/message_server.h>

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Decides which backend servers and which witness seats this VM holds, and gathers the
/// votes that confirm it.
///
/// Handles ViewConfirm. All functions may be called from any thread.
class OwnershipController
{
public:
    OwnershipController(MessageClient &client, MembershipController &membership, Member self);

    void update(SnapshotPtr snapshot);

    /// @return true where the message was one of this controller's kinds
    bool handle(const wire::Envelope &message, const Replier &reply);
    void tick(Millis now);
    void fillStatus(wire::StatusReply &status) const;

    /// @return one entry for each backend server of this VM's data centre
    [[nodiscard]] std::vector<ServerOwnership> servers() const;
    /// @return one entry for each seat of this VM's data centre
    [[nodiscard]] std::vector<SeatView> seats() const;

private:
    struct SeatTenure
    {
        Tenure tenure;
        bool held = false;
        Millis heldSince;
        Millis heldSinceWall;
    };

    /// What one round of evaluation looks at.
    struct Inputs
    {
        SnapshotPtr snapshot;
        PlatformList list;
        std::shared_ptr<const FleetView> fleet;
        MemberStates states;
        Millis now;
    };

    void noticePause(Millis now);
    void evaluateServers(const Inputs &inputs);
    void evaluateSeats(const Inputs &inputs);
    [[nodiscard]] Millis confirm(const Inputs &inputs, const Succession &succession);
    void voteForSelf(const Inputs &inputs);
    void askVoters(const Inputs &inputs);
    void takeVotes(const VmId &voter, const wire::ViewConfirmReply &votes, Millis until);
    [[nodiscard]] bool believesGone(const Inputs &inputs, const VmId &vm) const;

    MessageClient &client;
    MembershipController &membership;
    const Member self;
    mutable std::mutex mutex;
    SnapshotPtr snapshot;
    VoterState voter;
    Ballots ballots;
    OwnershipClaim wanted; ///< All subjects of the claims of this round.
    std::map<BackendServerId, Tenure> tenures;
    std::map<BackendServerId, FencingNumber> fencing;
    std::map<std::string, SeatTenure> seatTenures;
    Millis lastTick;
    Millis nextAsk;
};

} // namespace balsamport

#endif
