#ifndef BALSAMPORT_FILTERS_AUTHENTICATION_H
#define BALSAMPORT_FILTERS_AUTHENTICATION_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Identifies callers by the SHA-256 of their bearer key; admits every caller where none is
/// configured. Fails with Unauthorized.
[[nodiscard]] Filter makeAuthenticationFilter();

} // namespace balsamport

#endif
