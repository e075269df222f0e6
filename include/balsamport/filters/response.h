#ifndef BALSAMPORT_FILTERS_RESPONSE_H
#define BALSAMPORT_FILTERS_RESPONSE_H

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
constexpr std::string_view cachedResponseQuery = "Balsamport-Answer-Query";
constexpr std::string_view idempotencyKey = "Idempotency-Key";
constexpr std::string_view firstSent = "Repeatability-First-Sent";
constexpr std::string_view contentType = "Content-Type";
constexpr std::string_view retryAfter = "Retry-After";
} // namespace headername

/// @return the time after which a caller should retry; nothing where it should not
[[nodiscard]] std::optional<Millis> retryAfterOf(ErrorCode code) noexcept;

/// @brief Formats an error as the JSON object of the OpenAI API.
/// @return `{"error":{"message":..,"type":..,"code":..,"param":null}}`
[[nodiscard]] std::string errorBody(const Error &error);

/// @brief Builds a complete typed error response, without the headers of a request's outcome.
/// @param retryAfter time after which to retry; 0 to derive it from the error code
[[nodiscard]] HttpResponse errorResponse(const Error &error, Millis retryAfter = Millis(0));

/// @brief Ends a request with a typed error and its outcome. Later calls have no effect.
/// @param retryAfter as for errorResponse()
void failRequest(const ContextPtr &context, const Error &error, Millis retryAfter = Millis(0));

/// @brief Ends a request with a complete response and its outcome. Later calls have no effect.
void completeRequest(const ContextPtr &context, HttpResponse response);

} // namespace balsamport

#endif
