#ifndef BALSAMPORT_FILTERS_OUTCOME_H
#define BALSAMPORT_FILTERS_OUTCOME_H

#include <balsamport/filters/request_context.h>
#include <balsamport/http/http_message.h>
#include <balsamport/policy/outcome.h>

#include <optional>

namespace balsamport {

/// @brief Sums up how a request ended, for the outcome that its caller is told.
[[nodiscard]] AttemptResult endOf(const RequestContext &context, std::optional<ErrorCode> failure);

/// @brief Adds the request's id and outcome.
void addOutcomeHeaders(const RequestContext &context, HttpHeaders &headers);

/// @return true where the caller gave an Idempotency-Key
[[nodiscard]] bool hasKey(const IncomingRequest &request);

} // namespace balsamport

#endif
