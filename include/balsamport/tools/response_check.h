#ifndef BALSAMPORT_TOOLS_RESPONSE_CHECK_H
#define BALSAMPORT_TOOLS_RESPONSE_CHECK_H

#include <balsamport/core/error.h>
#include <balsamport/http/http_message.h>
#include <balsamport/tools/workload.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Result of checking a response as its caller received it.
enum class ResponseVerdict : std::uint8_t {
    Good,
    Refused, ///< A typed error instead of a result.
    Failed, ///< A stream that ended with a typed error.
    NoResponse, ///< The connection broke or the timeout passed before the first byte.
    Wrong, ///< Response of another adapter, version or caller, or words out of order.
    Truncated, ///< Incomplete, without an error that says so.
    Duplicated, ///< A part of the response was received twice.
    Malformed, ///< Neither a valid response nor a typed error.
};

/// @return the verdict in lower case
[[nodiscard]] std::string_view verdictName(ResponseVerdict verdict) noexcept;

/// @return true for a response that no caller may receive: wrong, truncated, duplicated or
/// malformed
[[nodiscard]] bool isViolation(ResponseVerdict verdict) noexcept;

/// @brief Content of the correct response to a model request.
struct ExpectedCompletion
{
    WorkloadModel model;
    std::string requestId; ///< As sent by the caller; the gateway's request id begins with it.
    std::uint32_t tokens = 0;
    bool stream = false;

    bool operator==(const ExpectedCompletion &) const = default;
};

/// @brief A response as received, complete or not.
struct ObservedResponse
{
    int status = 0; ///< 0 where no response head was received.
    HttpHeaders headers;
    std::string body;
    bool ended = false; ///< The transport reported a proper end of the response.

    bool operator==(const ObservedResponse &) const = default;
};

/// @brief Compares a response of the engine stand-in with the request.
///
/// The stand-in's text consists of the words ADAPTER, request id, t0, t1 and so on.
/// @complexity linear in the body
[[nodiscard]] ResponseVerdict checkCompletion(const ExpectedCompletion &expected,
                                              const ObservedResponse &received);

/// @brief Checks that the response to a booking names the booking's own key.
[[nodiscard]] ResponseVerdict checkBooking(const std::string &key,
                                           const ObservedResponse &received);

/// @brief Outcomes that were reported to the callers of one key, over all attempts.
struct BookingRecord
{
    bool reportedRan = false; ///< The response to some attempt was a success or said `ran`.
    bool reportedNotRun = false; ///< The response to some attempt said `not-run`.

    bool operator==(const BookingRecord &) const = default;
};

/// @brief Number of runs of each key, summed over all replicas of a service.
using Ledger = std::map<std::string, std::uint64_t>;

/// @brief Numbers of keys whose runs contradict the outcomes reported to their callers.
struct LedgerFaults
{
    std::uint64_t ranTwice = 0;
    std::uint64_t ranThoughReportedNotRun = 0;
    std::uint64_t missingThoughReportedRan = 0;

    bool operator==(const LedgerFaults &) const = default;
    [[nodiscard]] std::uint64_t total() const noexcept
    {
        return this->ranTwice + this->ranThoughReportedNotRun + this->missingThoughReportedRan;
    }
};

/// @brief Adds the runs in the response of a service stand-in's /ledger to a ledger.
/// @return InvalidJson where the text is not a JSON object with the object "runs"
[[nodiscard]] Result<void> addLedger(std::string_view json, Ledger &ledger);

/// @brief Compares the reported outcomes of each key with its runs.
[[nodiscard]] LedgerFaults checkLedger(const std::map<std::string, BookingRecord> &records,
                                       const Ledger &ledger);

} // namespace balsamport

#endif
