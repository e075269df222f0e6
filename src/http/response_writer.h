#ifndef BALSAMPORT_HTTP_RESPONSE_WRITER_H
#define BALSAMPORT_HTTP_RESPONSE_WRITER_H

#include <balsamport/http/http_server.h>

#include <restinio/all.hpp>

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief Answers one request on a RESTinio connection.
class RestinioWriter : public ResponseWriter
{
public:
    explicit RestinioWriter(restinio::request_handle_t handle);
    ~RestinioWriter() override;
    RestinioWriter(const RestinioWriter &) = delete;
    RestinioWriter &operator=(const RestinioWriter &) = delete;

    void send(const HttpResponse &answer) override;
    void startStream(int status, const HttpHeaders &headers) override;
    void write(std::string piece, std::function<void()> onWritten) override;
    void finish() override;
    void abort() override;
    [[nodiscard]] bool isDisconnected() const override { return this->gone; }
    void onDisconnect(std::function<void()> callback) override;

    /// @brief Tells the writer that its connection is closed.
    void connectionClosed();

    /// @brief Lets go of the connection, because the server that owns it is about to end.
    ///
    /// From then on nothing that is called on the writer has an effect.
    void detach();

private:
    using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

    void breakAnswer();

    std::mutex mutex;
    restinio::request_handle_t request; ///< Under mutex. Null once detached.
    std::unique_ptr<Stream> stream; ///< Under mutex.
    std::function<void()> goneCallback; ///< Under mutex.
    bool answered = false; ///< Under mutex.
    std::atomic<bool> gone{false};
};

/// @brief Tells the writers of a connection when it closes.
class ConnectionRegistry
{
public:
    /// @brief Adds a writer to an open connection.
    void add(restinio::connection_id_t id, const std::weak_ptr<RestinioWriter> &writer);

    // NOLINTNEXTLINE(readability-identifier-naming): RESTinio calls it by this name.
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept;

    /// @brief Detaches every writer that somebody still holds.
    void detachAll();

    [[nodiscard]] std::uint32_t open() const noexcept { return this->count; }

private:
    using Writers = std::vector<std::weak_ptr<RestinioWriter>>;

    void keepClosed(const Writers &closed);

    std::mutex mutex;
    std::unordered_map<restinio::connection_id_t, Writers> writers; ///< Under mutex.
    Writers closedWriters; ///< Of closed connections, until nobody holds them. Under mutex.
    std::size_t purgeSize = 0; ///< Of closedWriters, when those that are gone leave. Under mutex.
    std::atomic<std::uint32_t> count{0};
};

/// @brief Copies what a handler needs from a request of RESTinio.
[[nodiscard]] std::shared_ptr<const IncomingRequest>
readRequest(const restinio::request_handle_t &handle);

} // namespace balsamport

#endif
