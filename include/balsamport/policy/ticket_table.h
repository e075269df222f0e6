#ifndef BALSAMPORT_POLICY_TICKET_TABLE_H
#define BALSAMPORT_POLICY_TICKET_TABLE_H

#include <balsamport/policy/claim_key.h>
#include <balsamport/policy/claim_table.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace balsamport {

/// @brief The tickets issued by one run of one controller, which is their only witness.
///
/// When the table is full, the ticket with the lowest number is evicted, and tickets with that
/// number or a lower one are refused from then on. Not thread-safe.
class TicketTable
{
public:
    explicit TicketTable(VmInstance self)
        : self(std::move(self))
    { }

    /// @brief Issues a new ticket, which no attempt has claimed.
    [[nodiscard]] Ticket issue() noexcept;

    /// @brief Decides on a claim, or on a request to close a ticket.
    /// @return the holder; TicketUnknown for a ticket that this run did not issue, KeyTooOld for
    /// one that may have been evicted
    /// @complexity O(log n) for n tickets stored
    ClaimVerdict decide(const Ticket &ticket, const ClaimHolder &claimant, std::size_t capacity);

    [[nodiscard]] std::size_t size() const noexcept { return this->holders.size(); }

private:
    VmInstance self;
    std::uint64_t lastIssued = 0;
    std::uint64_t watermark = 0; ///< This number and lower ones may have been evicted.
    std::map<std::uint64_t, ClaimHolder> holders;
};

} // namespace balsamport

#endif
