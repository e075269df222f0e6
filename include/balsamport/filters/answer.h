#ifndef BALSAMPORT_FILTERS_ANSWER_H
#define BALSAMPORT_FILTERS_ANSWER_H

#include <balsamport/core/error.h>
#include <balsamport/filters/request_context.h>
#include <balsamport/http/http_message.h>

#include <optional>
#include <string>
#include <string_view>

namespace balsamport {

/// Names of the headers that the gateway reads and writes.
namespace headername {
constexpr std::string_view outcome = "Balsamport-Outcome";
constexpr std::string_view requestId = "Balsamport-Request-Id";
constexpr std::string_view fencing = "Balsamport-Fencing";
constexpr std::string_view model = "Balsamport-Model";
constexpr std::string_view repeatable = "Balsamport-Repeatable";
constexpr std::string_view timeout = "Balsamport-Timeout-Ms";
constexpr std::string_view answerQuery = "Balsamport-Answer-Query";
constexpr std::string_view idempotencyKey = "Idempotency-Key";
constexpr std::string_view firstSent = "Repeatability-First-Sent";
constexpr std::string_view contentType = "Content-Type";
constexpr std::string_view retryAfter = "Retry-After";
} // namespace headername

/// @return the time after which a caller should try again; nothing where it should not
[[nodiscard]] std::optional<Millis> retryAfterOf(ErrorCode code) noexcept;

/// @brief Writes an error in OpenAI's shape.
/// @return `{"error":{"message":..,"type":..,"code":..,"param":null}}`
[[nodiscard]] std::string errorBody(const Error &error);

/// @brief Builds a whole typed answer, without the headers of a request's outcome.
/// @param retryAfter when to come back; 0 where only the kind of failure says so
[[nodiscard]] HttpResponse errorAnswer(const Error &error, Millis retryAfter = Millis(0));

/// @brief Ends a request with a typed error and its outcome. Later calls do nothing.
void failRequest(const ContextPtr &context, const Error &error, Millis retryAfter = Millis(0));

/// @brief Ends a request with a whole answer and its outcome. Later calls do nothing.
void answerRequest(const ContextPtr &context, HttpResponse answer);

} // namespace balsamport

#endif
