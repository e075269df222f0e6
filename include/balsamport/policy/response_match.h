#ifndef BALSAMPORT_POLICY_RESPONSE_MATCH_H
#define BALSAMPORT_POLICY_RESPONSE_MATCH_H

#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>

#include <optional>
#include <string>

namespace balsamport {

/// @brief The identity that the expected response must have.
struct ExpectedResponse
{
    RequestId request;
    AttemptId attempt; ///< The current attempt; responses to earlier ones are stale.
    AdapterRef adapter;

    bool operator==(const ExpectedResponse &) const = default;
};

/// @brief The identity that a response states. A name that the backend server omits is
/// std::nullopt.
struct ResponseLabel
{
    AttemptId attempt;
    std::optional<RequestId> request;
    std::optional<std::string> adapter; ///< As text: base/adapter@version.

    bool operator==(const ResponseLabel &) const = default;
};

/// @brief Checks that a response belongs to a request.
/// @return std::nullopt if it does; GrantExpired for a stale response to an abandoned attempt,
/// BadResponse for the response to another request, WrongVersion for another adapter or version
/// @complexity linear in the length of the names
[[nodiscard]] std::optional<ErrorCode> findResponseMismatch(const ExpectedResponse &expected,
                                                            const ResponseLabel &label);

} // namespace balsamport

#endif
