#ifndef BALSAMPORT_FILTERS_OUTCOME_H
#define BALSAMPORT_FILTERS_OUTCOME_H

#include <balsamport/filters/request_context.h>
#include <balsamport/http/http_message.h>

#include <string_view>

namespace balsamport {

/// @brief Says what may be said about whether a request ran.
/// @return "ran", "not-run" or "unknown"; "not-run" only where no attempt can have run
[[nodiscard]] std::string_view outcomeOf(const RequestContext &context);

/// @return true where the caller gave an Idempotency-Key
[[nodiscard]] bool hasKey(const IncomingRequest &request);

/// @brief Adds the request's id and outcome.
void addOutcomeHeaders(const RequestContext &context, HttpHeaders &headers);

} // namespace balsamport

#endif
