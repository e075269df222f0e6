#ifndef BALSAMPORT_HTTP_RESPONSE_READER_H
#define BALSAMPORT_HTTP_RESPONSE_READER_H

#include <balsamport/core/error.h>
#include <balsamport/http/http_client.h>

#include <memory>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief Reads one response from its bytes as they came, by RFC 9110 and RFC 9112.
///
/// A response has one reading: the head that is passed on, the end of the body and the check of
/// both come from the same parser. Interim responses and trailers are checked and dropped. After
/// an error the connection has no further response and must be closed.
class ResponseReader
{
public:
    /// @param toHead true for the response to a HEAD request, which has no body
    explicit ResponseReader(bool toHead);
    ~ResponseReader();
    ResponseReader(const ResponseReader &) = delete;
    ResponseReader &operator=(const ResponseReader &) = delete;

    /// @brief Reads one line of a head, its line ending included. Lines after the final head are
    /// ignored: libcurl may repeat the trailer.
    /// @return MalformedResponse
    [[nodiscard]] Result<void> readHeadLine(std::string_view line);

    /// @brief Reads bytes of the body, chunk sizes and trailer included.
    /// @return MalformedResponse; takeContent() still has the content before the error
    [[nodiscard]] Result<void> readBody(std::string_view bytes);

    /// @brief Ends the response where its connection ended in an orderly way.
    /// @return MalformedResponse if it ends early
    [[nodiscard]] Result<void> readEnd();

    /// @return the content that was read since the last call
    [[nodiscard]] std::string takeContent();

    [[nodiscard]] const ResponseHead &head() const noexcept { return this->finalHead; }
    [[nodiscard]] bool isHeadComplete() const noexcept { return this->headComplete; }
    [[nodiscard]] bool isComplete() const noexcept;

    /// @return true where bytes followed the complete response; they belong to no request
    [[nodiscard]] bool hasSurplus() const noexcept { return this->surplus; }

private:
    class Parser;

    [[nodiscard]] Result<void> readHead();

    bool toHead = false;
    std::unique_ptr<Parser> parser; ///< Of the head that is being read, then of its body.
    std::string unread; ///< The head so far; then the beginning of a chunk size or a trailer.
    ResponseHead finalHead;
    bool headComplete = false;
    bool surplus = false;
};

} // namespace balsamport

#endif
