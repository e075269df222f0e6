#include <balsamport/filters/outcome.h>

#include <balsamport/filters/answer.h>

namespace balsamport {

std::string_view outcomeOf(const RequestContext &context)
{
    if (context.run == RunState::Ran) {
        return "ran";
    }
    if (context.run == RunState::Sent) {
        return "unknown";
    }
    // Another attempt with the key may have run, unless this one won the claim.
    const bool excluded = context.claim.has_value() || context.keyNeverRan;
    return excluded || !hasKey(*context.request) ? "not-run" : "unknown";
}

bool hasKey(const IncomingRequest &request)
{
    return findHeader(request.headers, headername::idempotencyKey).has_value();
}

void addOutcomeHeaders(const RequestContext &context, HttpHeaders &headers)
{
    headers.push_back({std::string(headername::requestId), context.id.str()});
    headers.push_back({std::string(headername::outcome), std::string(outcomeOf(context))});
}

} // namespace balsamport
