#ifndef BALSAMPORT_FILTERS_MODEL_REQUEST_H
#define BALSAMPORT_FILTERS_MODEL_REQUEST_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief What the gateway needs to know of an OpenAI request body.
struct ModelRequest
{
    std::string model; ///< Alias or adapter@version, as the caller wrote it.
    std::size_t modelBegin = 0; ///< Where the model's JSON string starts in the body.
    std::size_t modelEnd = 0; ///< One past its closing quote.
    bool stream = false;
    std::uint32_t maxTokens = 0; ///< 0 where the caller gave none.

    bool operator==(const ModelRequest &) const = default;
};

/// Deepest nesting that a body may have.
constexpr std::uint32_t maxJsonDepth = 64;

/// @brief Reads a request body without building a document.
/// @param promptMember the member that must be there: "messages" or "prompt"
/// @return InvalidJson for what is not JSON or not UTF-8, InvalidRequest for wrong members
/// @complexity linear in the body; memory is bounded by maxJsonDepth and the longest string
[[nodiscard]] Result<ModelRequest> parseModelRequest(std::string_view body,
                                                     std::string_view promptMember);

/// @brief Puts another model into a body; all other bytes stay.
[[nodiscard]] std::string withModel(std::string_view body, const ModelRequest &request,
                                    std::string_view model);

} // namespace balsamport

#endif
