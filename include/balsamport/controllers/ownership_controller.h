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
    bool handle(const wire::Envelope &message, const ReplySender &reply);
    void tick(Millis now);
    void fillStatus(wire::StatusReply &status) const;

    /// @return one entry for each backend server of this VM's data centre
    [[nodiscard]] std::vector<ServerOwnership> servers() const;
    /// @return one entry for each seat of this VM's data centre
    [[nodiscard]] std::vector<WitnessSlotView> witnessSlots() const;

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
    };

    void noticePause(Millis now);
    void refreshInputs();
    void findSuccessions();
    void evaluateServers(Millis now);
    void evaluateSeats(Millis now);
    [[nodiscard]] Millis confirm(const Succession &succession);
    [[nodiscard]] bool isHeldBySelf(const Succession &succession) const;
    void voteForSelf(Millis now);
    void askVoters(Millis now);
    /// Few voters while they answer, all of them after a vote was missed.
    [[nodiscard]] std::vector<VmId>
    votersToAsk(const VmId &subject, const std::map<VmId, std::map<VmId, Millis>> &ballot,
                Millis now) const;
    void takeVotes(const VmId &voter, const wire::ViewConfirmReply &votes, Millis until);
    [[nodiscard]] bool believesGone(const VmId &vm) const;
    [[nodiscard]] Millis viewLifetime() const;
    [[nodiscard]] Millis handoverWait() const;

    MessageClient &client;
    MembershipController &membership;
    const Member self;
    mutable std::mutex mutex;
    Inputs inputs;
    VoterState voter;
    Ballots ballots;
    OwnershipClaim wanted; ///< All subjects of the claims of this round.
    std::map<BackendServerId, Succession> successions; ///< Servers of this data centre.
    std::map<BackendServerId, Tenure> tenures;
    std::map<BackendServerId, FencingNumber> fencing;
    std::map<std::string, SeatTenure> seatTenures; ///< By WitnessSlot::str().
    Millis lastTick;
    Millis nextEvaluation;
    Millis nextAsk;
};

} // namespace balsamport

#endif
