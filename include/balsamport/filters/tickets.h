#ifndef BALSAMPORT_FILTERS_TICKETS_H
#define BALSAMPORT_FILTERS_TICKETS_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Responds to /v1/tickets with a new key for one non-repeatable request.
/// Fails with the error of the claim source, for example WitnessUnavailable.
[[nodiscard]] Filter makeTicketFilter(ClaimSource claims);

} // namespace balsamport

#endif
