#ifndef BALSAMPORT_TESTS_SOCKET_SERVER_H
#define BALSAMPORT_TESTS_SOCKET_SERVER_H

#include <asio.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace balsamport::testing {

/// @brief A request as a SocketServer received it.
struct ReceivedRequest
{
    std::string head; ///< Request line and header fields.
    std::string body;

    /// @return the value of a header field; empty where the request has none
    [[nodiscard]] std::string field(const std::string &name) const
    {
        const std::size_t at = this->head.find(name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 2;
        return this->head.substr(begin, this->head.find("\r\n", begin) - begin);
    }
};

/// @brief A connection of a SocketServer, for its handler.
struct ServerConnection
{
    asio::ip::tcp::socket &socket;
    const std::atomic<bool> &stopping; ///< The server is being destroyed.
    asio::error_code failure; ///< Of the last write.

    /// @return the number of bytes that were written
    std::size_t write(const std::string &bytes)
    {
        return asio::write(this->socket, asio::buffer(bytes), this->failure);
    }

    /// @brief Closes the connection so that the peer gets a reset.
    void reset()
    {
        asio::error_code ignored;
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        this->socket.close(ignored);
        this->failure = asio::error::connection_reset;
    }

    /// @brief Closes the connection after what was written.
    void close()
    {
        asio::error_code ignored;
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        this->failure = asio::error::eof;
    }
};

/// @brief Reads requests on plain sockets, one thread a connection; the handler writes the bytes of
/// each response, so that they can violate HTTP.
class SocketServer
{
public:
    using Handler = std::function<void(const ReceivedRequest &, ServerConnection &)>;

    /// @param address IP:PORT on loopback
    SocketServer(const std::string &address, Handler requestHandler)
        : handler(std::move(requestHandler))
        , acceptor(this->context,
                   asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(),
                                           static_cast<std::uint16_t>(std::stoi(
                                                   address.substr(address.rfind(':') + 1)))))
        , thread([this] { this->acceptAll(); })
    { }

    ~SocketServer()
    {
        this->stopping = true;
        asio::error_code ignored;
        asio::ip::tcp::socket unblocker(this->context);
        unblocker.connect(this->acceptor.local_endpoint(), ignored); // Unblocks the accept call.
        this->thread.join();
        {
            const std::lock_guard lock(this->mutex);
            for (Connection &connection : this->connections) {
                connection.socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
            }
        }
        for (Connection &connection : this->connections) {
            connection.thread.join();
        }
    }
    SocketServer(const SocketServer &) = delete;
    SocketServer &operator=(const SocketServer &) = delete;

private:
    struct Connection
    {
        explicit Connection(asio::io_context &context)
            : socket(context)
        { }
        asio::ip::tcp::socket socket;
        std::thread thread;
    };

    void acceptAll()
    {
        while (!this->stopping) {
            Connection *connection = nullptr;
            {
                const std::lock_guard lock(this->mutex);
                connection = &this->connections.emplace_back(this->context);
            }
            asio::error_code failure;
            this->acceptor.accept(connection->socket, failure);
            connection->thread = std::thread([this, connection] { this->serve(*connection); });
        }
    }

    void serve(Connection &connection)
    {
        std::string received;
        ServerConnection peer{connection.socket, this->stopping, {}};
        while (!peer.failure && !this->stopping) {
            const std::size_t size = asio::read_until(
                    connection.socket, asio::dynamic_buffer(received), "\r\n\r\n", peer.failure);
            if (peer.failure) {
                break;
            }
            ReceivedRequest request{received.substr(0, size), {}};
            received.erase(0, size);
            const std::string length = request.field("Content-Length");
            const std::size_t bodyBytes = length.empty() ? 0 : std::stoul(length);
            if (received.size() < bodyBytes) {
                asio::read(connection.socket, asio::dynamic_buffer(received),
                           asio::transfer_exactly(bodyBytes - received.size()), peer.failure);
            }
            request.body = received.substr(0, bodyBytes);
            received.erase(0, bodyBytes);
            if (!peer.failure) {
                this->handler(request, peer);
            }
        }
        asio::error_code ignored;
        connection.socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }

    Handler handler;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::list<Connection> connections;
    std::thread thread;
};

} // namespace balsamport::testing

#endif
