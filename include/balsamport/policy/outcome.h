#ifndef BALSAMPORT_POLICY_OUTCOME_H
#define BALSAMPORT_POLICY_OUTCOME_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace balsamport {

/// @brief The value of the header `Balsamport-Outcome`, which reports the outcome of a
/// non-repeatable request to its caller.
enum class Outcome : std::uint8_t {
    Ran, ///< The backend server responded to it.
    NotRun, ///< No attempt with its key ran or ever will.
    Unknown, ///< Neither is certain.
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

/// @brief The furthest stage that an attempt reached before it ended.
enum class AttemptStage : std::uint8_t {
    Refused, ///< Before its key was claimed, for example for a missing key.
    ClaimFailed, ///< The claim was not won.
    Claimed, ///< The claim was won, and no byte was sent to a backend server.
    Sent, ///< A byte may have been read by a backend server.
    ResponseStarted, ///< The head of the response arrived.
};

/// @brief What a gateway knows of a request that has ended. `stage` is the furthest stage that any
/// attempt of the request reached at this gateway.
struct AttemptResult
{
    bool repeatable = true;
    bool hasKey = false; ///< A usable key that other attempts may carry as well.
    AttemptStage stage = AttemptStage::Refused;
    bool provenNotRun = false; ///< The witnesses show that no attempt ran or ever will.
    std::optional<ErrorCode> failure; ///< std::nullopt if the complete response arrived.
    int responseStatus = 0; ///< HTTP status of the backend server, if it responded.

    bool operator==(const AttemptResult &) const = default;
};

/// @brief Decides the outcome that is reported to the caller; `NotRun` only if it is certain.
/// @complexity constant; never throws
[[nodiscard]] Outcome outcomeOf(const AttemptResult &result) noexcept;

/// @brief What a caller should do after a failure.
enum class CallerAdvice : std::uint8_t {
    None, ///< The caller has its response.
    Repeat, ///< Send the request again unchanged.
    RepeatWithNewKey, ///< Nothing ran; the old key is closed.
    QueryWithSameKey, ///< Send it again with the same key; it cannot run a second time.
    CheckLedger, ///< Only the records of the service show whether it ran.
    CorrectRequest, ///< The request itself is at fault.
};

/// @brief Chooses the advice for a failure and its outcome.
[[nodiscard]] CallerAdvice adviceFor(ErrorCode failure, Outcome outcome, bool repeatable) noexcept;

/// @brief Returns the HTTP status of a failure.
/// @complexity constant; never throws
[[nodiscard]] int httpStatusOf(ErrorCode failure) noexcept;

} // namespace balsamport

#endif
