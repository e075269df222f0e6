#ifndef BALSAMPORT_FILTERS_REQUEST_ID_H
#define BALSAMPORT_FILTERS_REQUEST_ID_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Assigns each request an id; a well-formed id from the caller becomes its prefix.
/// Fails with InvalidHeader where the caller's id is malformed.
[[nodiscard]] Filter makeRequestIdFilter();

} // namespace balsamport

#endif
