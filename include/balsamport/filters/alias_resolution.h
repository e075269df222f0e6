#ifndef BALSAMPORT_FILTERS_ALIAS_RESOLUTION_H
#define BALSAMPORT_FILTERS_ALIAS_RESOLUTION_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Resolves the model or the service of a request, once for its whole lifetime.
/// Fails with UnknownModel, UnknownService or InvalidRequest.
[[nodiscard]] Filter makeAliasResolutionFilter();

} // namespace balsamport

#endif
