#ifndef BALSAMPORT_HTTP_RESPONSE_WRITER_H
#define BALSAMPORT_HTTP_RESPONSE_WRITER_H

#include "stream_output.h"

#include <balsamport/http/http_server.h>

#include <restinio/all.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief Responds to one request on a RESTinio connection.
class RestinioWriter : public ResponseWriter
{
public:
    /// @param unsentWrites counts the writes that the connections' sockets have not taken yet
    RestinioWriter(restinio::request_handle_t handle,
                   std::shared_ptr<std::atomic<std::uint32_t>> unsentWrites);
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

    /// @return a callback that ends the count of a write
    [[nodiscard]] std::function<void(const asio::error_code &)>
    countWrite(std::function<void()> onWritten) const;

    /// Recursive, because RESTinio may close the connection, and call handleConnectionClosed(),
    /// within a call that ends a response.
    std::recursive_mutex mutex;
    std::shared_ptr<std::atomic<std::uint32_t>> unsentWrites;
    restinio::request_handle_t request; ///< Guarded by mutex. Null once detached.
    std::unique_ptr<Stream> stream; ///< Guarded by mutex.
    /// A stream for a caller of HTTP/1.0, which knows no chunks, or for a HEAD request: sent with
    /// its length once it is complete. Guarded by mutex.
    std::optional<HttpResponse> collected;
    std::function<void()> disconnectCallback; ///< Guarded by mutex.
    bool responseStarted = false; ///< Guarded by mutex.
    std::atomic<bool> disconnected{false};
};

/// @brief Notifies the writers of a connection when it closes.
class ConnectionRegistry
{
public:
    /// @brief Adds a writer to an open connection.
    void add(restinio::connection_id_t id, const std::weak_ptr<RestinioWriter> &writer);

    // NOLINTNEXTLINE(readability-identifier-naming): RESTinio requires this name.
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept;

    /// @brief Detaches every writer that is still referenced.
    void detachAll();

    [[nodiscard]] std::uint32_t openConnections() const noexcept { return this->connectionCount; }

    /// @return the number of writes of all connections that their sockets have not taken yet
    [[nodiscard]] std::shared_ptr<std::atomic<std::uint32_t>> unsentWrites() const noexcept
    {
        return this->unsentWriteCount;
    }

private:
    using Writers = std::vector<std::weak_ptr<RestinioWriter>>;

    void addClosedWriters(const Writers &closed);

    std::mutex mutex;
    /// Writers of the open connections. Guarded by mutex.
    std::unordered_map<restinio::connection_id_t, Writers> writers;
    Writers closedWriters; ///< Of closed connections, expired ones included. Guarded by mutex.
    /// Size of closedWriters at which expired writers are removed. Guarded by mutex.
    std::size_t purgeThreshold = 0;
    std::atomic<std::uint32_t> connectionCount{0};
    std::shared_ptr<std::atomic<std::uint32_t>> unsentWriteCount
            = std::make_shared<std::atomic<std::uint32_t>>(0);
};

/// @brief Copies the parts of a RESTinio request that a handler uses.
[[nodiscard]] std::shared_ptr<const IncomingRequest>
readRequest(const restinio::request_handle_t &handle);

} // namespace balsamport

#endif
