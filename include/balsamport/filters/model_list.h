#ifndef BALSAMPORT_FILTERS_MODEL_LIST_H
#define BALSAMPORT_FILTERS_MODEL_LIST_H

#include <balsamport/filters/filter.h>

namespace balsamport {

/// @brief Answers /v1/models: the aliases, and the newest version of each declared adapter.
[[nodiscard]] Filter makeModelListFilter();

} // namespace balsamport

#endif
