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

/// @brief The clocks that a controller reads; tests give their own.
struct ControllerClocks
{
    Millis (*monotonic)() noexcept = &monotonicNow;
    Millis (*wall)() noexcept = &wallNow;
};

/// @brief The witness of this VM's seats: gives every key to one attempt, ever. Part of the
/// controller daemon.
///
/// Takes ClaimRequest, CloseRequest and TicketRequest. Each seat is a shard with its own lock; its
/// memory stays when the seat is lost, because a vote that was given never changes. All functions
/// may be called from any thread.
///
/// Example: `WitnessController witness(self); witness.update(snapshot, ownership.witnessSlots());`
class WitnessController
{
public:
    /// @param self this run of the controller; tickets name it
    explicit WitnessController(VmInstance self, ControllerClocks clocks = {});

    /// @brief Takes the configuration and the seats that this VM holds.
    ///
    /// `WitnessSlotView::dataCentre` holds WitnessSlot::str(), which is the data centre's own name
    /// unless fewer than three are configured. A seat that is not in the list is not held. Call it
    /// several times within the lifetime of a view: a seat whose confirmation lapsed counts as
    /// newly taken.
    void update(const SnapshotPtr &snapshot, const std::vector<WitnessSlotView> &seats);

    /// @brief Answers a message of the kinds above; others are left alone.
    void handle(const wire::Envelope &message, const ReplySender &reply);

    /// @brief Nothing is due on time; here so that all controllers are driven alike.
    void tick(Millis now);

    /// @brief Adds the number of keys held.
    void fillStatus(wire::StatusReply &status);

private:
    struct SeatShard
    {
        std::mutex mutex;
        ClaimTable table;
        WitnessState state; ///< `now` and `nowWall` are filled in for each decision.
    };

    /// A change of the set of data centres makes every seat count as newly taken.
    void takeSeatSet(std::uint64_t digest);
    ClaimVerdict decide(const std::string &seat, std::uint64_t seatSet, const WitnessRequest &ask);
    ClaimVerdict decideTicket(const Ticket &ticket, const ClaimHolder &claimant);
    void answerClaim(const wire::Envelope &message, const ReplySender &reply);
    void answerClose(const wire::Envelope &message, const ReplySender &reply);
    void answerTicket(const ReplySender &reply);

    VmInstance self;
    ControllerClocks clocks;

    std::shared_mutex mutex; ///< Guards the three below; taken before a shard's lock.
    std::map<std::string, std::unique_ptr<SeatShard>> shards;
    ClaimLimits limits;
    std::uint64_t seatSet = 0;

    std::mutex ticketMutex;
    TicketTable tickets;
};

} // namespace balsamport

#endif
