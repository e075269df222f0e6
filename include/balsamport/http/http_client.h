#ifndef BALSAMPORT_HTTP_HTTP_CLIENT_H
#define BALSAMPORT_HTTP_HTTP_CLIENT_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/http/http_message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief A request to a backend server or to the platform.
struct OutgoingRequest
{
    std::string method = "GET";
    std::string url; ///< http://IP:PORT/path
    std::string target; ///< Sent in place of the path of the url, byte for byte; empty for none.
    HttpHeaders headers;
    std::string body;
    Millis connectTimeout{1000};
    Millis timeout{60'000}; ///< For the whole exchange.
    Millis idleTimeout{0}; ///< Longest silence while the answer is awaited; 0 for none.
    /// Opens a new connection, so that a kept one cannot break under the request.
    bool freshConnection = false;
    /// Longest answer, its head included; a longer one ends with BadResponse. 0 for any body.
    std::size_t maxResponseBytes = 0;
    /// A kept connection that was idle for longer is not reused.
    Millis maxConnectionIdleTime{5'000};
};

/// @brief The status line and headers of an answer, before its body.
struct ResponseHead
{
    int status = 0;
    HttpHeaders headers;

    bool operator==(const ResponseHead &) const = default;
};

/// @brief Callbacks of one exchange, called on the client's thread; they must not block.
struct ExchangeHandlers
{
    /// Called once when the connection stands and before the first byte is sent; returning false
    /// abandons the exchange with ClaimExpired, and nothing is sent.
    std::function<bool()> mayStillSend;
    std::function<void(const ResponseHead &head)> onHead;
    /// Takes a piece of the body; returning false pauses the exchange until resume().
    std::function<bool(std::string_view piece)> onBodyChunk;
    /// Ends the exchange. ConnectFailed and ClaimExpired: no byte of the request was sent.
    /// ConnectionBroken, Timeout, BadResponse: it may have been read.
    std::function<void(const Result<void> &result)> onDone;
};

/// @brief Makes HTTP requests with libcurl; any number at once, on one thread of its own.
///
/// Proxies named in the environment are not used. Connections are kept and used again; a request
/// on a kept connection that breaks before any byte of an answer came is never sent again by
/// itself. All functions may be called from any thread.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient(); ///< Ends all exchanges with ConnectionBroken.
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// @brief Starts an exchange.
    /// @return a number for resume() and cancel()
    std::uint64_t start(OutgoingRequest request, ExchangeHandlers handlers);

    /// @brief Goes on with an exchange that onBodyChunk paused. The piece that was refused is given
    /// again.
    void resume(std::uint64_t number);

    /// @brief Breaks the connection of an exchange; onDone is called with CallerGone.
    void cancel(std::uint64_t number);

    /// @brief Makes a request and waits for the whole answer. Not for use on the client's thread.
    /// @return the answer whatever its status, or ConnectFailed, ConnectionBroken, Timeout
    [[nodiscard]] Result<HttpResponse> fetch(OutgoingRequest request);

private:
    struct Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace balsamport

#endif
