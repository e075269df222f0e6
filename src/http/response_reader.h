#ifndef BALSAMPORT_HTTP_RESPONSE_READER_H
#define BALSAMPORT_HTTP_RESPONSE_READER_H

#include <balsamport/core/error.h>
#include <balsamport/http/http_client.h>

#include <string>
#include <string_view>

namespace balsamport {

/// @brief Reads the head of a response from its bytes as they came, by RFC 9110 and RFC 9112.
///
/// The head that is passed on is the one that was checked. Interim responses are checked and
/// dropped. After an error the connection has no further response and must be closed.
class ResponseReader
{
public:
    /// @param toHead true for the response to a HEAD request, which has no body
    explicit ResponseReader(bool toHead);

    /// @brief Reads one line of a head, its line ending included. Lines after the final head are
    /// ignored: libcurl may repeat the trailer.
    /// @return MalformedResponse
    [[nodiscard]] Result<void> readHeadLine(std::string_view line);

    [[nodiscard]] const ResponseHead &head() const noexcept { return this->finalHead; }
    [[nodiscard]] bool isHeadComplete() const noexcept { return this->headComplete; }

private:
    class Parser;

    [[nodiscard]] Result<void> readHead();

    bool toHead = false;
    std::string unread; ///< The head so far.
    ResponseHead finalHead;
    bool headComplete = false;
};

} // namespace balsamport

#endif
