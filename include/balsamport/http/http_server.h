#ifndef BALSAMPORT_HTTP_HTTP_SERVER_H
#define BALSAMPORT_HTTP_HTTP_SERVER_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/http/http_message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace balsamport {

/// @brief A request that came in whole.
struct IncomingRequest
{
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< Without the question mark.
    std::string target; ///< Path and query as they came.
    HttpHeaders headers;
    std::string body;
    std::string remote; ///< IP:PORT of the caller
};

/// @brief Answers one request, whole or as a stream. May be used from any thread.
///
/// An answer that is dropped without finish() breaks the connection, so that no caller takes a
/// part for the whole.
class ResponseWriter
{
public:
    virtual ~ResponseWriter() = default;

    /// @brief Sends a whole answer. Only the first call of send() or startStream() counts.
    virtual void send(const HttpResponse &answer) = 0;

    /// @brief Starts a chunked answer.
    virtual void startStream(int status, const HttpHeaders &headers) = 0;

    /// @brief Sends a piece of a stream.
    /// @param onWritten called once the piece has left, or was lost because the caller has gone
    virtual void write(std::string piece, std::function<void()> onWritten) = 0;

    /// @brief Ends a stream properly.
    virtual void finish() = 0;

    /// @brief Breaks the connection.
    virtual void abort() = 0;

    /// @return true where the caller's connection is closed
    [[nodiscard]] virtual bool isDisconnected() const = 0;

    /// @brief Calls back, once, when the caller's connection closes; at once where it has.
    virtual void onDisconnect(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<const IncomingRequest> request,
                                       std::shared_ptr<ResponseWriter> writer)>;

/// @brief Where a server listens and what it takes.
struct HttpServerSettings
{
    std::string address; ///< IP:PORT
    std::uint32_t threads = 2;
    std::uint64_t maxBodyBytes = 1'048'576;
    std::uint32_t maxConnections = 8'192;
    Millis readTimeout{10'000}; ///< For a request to come in whole, and for an idle connection.
    Millis handleTimeout{600'000};
    std::string tlsCertificateFile; ///< PEM; empty for plain HTTP.
    std::string tlsKeyFile; ///< PEM
};

/// @brief Serves HTTP with RESTinio. Owns its threads.
class HttpServer
{
public:
    /// @return ListenFailed where the address cannot be bound
    [[nodiscard]] static Result<std::unique_ptr<HttpServer>>
    start(const HttpServerSettings &settings, HttpHandler handler);
    /// @brief Closes the listening socket and all connections.
    ///
    /// Writers that somebody still holds have no effect from then on; their callers are gone.
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// @return connections that are open now
    [[nodiscard]] std::uint32_t connections() const noexcept;

private:
    struct Impl;
    explicit HttpServer(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace balsamport

#endif
