#ifndef BALSAMPORT_POLICY_RESPONSE_MATCH_H
#define BALSAMPORT_POLICY_RESPONSE_MATCH_H

#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>

#include <optional>
#include <string>

namespace balsamport {

/// @brief What an answer must carry to be the one that is awaited.
struct ExpectedResponse
{
    RequestId request;
    AttemptId attempt; ///< The attempt under way; answers to earlier ones are late.
    AdapterRef adapter;

    bool operator==(const ExpectedResponse &) const = default;
};

/// @brief What an answer says of itself. A name that the backend server does not give is nothing.
struct ResponseLabel
{
    AttemptId attempt;
    std::optional<RequestId> request;
    std::optional<std::string> adapter; ///< In written form: base/adapter@version.

    bool operator==(const ResponseLabel &) const = default;
};

/// @brief Checks that an answer belongs to a request.
/// @return nothing where it does; GrantExpired for a late answer of an abandoned attempt,
/// BadResponse for another request's answer, WrongVersion for another adapter or version
/// @complexity linear in the length of the names
[[nodiscard]] std::optional<ErrorCode> findResponseMismatch(const ExpectedResponse &expected,
                                                            const ResponseLabel &label);

} // namespace balsamport

#endif
