#ifndef BALSAMPORT_FILTERS_SIZE_LIMITS_H
#define BALSAMPORT_FILTERS_SIZE_LIMITS_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Checks the size of the body and the headers and the characters of header values; sets the
/// deadline of the request. Fails with BodyTooLarge, HeadersTooLarge or InvalidHeader.
[[nodiscard]] Filter makeSizeLimitsFilter();

} // namespace balsamport

#endif
