#ifndef BALSAMPORT_FILTERS_SIZE_LIMITS_H
#define BALSAMPORT_FILTERS_SIZE_LIMITS_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Checks the size of body and headers and the form of header values; sets the deadline.
/// Fails with BodyTooLarge, HeadersTooLarge or InvalidHeader.
[[nodiscard]] Filter makeSizeLimitsFilter();

} // namespace balsamport

#endif
