#include <balsamport/filters/service_path.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::string_view servicesPrefix = "/v1/services/";

bool isPlainPathCharacter(char c) noexcept
{
    constexpr std::string_view allowedPunctuation = "/-_.~!$&'()*+,;=:@";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || allowedPunctuation.find(c) != std::string_view::npos;
}

/// Whether a path has only one spelling: no escapes, dot segments or doubled slashes.
bool isCanonical(std::string_view path)
{
    const bool hasDotSegment = path.find("/./") != std::string_view::npos
            || path.find("/../") != std::string_view::npos || path.ends_with("/.")
            || path.ends_with("/..");
    return !hasDotSegment && path.find("//") == std::string_view::npos
            && std::all_of(path.begin(), path.end(), isPlainPathCharacter);
}

bool startsWithIgnoreCase(std::string_view text, std::string_view prefix)
{
    const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : int{c}; };
    return text.size() >= prefix.size()
            && std::equal(prefix.begin(), prefix.end(), text.begin(),
                          [lower](char a, char b) { return lower(a) == lower(b); });
}

} // namespace

Result<ServicePath> parseServicePath(std::string_view path)
{
    if (path.substr(0, servicesPrefix.size()) != servicesPrefix) {
        return Error{ErrorCode::UnknownService, "the path names no service"};
    }
    if (!isCanonical(path)) {
        return Error{ErrorCode::InvalidRequest,
                     "the path may hold no escapes, dot segments or doubled slashes"};
    }
    const std::string_view tail = path.substr(servicesPrefix.size());
    const std::size_t slash = tail.find('/');
    const std::string_view name = tail.substr(0, slash);
    if (name.empty()) {
        return Error{ErrorCode::UnknownService, "the path names no service"};
    }
    const std::string_view rest = slash == std::string_view::npos ? "/" : tail.substr(slash);
    return ServicePath{ServiceId(name), std::string(rest)};
}

bool isNonRepeatable(const ServiceConfig &service, std::string_view method, std::string_view rest)
{
    return std::any_of(service.nonRepeatable.begin(), service.nonRepeatable.end(),
                       [method, rest](std::string_view rule) {
                           const std::size_t space = rule.find(' ');
                           if (rule.substr(0, space) != method) {
                               return false;
                           }
                           // A service may ignore case, so other case must not bypass the rule.
                           return space == std::string_view::npos
                                   || startsWithIgnoreCase(rest, rule.substr(space + 1));
                       });
}

} // namespace balsamport
