#ifndef BALSAMPORT_POLICY_OUTCOME_H
#define BALSAMPORT_POLICY_OUTCOME_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace balsamport {

/// @brief What a caller is told of a non-repeatable request: the header `Balsamport-Outcome`.
enum class Outcome : std::uint8_t {
    Ran, ///< The backend server answered it.
    NotRun, ///< No attempt with its key ran, nor ever will.
    Unknown, ///< Anything else.
};

/// @return "ran", "not-run" or "unknown"
[[nodiscard]] constexpr std::string_view outcomeName(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

/// @brief How far an attempt got before it ended.
enum class AttemptStage : std::uint8_t {
    Refused, ///< Before its key was claimed, for example for a missing key.
    ClaimFailed, ///< The claim was not won.
    Claimed, ///< The claim was won, and no byte was sent to a backend server.
    Sent, ///< A byte may have been read by a backend server.
    ResponseStarted, ///< The head of the answer came.
};

/// @brief What is known when a request has ended. `stage` is the furthest that any attempt of this
/// request at this gateway got to.
struct AttemptResult
{
    bool repeatable = true;
    bool hasKey = false; ///< A usable key that other attempts may carry as well.
    AttemptStage stage = AttemptStage::Refused;
    bool provenNotRun = false; ///< The witnesses show that no attempt ran or ever will.
    std::optional<ErrorCode> failure; ///< Nothing where the whole answer came.
    int responseStatus = 0; ///< HTTP status of the backend server, where it answered.

    bool operator==(const AttemptResult &) const = default;
};

/// @brief Decides what a caller is told. `NotRun` is said only where it is certain.
/// @complexity constant; never throws
[[nodiscard]] Outcome outcomeOf(const AttemptResult &result) noexcept;

/// @brief What a caller may do after a failure.
enum class CallerAdvice : std::uint8_t {
    None, ///< It has its answer.
    Repeat, ///< Send it again as it is.
    RepeatWithNewKey, ///< Nothing ran; the old key is closed.
    QueryWithSameKey, ///< Ask again with the same key; it can run no second time.
    CheckLedger, ///< Only the service itself can tell whether it ran.
    CorrectRequest, ///< Mend the request.
};

/// @brief Chooses the advice for a failure and its outcome.
[[nodiscard]] CallerAdvice adviceFor(ErrorCode failure, Outcome outcome, bool repeatable) noexcept;

/// @brief Gives the HTTP status of a failure.
/// @complexity constant; never throws
[[nodiscard]] int httpStatusOf(ErrorCode failure) noexcept;

} // namespace balsamport

#endif
