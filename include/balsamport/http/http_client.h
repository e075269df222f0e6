#ifndef BALSAMPORT_HTTP_HTTP_CLIENT_H
#define BALSAMPORT_HTTP_HTTP_CLIENT_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/http/http_message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief The open connections that carried one request. Shared by the exchanges that send it
/// again; used on the client's thread only.
struct CarryingConnections
{
    std::set<std::string> connections; ///< Their endpoints, both.

    bool operator==(const CarryingConnections &) const = default;
};

/// @brief A request to a backend server or to the platform.
struct OutgoingRequest
{
    std::string method = "GET";
    std::string url; ///< http://IP:PORT/path
    /// Request target that is sent byte for byte in place of the path of `url`; empty for none.
    std::string target;
    HttpHeaders headers;
    std::string body;
    Millis connectTimeout{1000};
    Millis timeout{60'000}; ///< For the whole exchange.
    Millis idleTimeout{0}; ///< Longest time without a byte of the response; 0 for no limit.
    /// Opens a new connection, as a kept one may break while the request is sent.
    bool freshConnection = false;
    /// Connections that carried this request before aren't used again, as a late copy of an earlier
    /// response would be taken for the response to this one. Empty for no check.
    std::shared_ptr<CarryingConnections> carriedBy;
    /// Longest response, its head included; a longer one ends with BadResponse. 0 for no limit on
    /// the body.
    std::size_t maxResponseBytes = 0;
    /// A kept connection that was idle for longer is not reused.
    Millis maxConnectionIdleTime{5'000};
};

/// @brief Status and headers of a response, before its body.
struct ResponseHead
{
    int status = 0;
    HttpHeaders headers;

    bool operator==(const ResponseHead &) const = default;
};

/// @brief Callbacks of one exchange, called on the client's thread; they must not block.
struct ExchangeHandlers
{
    /// Called once the connection is established, before the first byte of the request is sent.
    /// Returning false ends the exchange with ClaimExpired, and nothing is sent.
    std::function<bool()> mayStillSend;
    std::function<void(const ResponseHead &head)> onHead;
    /// Receives a chunk of the body; returning false pauses the exchange until resume().
    std::function<bool(std::string_view chunk)> onBodyChunk;
    /// Called once at the end of the exchange. After ConnectFailed and ClaimExpired no byte of the
    /// request was sent; after ConnectionBroken, Timeout, BadResponse and MalformedResponse, which
    /// says that the bytes are no HTTP response, the server may have read it.
    std::function<void(const Result<void> &result)> onDone;
};

/// @brief Sends HTTP requests with libcurl, any number at the same time, on a thread of its own.
///
/// Responses are judged by their bytes as they came. After one that is no HTTP response, or that is
/// followed by further bytes, the connection is closed.
/// Proxies named in the environment are not used. Connections are kept and reused. A request on a
/// kept connection that breaks before the first byte of the response is never resent
/// automatically. All functions may be called from any thread.
class HttpClient
{
public:
    HttpClient();
    ~HttpClient(); ///< Ends all exchanges with ConnectionBroken.
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// @brief Starts an exchange.
    /// @return the exchange's id for resume() and cancel()
    std::uint64_t start(OutgoingRequest request, ExchangeHandlers handlers);

    /// @return the time for which the oldest exchange has waited that was started and hasn't begun;
    /// 0 for none
    [[nodiscard]] Millis startDelay() const;

    /// @brief Continues an exchange that onBodyChunk paused. The chunk that onBodyChunk refused is
    /// passed to it again.
    void resume(std::uint64_t exchangeId);

    /// @brief Closes the connection of an exchange; onDone is called with CallerGone.
    void cancel(std::uint64_t exchangeId);

    /// @brief Sends a request and waits for the complete response. Must not be called on the
    /// client's thread.
    /// @return the response whatever its status, or ConnectFailed, ConnectionBroken, Timeout,
    /// BadResponse, MalformedResponse
    [[nodiscard]] Result<HttpResponse> fetch(OutgoingRequest request);

private:
    struct Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace balsamport

#endif
