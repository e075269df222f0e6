#ifndef BALSAMPORT_CORE_HTTP_STATUS_H
#define BALSAMPORT_CORE_HTTP_STATUS_H

/// HTTP status codes that this project sends or handles. Source: RFC 9110, chapter 15.
namespace balsamport::httpstatus {

constexpr int ok = 200;
constexpr int created = 201;
constexpr int accepted = 202;
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int gone = 410;
constexpr int preconditionFailed = 412;
constexpr int misdirected = 421;
constexpr int tooManyRequests = 429;
constexpr int internalError = 500;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

/// @return true for 2xx
/// @code isSuccess(204) == true @endcode
constexpr bool isSuccess(int status) noexcept
{
    return status >= 200 && status < 300;
}

/// @return true for 4xx and 5xx
constexpr bool isError(int status) noexcept
{
    return status >= 400;
}

/// @return true for 5xx
/// @code isServerError(503) == true @endcode
constexpr bool isServerError(int status) noexcept
{
    return status >= 500;
}

} // namespace balsamport::httpstatus

#endif
