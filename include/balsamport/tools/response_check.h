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

/// @brief What a caller made of an answer.
enum class ResponseVerdict : std::uint8_t {
    Good,
    Refused, ///< A typed error instead of an answer.
    Failed, ///< A stream that ended with a typed error.
    NoResponse, ///< The connection broke, or time ran out, before any byte of the answer.
    Wrong, ///< Another adapter's, version's or caller's answer, or words out of order.
    Truncated, ///< Only a part of the answer, and nothing that says so.
    Duplicated, ///< A part of the answer came twice.
    Malformed, ///< Neither an answer nor a typed error.
};

/// @return the verdict in lower case
[[nodiscard]] std::string_view verdictName(ResponseVerdict verdict) noexcept;

/// @return true for what a caller must never see: wrong, cut, doubled or malformed
[[nodiscard]] bool isViolation(ResponseVerdict verdict) noexcept;

/// @brief What the right answer to a model request holds.
struct ExpectedCompletion
{
    WorkloadModel model;
    std::string requestId; ///< As sent; the gateway's own id starts with it.
    std::uint32_t tokens = 0;
    bool stream = false;

    bool operator==(const ExpectedCompletion &) const = default;
};

/// @brief What came back, whether or not it is whole.
struct ObservedResponse
{
    int status = 0; ///< 0 where no head came.
    HttpHeaders headers;
    std::string body;
    bool ended = false; ///< The transport says that the answer ended properly.

    bool operator==(const ObservedResponse &) const = default;
};

/// @brief Compares an answer of the engine stand-in with what was asked for.
///
/// The stand-in's words are ADAPTER, request id, t0, t1 and so on.
/// @complexity linear in the body
[[nodiscard]] ResponseVerdict checkCompletion(const ExpectedCompletion &expected,
                                              const ObservedResponse &received);

/// @brief Compares a booking's answer with its key.
[[nodiscard]] ResponseVerdict checkBooking(const std::string &key,
                                           const ObservedResponse &received);

/// @brief What the callers of one key were told, over all attempts.
struct BookingRecord
{
    bool reportedRan = false; ///< Some attempt was answered with success or `ran`.
    bool reportedNotRun = false; ///< The last answer said `not-run`.

    bool operator==(const BookingRecord &) const = default;
};

/// @brief Runs of each key, added up over all replicas of a service.
using Ledger = std::map<std::string, std::uint64_t>;

/// @brief Faults that only the ledger shows.
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

/// @brief Adds the runs of a service stand-in's /ledger to a ledger.
/// @return InvalidJson where the text is none
[[nodiscard]] Result<void> addLedger(std::string_view json, Ledger &ledger);

[[nodiscard]] LedgerFaults checkLedger(const std::map<std::string, BookingRecord> &records,
                                       const Ledger &ledger);

} // namespace balsamport

#endif
