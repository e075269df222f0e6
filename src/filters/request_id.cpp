#include <balsamport/filters/request_id.h>

#include <balsamport/filters/response.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <random>

namespace balsamport {

namespace {

constexpr std::size_t maxIdLength = 128;

bool isIdCharacter(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.' || c == ':';
}

bool isWellFormed(const std::string &id)
{
    return !id.empty() && id.size() <= maxIdLength
            && std::all_of(id.begin(), id.end(), isIdCharacter);
}

RequestId newRequestId()
{
    thread_local std::mt19937_64 random{std::random_device()()
                                        ^ (std::uint64_t{std::random_device()()} << 32U)};
    std::array<char, 40> text{};
    const int length = std::snprintf(text.data(), text.size(), "req-%016llx%016llx",
                                     static_cast<unsigned long long>(random()),
                                     static_cast<unsigned long long>(random()));
    return RequestId(std::string_view(text.data(), static_cast<std::size_t>(length)));
}

} // namespace

Filter makeRequestIdFilter()
{
    return [](const ContextPtr &context, const Next &next) {
        const auto given = findHeader(context->request->headers, headername::requestId);
        if (given && !isWellFormed(*given)) {
            context->id = newRequestId();
            failRequest(context,
                        {ErrorCode::InvalidHeader,
                         "the request id may hold up to 128 characters "
                         "out of letters, digits, - _ . :"});
            return;
        }
        // The caller's id is only a prefix, so that no two requests share an id.
        context->id = given ? RequestId(*given + "." + newRequestId().str()) : newRequestId();
        next();
    };
}

} // namespace balsamport
