#ifndef BALSAMPORT_FILTERS_OUTCOME_H
#define BALSAMPORT_FILTERS_OUTCOME_H

#include <balsamport/filters/request_context.h>
#include <balsamport/http/http_message.h>
#include <balsamport/policy/outcome.h>

#include <optional>

namespace balsamport {

/// @brief Summarizes how a request ended, as the input for the outcome that its caller is sent.
[[nodiscard]] AttemptResult attemptResultOf(const RequestContext &context,
                                            std::optional<ErrorCode> failure);

/// @brief Adds the request's id and outcome.
void addOutcomeHeaders(const RequestContext &context, HttpHeaders &headers);

/// @return true where the caller sent an Idempotency-Key
[[nodiscard]] bool hasIdempotencyKey(const IncomingRequest &request);

} // namespace balsamport

#endif
