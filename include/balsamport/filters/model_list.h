#ifndef BALSAMPORT_FILTERS_MODEL_LIST_H
#define BALSAMPORT_FILTERS_MODEL_LIST_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Responds to /v1/models with the aliases and the newest version of each declared adapter.
[[nodiscard]] Filter makeModelListFilter();

} // namespace balsamport

#endif
