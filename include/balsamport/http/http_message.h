#ifndef BALSAMPORT_HTTP_HTTP_MESSAGE_H
#define BALSAMPORT_HTTP_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief One header field.
struct HttpHeader
{
    std::string name;
    std::string value;

    bool operator==(const HttpHeader &) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// @brief A complete response.
struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

/// @brief Finds a header field by its name, ignoring case.
/// @return the value of the first such field; nothing where there is none
/// @complexity linear in the number of headers
[[nodiscard]] std::optional<std::string> findHeader(const HttpHeaders &headers,
                                                    std::string_view name);

} // namespace balsamport

#endif
