#ifndef BALSAMPORT_HTTP_HTTP_SERVER_H
#define BALSAMPORT_HTTP_HTTP_SERVER_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/core/memory_budget.h>
#include <balsamport/http/http_message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief A complete request from a caller.
struct IncomingRequest
{
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< Without the question mark.
    std::string target; ///< Path and query as received.
    HttpHeaders headers;
    std::string body;
    std::string remote; ///< IP:PORT of the caller
    Millis receivedAt; ///< When its last byte could be read, as estimated.
};

/// @brief Writes the response to one request, either complete or as a stream. May be used from any
/// thread.
///
/// A stream whose writer is destroyed without finish() breaks the connection, so that no caller
/// takes a part of the response for the complete one.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /// @brief Sends a complete response. Only the first call of send() or startStream() has an
    /// effect.
    virtual void send(const HttpResponse &response) = 0;

    /// @brief Starts a chunked response. A caller of HTTP/1.0 gets it with its length once it is
    /// complete, or status 502.
    virtual void startStream(int status, const HttpHeaders &headers) = 0;

    /// @brief Sends a chunk of a stream.
    /// @param onWritten called once the chunk was written to the connection, or was dropped because
    /// the caller has disconnected
    virtual void write(std::string chunk, std::function<void()> onWritten) = 0;

    /// @brief Completes a stream.
    virtual void finish() = 0;

    /// @brief Breaks the connection.
    virtual void abort() = 0;

    /// @return true where the caller's connection is closed
    [[nodiscard]] virtual bool isDisconnected() const = 0;

    /// @brief Calls `callback` once when the caller's connection closes; immediately where it is
    /// closed already.
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

/// @brief Why and how the connection of a caller ended.
struct ConnectionEnd
{
    std::string remote; ///< IP:PORT of the caller
    std::string reason; ///< In words, for the log.
    Millis age{0}; ///< Time since the connection was accepted.
    std::uint32_t answered = 0; ///< Requests whose responses are complete.
    std::uint32_t unanswered = 0; ///< Requests that a handler got, without a complete response.
    std::uint32_t unhandled = 0; ///< Requests that were read, but that no handler got.

    bool operator==(const ConnectionEnd &) const = default;
};

/// @brief Handles a request. On one connection, the next request is handed over once the response
/// before it is complete, and only if the connection stays open then.
using HttpHandler = std::function<void(std::shared_ptr<const IncomingRequest> request,
                                       std::shared_ptr<ResponseWriter> writer)>;

/// @brief Address, limits and TLS files of a server.
struct HttpServerSettings
{
    std::string address; ///< IP:PORT
    std::uint32_t threads = 2;
    std::uint64_t maxBodyBytes = 1'048'576;
    std::uint32_t maxConnections = 8'192;
    Millis readTimeout{10'000}; ///< For receiving a complete request, and for an idle connection.
    Millis handleTimeout{600'000};
    std::string tlsCertificateFile; ///< PEM; empty for plain HTTP.
    std::string tlsKeyFile; ///< PEM
    /// Shared by all servers of the process; null for no limit. With a budget, a server of one
    /// thread ends the connections whose requests have been incomplete for longest when the budget
    /// or maxConnections is used up, and those whose requests arrive too slowly.
    std::shared_ptr<MemoryBudget> memory;
    /// Called with the reason when a connection is ended for that; must not block. May be empty.
    std::function<void(std::string_view reason)> onEviction;
    /// Called when a connection ends; must not block. May be empty.
    std::function<void(const ConnectionEnd &end)> onConnectionEnd;
    /// Called for each request, with the time that it waited before it was read, as estimated; must
    /// not block. If it returns true, the request is refused with 503. May be empty.
    std::function<bool(Millis readDelay)> refuses;
};

/// @brief Serves HTTP with RESTinio. Owns its threads.
class HttpServer
{
public:
    /// @return ListenFailed where the address cannot be bound; KeyFileInvalid or KeyFilePermissions
    /// where a TLS file is refused
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>>
    start(const HttpServerSettings &settings, HttpHandler handler);
    /// @brief Closes the listening socket and all connections.
    ///
    /// Writers that are still referenced have no effect from then on; they report their callers as
    /// disconnected.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// @return the number of open connections
    [[nodiscard]] std::uint32_t connections() const noexcept;

    /// @return true while written bytes wait for slow callers; they are lost if the server is
    /// destroyed
    [[nodiscard]] bool hasUnsentBytes() const noexcept;

    /// @return the longest time for which written bytes waited until their sockets took them, since
    /// the last call
    [[nodiscard]] Millis takeLongestWrite() noexcept;

    /// @brief From now on, a response closes its connection, unless the caller has already sent
    /// another request on it: then the last of these responses does.
    void closeAfterResponses() noexcept;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace balsamport

#endif
