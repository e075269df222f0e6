#ifndef BALSAMPORT_POLICY_ANSWER_MATCH_H
#define BALSAMPORT_POLICY_ANSWER_MATCH_H

#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>

#include <optional>
#include <string>

namespace balsamport {

/// @brief What an answer must carry to be the one that is awaited.
struct ExpectedAnswer
{
    RequestId request;
    AttemptId attempt; ///< The attempt under way; answers to earlier ones are late.
    AdapterRef adapter;

    bool operator==(const ExpectedAnswer &) const = default;
};

/// @brief What an answer says of itself. A name that the backend server does not give is nothing.
struct AnswerLabel
{
    AttemptId attempt;
    std::optional<RequestId> request;
    std::optional<std::string> adapter; ///< In written form: base/adapter@version.

    bool operator==(const AnswerLabel &) const = default;
};

/// @brief Checks that an answer belongs to a request.
/// @return nothing where it does; GrantExpired for a late answer of an abandoned attempt,
/// BadResponse for another request's answer, WrongVersion for another adapter or version
/// @complexity linear in the length of the names
[[nodiscard]] std::optional<ErrorCode> mismatchOf(const ExpectedAnswer &expected,
                                                  const AnswerLabel &label);

} // namespace balsamport

#endif
