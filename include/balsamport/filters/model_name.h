#ifndef BALSAMPORT_FILTERS_MODEL_NAME_H
#define BALSAMPORT_FILTERS_MODEL_NAME_H

#include <balsamport/core/ids.h>

#include <optional>
#include <string_view>

namespace balsamport {

/// @brief A model that a caller names without an alias.
struct ModelName
{
    BaseModelId base; ///< Empty where the name has no base.
    AdapterId adapter;
    AdapterVersion version;

    bool operator==(const ModelName &) const = default;
};

/// @brief Parses `adapter@version` or `base/adapter@version`.
/// @return nothing where the text has another form
[[nodiscard]] std::optional<ModelName> parseModelName(std::string_view text);

} // namespace balsamport

#endif
