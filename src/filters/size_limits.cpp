#include <balsamport/filters/size_limits.h>

#include <balsamport/filters/response.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

namespace balsamport {

namespace {

constexpr std::size_t maxHeaderCount = 100;
constexpr std::size_t maxHeaderBytes = std::size_t{32} * 1024;

bool isControlCharacter(char c) noexcept
{
    constexpr char del = 0x7f;
    return (c >= 0 && c < ' ' && c != '\t') || c == del;
}

std::optional<Error> checkHeaders(const HttpHeaders &headers)
{
    std::size_t bytes = 0;
    for (const HttpHeader &header : headers) {
        bytes += header.name.size() + header.value.size();
        if (std::any_of(header.value.begin(), header.value.end(), isControlCharacter)) {
            return Error{ErrorCode::InvalidHeader, "a header holds control characters"};
        }
    }
    if (headers.size() > maxHeaderCount || bytes > maxHeaderBytes) {
        return Error{ErrorCode::HeadersTooLarge,
                     "at most " + std::to_string(maxHeaderCount) + " headers of "
                             + std::to_string(maxHeaderBytes) + " bytes in all are taken"};
    }
    return std::nullopt;
}

Result<Millis> timeoutOf(const RequestContext &context)
{
    const Millis maxTimeout = context.snapshot->limits.requestTimeout;
    const auto header = findHeader(context.request->headers, headername::timeout);
    if (!header) {
        return maxTimeout;
    }
    std::int64_t timeoutMs = 0;
    const char *end = header->data() + header->size();
    const auto parsed = std::from_chars(header->data(), end, timeoutMs);
    if (parsed.ec != std::errc() || parsed.ptr != end || timeoutMs <= 0) {
        return Error{ErrorCode::InvalidHeader,
                     std::string(headername::timeout) + " must be a number of milliseconds"};
    }
    return std::min(maxTimeout, Millis(timeoutMs));
}

} // namespace

Filter makeSizeLimitsFilter()
{
    return [](const ContextPtr &context, const Next &next) {
        const std::uint64_t limit = context->snapshot->limits.bodyBytes;
        if (context->request->body.size() > limit) {
            failRequest(context,
                        {ErrorCode::BodyTooLarge,
                         "the body may hold up to " + std::to_string(limit) + " bytes"});
            return;
        }
        if (const auto error = checkHeaders(context->request->headers)) {
            failRequest(context, *error);
            return;
        }
        const auto timeout = timeoutOf(*context);
        if (!timeout) {
            failRequest(context, timeout.error());
            return;
        }
        context->deadline = context->arrived + timeout.value();
        next();
    };
}

} // namespace balsamport
