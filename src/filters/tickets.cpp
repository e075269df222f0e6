#include <balsamport/filters/tickets.h>

#include <balsamport/core/http_status.h>
#include <balsamport/filters/response.h>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <utility>

namespace balsamport {

namespace {

std::string ticketBody(const RequestKey &key)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("key");
    writer.String(key.str().c_str());
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace

Filter makeTicketFilter(ClaimSource claims)
{
    return [claims = std::move(claims)](const ContextPtr &context, const Next & /*next*/) {
        if (context->request->method != "POST") {
            failRequest(context, {ErrorCode::MethodNotAllowed, "this path takes POST only"});
            return;
        }
        claims.requestTicket([context](const Result<RequestKey> &key) {
            if (!key) {
                failRequest(context, key.error());
                return;
            }
            completeRequest(context,
                            {httpstatus::created,
                             {{std::string(headername::contentType), "application/json"}},
                             ticketBody(key.value())});
        });
    };
}

} // namespace balsamport
