#ifndef BALSAMPORT_FILTERS_MODEL_REQUEST_H
#define BALSAMPORT_FILTERS_MODEL_REQUEST_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief The members of an OpenAI request body that the gateway uses.
struct ModelRequest
{
    std::string model; ///< Alias or adapter@version, as the caller wrote it.
    std::size_t modelBegin = 0; ///< Offset of the model's JSON string in the body, in bytes.
    std::size_t modelEnd = 0; ///< Offset past its closing quote, in bytes.
    bool stream = false;
    std::uint32_t maxTokens = 0; ///< 0 where the caller gave none.

    bool operator==(const ModelRequest &) const = default;
};

/// Deepest nesting that a body may have.
constexpr std::uint32_t maxJsonDepth = 64;

/// @brief Parses a request body without building a document.
/// @param promptMember the required member that holds the prompt: "messages" or "prompt"
/// @return InvalidJson where the body is not JSON or not UTF-8, InvalidRequest for wrong members
/// @complexity linear in the body; memory is bounded by maxJsonDepth and the longest string
[[nodiscard]] Result<ModelRequest> parseModelRequest(std::string_view body,
                                                     std::string_view promptMember);

/// @brief Replaces the model in a body; all other bytes are copied unchanged.
[[nodiscard]] std::string withModel(std::string_view body, const ModelRequest &request,
                                    std::string_view model);

} // namespace balsamport

#endif
