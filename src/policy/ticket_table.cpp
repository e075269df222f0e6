#include <balsamport/policy/ticket_table.h>

namespace balsamport {

Ticket TicketTable::issue() noexcept
{
    ++this->lastIssued;
    return Ticket{this->self, this->lastIssued};
}

ClaimVerdict TicketTable::decide(const Ticket &ticket, const ClaimHolder &claimant,
                                 std::size_t capacity)
{
    if (ticket.witness != this->self || ticket.number == 0 || ticket.number > this->lastIssued) {
        return ClaimVerdict{std::nullopt, ErrorCode::TicketUnknown};
    }
    const auto found = this->holders.find(ticket.number);
    if (found != this->holders.end()) {
        return ClaimVerdict{found->second, std::nullopt};
    }
    if (ticket.number <= this->watermark || capacity == 0) {
        return ClaimVerdict{std::nullopt, ErrorCode::KeyTooOld};
    }
    this->holders.emplace(ticket.number, claimant);
    while (this->holders.size() > capacity) {
        this->watermark = this->holders.begin()->first;
        this->holders.erase(this->holders.begin());
    }
    return ClaimVerdict{claimant, std::nullopt};
}

} // namespace balsamport
