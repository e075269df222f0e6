#include <balsamport/filters/backend_request.h>

#include <balsamport/filters/response.h>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace balsamport {

namespace {

constexpr Millis connectTimeout{1'000};
constexpr Millis idleTimeout{20'000};
constexpr Millis cancelTimeout{2'000};

/// Headers that belong to one connection or that the HTTP client adds itself.
constexpr std::array<std::string_view, 13> unforwardedHeaders{"connection",
                                                              "keep-alive",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "te",
                                                              "trailer",
                                                              "transfer-encoding",
                                                              "upgrade",
                                                              "host",
                                                              "content-length",
                                                              "expect",
                                                              "proxy-connection",
                                                              "date"};

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

bool isForwarded(std::string_view lowerName)
{
    return std::find(unforwardedHeaders.begin(), unforwardedHeaders.end(), lowerName)
            == unforwardedHeaders.end()
            && lowerName.rfind("balsamport-", 0) != 0;
}

void addGatewayHeaders(const RequestContext &context, HttpHeaders &headers)
{
    headers.push_back({std::string(headername::requestId), context.id.str()});
    headers.push_back({std::string(headername::fencing),
                       std::to_string(context.placement->fencing.number())});
    if (!context.key.empty()) {
        headers.push_back({std::string(headername::idempotencyKey), context.key.str()});
    }
}

HttpHeaders serviceHeaders(const RequestContext &context)
{
    HttpHeaders headers;
    for (const HttpHeader &header : context.request->headers) {
        const std::string name = lowerCase(header.name);
        // The caller's API key is for the gateway only; addGatewayHeaders() adds the checked
        // idempotency key.
        const bool isWithheld = name == "authorization" || name == "idempotency-key";
        if (!isWithheld && isForwarded(name)) {
            headers.push_back(header);
        }
    }
    return headers;
}

std::string requestIdBody(const RequestContext &context, std::optional<std::uint64_t> after)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("request_id");
    writer.String(context.id.str().c_str());
    if (after) {
        writer.Key("after");
        writer.Uint64(*after);
    }
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

OutgoingRequest engineRequest(const RequestContext &context, std::string_view path, Millis timeout)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + context.placement->address + std::string(path);
    request.headers.push_back({std::string(headername::contentType), "application/json"});
    request.connectTimeout = std::min(connectTimeout, timeout);
    request.timeout = timeout;
    addGatewayHeaders(context, request.headers);
    return request;
}

Millis remainingTime(const RequestContext &context, Millis now)
{
    return std::max(Millis(1), context.deadline - now);
}

} // namespace

OutgoingRequest backendRequestOf(const RequestContext &context, Millis now)
{
    if (context.endpoint != Endpoint::Service) {
        OutgoingRequest request
                = engineRequest(context, context.backendPath, remainingTime(context, now));
        request.idleTimeout = idleTimeout;
        request.freshConnection = !context.repeatable;
        request.body = withModel(context.request->body, context.model, context.adapter->str());
        return request;
    }
    OutgoingRequest request;
    request.method = context.request->method;
    request.url = "http://" + context.placement->address + context.backendPath;
    request.headers = serviceHeaders(context);
    addGatewayHeaders(context, request.headers);
    request.body = context.request->body;
    const auto service = context.snapshot->services.find(context.service);
    request.timeout = remainingTime(context, now);
    if (service != context.snapshot->services.end()) {
        request.timeout = std::min(request.timeout, service->second.timeout);
    }
    request.connectTimeout = std::min(connectTimeout, request.timeout);
    request.freshConnection = !context.repeatable;
    return request;
}

OutgoingRequest resumeRequestOf(const RequestContext &context, std::uint64_t chunksReceived,
                                Millis now)
{
    OutgoingRequest request = engineRequest(context, "/v1/resume", remainingTime(context, now));
    request.idleTimeout = idleTimeout;
    request.body = requestIdBody(context, chunksReceived - 1);
    return request;
}

OutgoingRequest cancelRequestOf(const RequestContext &context)
{
    OutgoingRequest request = engineRequest(context, "/v1/cancel", cancelTimeout);
    request.body = requestIdBody(context, std::nullopt);
    return request;
}

HttpHeaders callerHeadersOf(const HttpHeaders &backendHeaders)
{
    HttpHeaders headers;
    for (const HttpHeader &header : backendHeaders) {
        if (isForwarded(lowerCase(header.name))) {
            headers.push_back(header);
        }
    }
    return headers;
}

} // namespace balsamport
