#include <balsamport/filters/outcome.h>

#include <balsamport/filters/answer.h>

namespace balsamport {

std::string_view outcomeOf(const RequestContext &context) noexcept
{
    if (context.run == RunState::Ran) {
        return "ran";
    }
    if (context.run == RunState::Sent || context.keyMayHaveRun) {
        return "unknown";
    }
    return "not-run";
}

void addOutcomeHeaders(const RequestContext &context, HttpHeaders &headers)
{
    headers.push_back({std::string(headername::requestId), context.id.str()});
    headers.push_back({std::string(headername::outcome), std::string(outcomeOf(context))});
}

} // namespace balsamport
