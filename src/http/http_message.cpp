#include <balsamport/http/http_message.h>

#include <algorithm>

namespace balsamport {

namespace {

char lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool equalIgnoringCase(std::string_view a, std::string_view b) noexcept
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

} // namespace

std::optional<std::string> findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalIgnoringCase(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

} // namespace balsamport
