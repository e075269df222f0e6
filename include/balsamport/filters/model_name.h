#ifndef BALSAMPORT_FILTERS_MODEL_NAME_H
#define BALSAMPORT_FILTERS_MODEL_NAME_H

#include <balsamport/core/ids.h>

#include <optional>
#include <string_view>

namespace balsamport {

/// @brief A model as callers may write it where they use no alias.
struct ModelName
{
    BaseModelId base; ///< Empty where it is not written.
    AdapterId adapter;
    AdapterVersion version;

    bool operator==(const ModelName &) const = default;
};

/// @brief Reads `adapter@version` or `base/adapter@version`.
/// @return nothing where the text has another form
[[nodiscard]] std::optional<ModelName> parseModelName(std::string_view text);

} // namespace balsamport

#endif
