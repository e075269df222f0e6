#ifndef BALSAMPORT_CONTROLLERS_WITNESS_CONTROLLER_H
#define BALSAMPORT_CONTROLLERS_WITNESS_CONTROLLER_H

#include <balsamport/config/snapshot.h>
#include <balsamport/policy/claim_table.h>
#include <balsamport/policy/ownership_view.h>
#include <balsamport/policy/ticket_table.h>
#include <balsamport/wire/message_server.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <vector>

namespace balsamport {

/// @brief The clocks that a controller reads; tests replace them.
struct ControllerClocks
{
    Millis (*monotonic)() noexcept = &monotonicNow;
    Millis (*wall)() noexcept = &wallNow;
};

/// @brief The witness of this VM's slots: grants every key to one attempt for good. Part of the
/// controller daemon.
///
/// Handles ClaimRequest, CloseRequest and TicketRequest. Each slot is a shard with its own lock.
/// The shard's table stays when the slot is lost, because a vote never changes. All functions may
/// be called from any thread.
///
/// Example: `WitnessController witness(self); witness.update(snapshot, ownership.witnessSlots());`
class WitnessController
{
public:
    /// @param self this run of the controller, which tickets name
    explicit WitnessController(VmInstance self, ControllerClocks clocks = {});

    /// @brief Sets the configuration and the slots that this VM holds.
    ///
    /// `WitnessSlotView::dataCentre` holds the name of the slot, which is the data centre's own
    /// name unless fewer than three are configured. A slot that is not in the list is not held.
    /// Call this several times within the lifetime of a view: a slot whose confirmation lapsed
    /// counts as newly acquired.
    /// @param snapshot nullptr keeps the configuration
    void update(const SnapshotPtr &snapshot, const std::vector<WitnessSlotView> &slots);

    /// @brief Handles a message of the kinds above; ignores others.
    void handle(const wire::Envelope &message, const ReplySender &reply);

    /// @brief Does nothing: no state of the witness depends on ticks. Exists so that the daemon
    /// calls all controllers alike.
    void tick(Millis now);

    /// @brief Sets the number of keys in the tables.
    void fillStatus(wire::StatusReply &status);

private:
    struct WitnessSlotShard
    {
        std::mutex mutex;
        ClaimTable table;
        WitnessState state; ///< `now` and `nowWall` are set for each decision.
    };

    /// After a change of the set of data centres every slot counts as newly acquired.
    void applyWitnessSet(std::uint64_t digest);
    ClaimVerdict decide(const std::string &slot, std::uint64_t witnessSet,
                        const WitnessRequest &request);
    ClaimVerdict decideTicket(const Ticket &ticket, const ClaimHolder &claimant);
    void handleClaim(const wire::Envelope &message, const ReplySender &reply);
    void handleClose(const wire::Envelope &message, const ReplySender &reply);
    void issueTicket(const ReplySender &reply);

    VmInstance self;
    ControllerClocks clocks;

    std::shared_mutex mutex; ///< Guards the three below; taken before a shard's lock.
    std::map<std::string, std::unique_ptr<WitnessSlotShard>> shards;
    ClaimLimits limits;
    std::uint64_t witnessSet = 0; ///< Digest of the data centres that hold slots.

    std::mutex ticketMutex;
    TicketTable tickets;
};

} // namespace balsamport

#endif
