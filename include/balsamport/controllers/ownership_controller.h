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

/// @brief Decides which backend servers this VM owns and which witness slots it holds, and requests
/// the votes that confirm both.
///
/// Handles ViewConfirm. All functions may be called from any thread.
class OwnershipController
{
public:
    OwnershipController(MessageClient &client, MembershipController &membership, Member self);

    /// @brief Sets the configuration that servers, limits and witness slots are taken from.
    void update(SnapshotPtr snapshot);

    /// @return true where the message was one of this controller's kinds
    bool handle(const wire::Envelope &message, const ReplySender &reply);
    /// @brief Evaluates ownership every 100 ms and requests votes three times in a view's lifetime.
    /// @param now monotonic
    void tick(Millis now);
    void fillStatus(wire::StatusReply &status) const;

    /// @return one entry for each backend server of this VM's data centre
    [[nodiscard]] std::vector<ServerOwnership> servers() const;
    /// @return one entry for each witness slot of this VM's data centre
    [[nodiscard]] std::vector<WitnessSlotView> witnessSlots() const;

private:
    struct WitnessSlotTerm
    {
        OwnershipTerm term;
        bool held = false;
        Millis heldSince;
        Millis heldSinceWall;
    };

    /// The inputs of one round of evaluation.
    struct Inputs
    {
        SnapshotPtr snapshot;
        PlatformList list;
        std::shared_ptr<const FleetView> fleet;
        MemberStates states;
    };

    void detectPause(Millis now);
    void refreshInputs();
    void updateRankings();
    void evaluateServers(Millis now);
    void evaluateWitnessSlots(Millis now);
    [[nodiscard]] Millis confirm(const SuccessorRanking &ranking);
    [[nodiscard]] bool isHolder(const SuccessorRanking &ranking) const;
    void castOwnVotes(Millis now);
    void requestVotes(Millis now);
    /// As many voters as a quorum needs while they reply, all of them after a vote was missed.
    [[nodiscard]] std::vector<VmId>
    votersToQuery(const VmId &subject, const std::map<VmId, std::map<VmId, Millis>> &votesBySubject,
                  Millis now) const;
    void recordVotes(const VmId &voter, const wire::ViewConfirmReply &votes, Millis until);
    [[nodiscard]] bool assumesDeparted(const VmId &vm) const;
    [[nodiscard]] Millis viewLifetime() const;
    [[nodiscard]] Millis handoverWait() const;

    MessageClient &client;
    MembershipController &membership;
    const Member self;
    mutable std::mutex mutex;
    Inputs inputs;
    VoterState voter;
    CollectedVotes collectedVotes;
    OwnershipConditions requiredConditions; ///< Subjects of all conditions of this round.
    std::map<BackendServerId, SuccessorRanking> rankings; ///< Servers of this data centre.
    std::map<BackendServerId, OwnershipTerm> terms;
    std::map<BackendServerId, FencingNumber> fencing;
    std::map<std::string, WitnessSlotTerm> slotTerms; ///< By WitnessSlot::str().
    Millis lastTick;
    Millis nextEvaluation;
    Millis nextVoteRequest;
};

} // namespace balsamport

#endif
