#include <balsamport/filters/body_check.h>

#include <balsamport/filters/response.h>

namespace balsamport {

Filter makeBodyCheckFilter()
{
    return [](const ContextPtr &context, const Next &next) {
        if (context->endpoint == Endpoint::Service) {
            next();
            return;
        }
        if (context->request->method != "POST") {
            failRequest(context, {ErrorCode::MethodNotAllowed, "this path takes POST only"});
            return;
        }
        const bool chat = context->endpoint == Endpoint::ChatCompletions;
        const auto parsed = parseModelRequest(context->request->body, chat ? "messages" : "prompt");
        if (!parsed) {
            failRequest(context, parsed.error());
            return;
        }
        context->model = parsed.value();
        next();
    };
}

} // namespace balsamport
