#ifndef BALSAMPORT_FILTERS_BODY_CHECK_H
#define BALSAMPORT_FILTERS_BODY_CHECK_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Checks that a model request is UTF-8 JSON with the required members.
/// Fails with InvalidJson, InvalidRequest or MethodNotAllowed.
[[nodiscard]] Filter makeBodyCheckFilter();

} // namespace balsamport

#endif
