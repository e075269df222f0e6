#ifndef BALSAMPORT_FILTERS_TICKETS_H
#define BALSAMPORT_FILTERS_TICKETS_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Answers /v1/tickets: a new key for one non-repeatable request.
/// Fails with what the claim source gave, for example WitnessUnavailable.
[[nodiscard]] Filter makeTicketFilter(ClaimSource claims);

} // namespace balsamport

#endif
