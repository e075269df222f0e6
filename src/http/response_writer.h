#ifndef BALSAMPORT_HTTP_RESPONSE_WRITER_H
#define BALSAMPORT_HTTP_RESPONSE_WRITER_H

#include "connection_guard.h"
#include "stream_output.h"

#include <balsamport/http/http_server.h>

#include <restinio/all.hpp>

#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamport {

class ConnectionRegistry;

/// @brief Responds to one request on a RESTinio connection.
class RestinioWriter : public ResponseWriter
{
public:
    /// @param connections gets to know when the response is complete
    /// @param requestMemory reserved for the bytes of the request, until the writer is destroyed
    RestinioWriter(restinio::request_handle_t handle,
                   std::shared_ptr<ConnectionRegistry> connections,
                   MemoryReservation requestMemory);
    ~RestinioWriter() override;
    RestinioWriter(const RestinioWriter &) = delete;
    RestinioWriter &operator=(const RestinioWriter &) = delete;

    void send(const HttpResponse &response) override;
    void startStream(int status, const HttpHeaders &headers) override;
    void write(std::string chunk, std::function<void()> onWritten) override;
    void finish() override;
    void abort() override;
    [[nodiscard]] bool isDisconnected() const override { return this->disconnected; }
    void onDisconnect(std::function<void()> callback) override;

    /// @brief Responds with 400 and the name of the error, and closes the connection: where the
    /// next request begins is not certain.
    void refuse(const Error &error);

    /// @brief Marks the caller as disconnected and calls the callback of onDisconnect().
    void handleConnectionClosed();

    /// @brief Releases the connection, because the server that owns it is about to be destroyed.
    ///
    /// From then on the writer's functions have no effect.
    void detach();

private:
    using Stream = restinio::response_builder_t<StreamOutput>;

    void breakResponse();
    // The mutex must be locked.
    void sendLocked(const HttpResponse &response);
    void breakLocked();

    /// @return a callback that ends the count of a write, and releases the memory for its bytes
    [[nodiscard]] std::function<void(const asio::error_code &)>
    countWrite(std::function<void()> onWritten, std::size_t bytes) const;

    /// Recursive, because RESTinio may close the connection, and call handleConnectionClosed(),
    /// within a call that ends a response.
    std::recursive_mutex mutex;
    std::shared_ptr<ConnectionRegistry> registry;
    MemoryReservation memory; ///< For the bytes of the request.
    /// Of the stream; shared with the callbacks of its writes.
    std::shared_ptr<std::atomic<std::size_t>> unsentBytes
            = std::make_shared<std::atomic<std::size_t>>(0);
    restinio::request_handle_t request; ///< Guarded by mutex. Null once detached.
    std::unique_ptr<Stream> stream; ///< Guarded by mutex.
    /// A stream for a caller of HTTP/1.0, which knows no chunks, or for a HEAD request: sent with
    /// its length once it is complete. Guarded by mutex.
    std::optional<HttpResponse> collected;
    std::function<void()> disconnectCallback; ///< Guarded by mutex.
    bool responseStarted = false; ///< Guarded by mutex.
    std::atomic<bool> disconnected{false};
};

/// @brief Keeps RESTinio's reason for closing a connection until the registry, which is notified
/// on the same thread, takes it.
class CloseReasonLogger
{
public:
    // NOLINTBEGIN(readability-identifier-naming): RESTinio requires these names.
    template<typename MessageBuilder>
    constexpr void trace(MessageBuilder && /*builder*/) const noexcept
    { }
    template<typename MessageBuilder>
    constexpr void info(MessageBuilder && /*builder*/) const noexcept
    { }
    template<typename MessageBuilder>
    constexpr void warn(MessageBuilder && /*builder*/) const noexcept
    { }
    template<typename MessageBuilder>
    void error(MessageBuilder &&builder) const
    {
        CloseReasonLogger::reason() = builder();
    }
    // NOLINTEND(readability-identifier-naming)

    /// @return the reason that was logged last on this thread; empty for none
    [[nodiscard]] static std::string takeReason();

private:
    [[nodiscard]] static std::string &reason();
};

/// @brief Hands the requests of each connection to the handler, one after the other, and notifies
/// the writers of a connection when it closes.
///
/// RESTinio reads on while a request is handled, to notice that its connection closes, and may read
/// another request. That one waits here for the response before it, because the connection might
/// end with it: a request that can't be answered must not be handled.
class ConnectionRegistry : public std::enable_shared_from_this<ConnectionRegistry>
{
public:
    /// @param idleLimit time after which RESTinio closes a connection without a request
    /// @param memory of the connections of the process; null for no limit
    /// @param refuses see HttpServerSettings
    ConnectionRegistry(HttpHandler handler, std::function<void(const ConnectionEnd &)> onEnd,
                       std::function<bool(Millis)> refuses, Millis idleLimit,
                       std::shared_ptr<MemoryBudget> memory);

    /// @brief Starts to hand over requests on the threads of `loop`.
    void attach(asio::io_context &loop);

    /// @brief Drops the waiting requests and hands over no more of them.
    void detach();

    /// @brief Sets for how long received bytes wait until a thread of the server reads them.
    void setReadDelay(Millis delay) noexcept { this->readDelay = delay; }

    /// @brief Hands over a request, once the responses before it on its connection are complete.
    void accept(const restinio::request_handle_t &request);

    /// @brief Must be called when a response is complete, before its end is sent. Hands over the
    /// next request if the connection stays open.
    /// @param mustClose the caller does not keep the connection
    /// @param mayClose the connection is to be closed unless another request was read from it
    /// @return true if the connection closes after the response
    [[nodiscard]] bool completeResponse(restinio::connection_id_t id, bool mustClose,
                                        bool mayClose);

    /// @brief Must be called when a response is broken off: its connection closes.
    void breakResponse(restinio::connection_id_t id);

    /// @brief Ends a connection after the response to a malformed request. The requests behind it
    /// are dropped.
    void endAfterRefusal(restinio::connection_id_t id, const Error &error);

    /// @brief From now on, a response closes its connection if no other request was read from it.
    void closeAfterResponses() noexcept { this->closing = true; }

    // NOLINTNEXTLINE(readability-identifier-naming): RESTinio requires this name.
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept;

    /// @brief Detaches every writer that is still referenced.
    void detachAll();

    [[nodiscard]] std::uint32_t openConnections() const noexcept { return this->connectionCount; }

    [[nodiscard]] const std::shared_ptr<MemoryBudget> &memoryBudget() const noexcept
    {
        return this->memory;
    }

    /// @return the number of writes of all connections that their sockets have not taken yet
    [[nodiscard]] std::shared_ptr<std::atomic<std::uint32_t>> unsentWrites() const noexcept
    {
        return this->unsentWriteCount;
    }

    /// @return the longest time of a write since the value was last set to 0
    [[nodiscard]] std::shared_ptr<std::atomic<std::int64_t>> longestWriteMs() const noexcept
    {
        return this->longestWriteTime;
    }

private:
    using Writers = std::vector<std::weak_ptr<RestinioWriter>>;
    /// A request and the memory that is reserved for its bytes.
    struct ReceivedRequest
    {
        restinio::request_handle_t handle;
        MemoryReservation memory;
        Millis readAt; ///< When its last byte could be read, as estimated.
    };
    using Requests = std::deque<ReceivedRequest>;

    struct Connection
    {
        Writers writers;
        std::shared_ptr<ConnectionMeter> meter; ///< Null where the server has no guard.
        Requests waiting; ///< Read, but not handed over.
        std::string remote;
        Millis acceptedAt;
        Millis activeAt; ///< When a request was read or a response was complete.
        bool busy = false; ///< A request was handed over whose response is not complete.
        std::string_view endReason; ///< Set once the connection is bound to close.
        std::uint32_t answered = 0;
        std::uint32_t unhandled = 0;
    };

    void handOver(ReceivedRequest received);
    /// Marks a connection as ending.
    /// @return the requests that wait, for the caller to destroy without the lock: they may own
    /// their connection
    [[nodiscard]] static Requests endConnection(Connection &connection, std::string_view reason);
    void addClosedWriters(const Writers &closed);
    void reportEnd(const Connection &connection, std::string reason) const;

    HttpHandler handler;
    std::function<void(const ConnectionEnd &)> onEnd;
    std::function<bool(Millis)> refuses; ///< May be empty.
    Millis idleLimit;
    std::atomic<Millis> readDelay{Millis(0)}; ///< See setReadDelay().
    std::shared_ptr<MemoryBudget> memory; ///< May be null.
    std::atomic<bool> closing{false};
    std::mutex mutex;
    asio::io_context *loop = nullptr; ///< Null once detached. Guarded by mutex.
    std::unordered_map<restinio::connection_id_t, Connection> connections; ///< Guarded by mutex.
    Writers closedWriters; ///< Of closed connections, expired ones included. Guarded by mutex.
    /// Size of closedWriters at which expired writers are removed. Guarded by mutex.
    std::size_t purgeThreshold = 0;
    std::atomic<std::uint32_t> connectionCount{0};
    std::shared_ptr<std::atomic<std::uint32_t>> unsentWriteCount
            = std::make_shared<std::atomic<std::uint32_t>>(0);
    std::shared_ptr<std::atomic<std::int64_t>> longestWriteTime
            = std::make_shared<std::atomic<std::int64_t>>(0);
};

/// @brief Copies the parts of a RESTinio request that a handler uses.
[[nodiscard]] std::shared_ptr<const IncomingRequest>
readRequest(const restinio::request_handle_t &handle, Millis readAt);

} // namespace balsamport

#endif
