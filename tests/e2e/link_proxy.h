#ifndef BALSAMPORT_TESTS_LINK_PROXY_H
#define BALSAMPORT_TESTS_LINK_PROXY_H

#include <asio.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace balsamport::testing {

/// @brief How a link treats the bytes that pass it.
enum class LinkMode {
    Normal,
    Delayed, ///< Each chunk is delayed by delayMs.
    Silent, ///< No bytes pass; connections stay open.
    SilentBack, ///< As Silent, but only from the server to the caller.
    Refusing, ///< New connections are closed immediately.
    Spoiled, ///< Responses are no HTTP: the hyphen in the names of their lengths is a blank.
};

/// @brief A TCP relay on loopback that injects the faults of LinkMode.
class LinkProxy
{
public:
    /// @param listenPort 0 for any free port; a proxy that stops listening needs one below the
    /// ephemeral range, which no other socket takes meanwhile
    explicit LinkProxy(const std::string &target, std::uint16_t listenPort = 0)
        : acceptor(this->context,
                   asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), listenPort))
        , port(this->acceptor.local_endpoint().port())
        , targetPort(static_cast<std::uint16_t>(std::stoi(target.substr(target.rfind(':') + 1))))
    {
        this->closeOnExec();
        this->accept();
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~LinkProxy()
    {
        this->context.stop();
        this->thread.join();
    }
    LinkProxy(const LinkProxy &) = delete;
    LinkProxy &operator=(const LinkProxy &) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

    void setMode(LinkMode newMode) { this->mode = newMode; }

    /// @brief Lets no bytes pass from and to daemons, which are recognised by the name in the first
    /// message of their connection.
    /// @param names daemons that are cut off
    void cutOff(std::set<std::string> names)
    {
        asio::post(this->context,
                   [this, cutNames = std::move(names)] { this->cutPeers = cutNames; });
    }

    /// @brief Lets all open connections go silent for good. New ones work.
    void silenceOpenConnections()
    {
        asio::post(this->context, [this] {
            for (const std::weak_ptr<Connection> &weak : this->connections) {
                if (const auto connection = weak.lock()) {
                    connection->silent = true;
                }
            }
        });
    }

    /// @brief Resets all open connections.
    void resetAll()
    {
        asio::post(this->context, [this] {
            for (const std::weak_ptr<Connection> &weak : this->connections) {
                if (const auto connection = weak.lock()) {
                    reset(connection->caller);
                    reset(connection->server);
                }
            }
            this->connections.clear();
        });
    }

    /// @brief Resets all open connections and the listening socket, as when the server's process
    /// ends.
    void stopListening()
    {
        this->resetAll();
        asio::post(this->context, [this] {
            asio::error_code ignored;
            this->acceptor.close(ignored);
        });
    }

    void startListening()
    {
        asio::post(this->context, [this] {
            this->acceptor = asio::ip::tcp::acceptor(
                    this->context,
                    asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), this->port));
            this->closeOnExec();
            this->accept();
        });
    }

private:
    using Socket = asio::ip::tcp::socket;
    static constexpr int delayMs = 120;

    struct Connection
    {
        explicit Connection(asio::io_context &context)
            : caller(context)
            , server(context)
        { }
        Socket caller;
        Socket server;
        std::array<char, 16384> requestBuffer{};
        std::array<char, 16384> responseBuffer{};
        bool silent = false;
        std::string peer; ///< The daemon that connected; empty before its first message.
    };

    /// Reads the name of the sending daemon, which each message begins with.
    static void recognisePeer(Connection &connection, std::string_view bytes)
    {
        constexpr std::string_view prefix = "edge-";
        const std::size_t at = bytes.find(prefix);
        if (connection.peer.empty() && at != std::string_view::npos) {
            connection.peer = std::string(bytes.substr(at, prefix.size() + 1)); // One digit.
        }
    }

    [[nodiscard]] bool isCut(const Connection &connection) const
    {
        return this->cutPeers.count(connection.peer) != 0;
    }

    static void reset(Socket &socket)
    {
        asio::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    /// A process that inherits the socket would keep the port open.
    void closeOnExec() { fcntl(this->acceptor.native_handle(), F_SETFD, FD_CLOEXEC); }

    void accept()
    {
        auto connection = std::make_shared<Connection>(this->context);
        this->acceptor.async_accept(connection->caller,
                                    [this, connection](const asio::error_code &error) {
                                        if (error) {
                                            return;
                                        }
                                        if (this->mode != LinkMode::Refusing) {
                                            this->connect(connection);
                                        }
                                        this->accept();
                                    });
    }

    void connect(const std::shared_ptr<Connection> &connection)
    {
        this->connections.insert(connection);
        connection->server.async_connect(
                asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), this->targetPort),
                [this, connection](const asio::error_code &error) {
                    if (error) {
                        reset(connection->caller);
                        return;
                    }
                    this->relay(connection, connection->caller, connection->server,
                                connection->requestBuffer, false);
                    this->relay(connection, connection->server, connection->caller,
                                connection->responseBuffer, true);
                });
    }

    void relay(const std::shared_ptr<Connection> &connection, Socket &from, Socket &to,
               std::array<char, 16384> &buffer, bool isResponse)
    {
        from.async_read_some(asio::buffer(buffer),
                             [this, connection, &from, &to, &buffer,
                              isResponse](const asio::error_code &error, std::size_t count) {
                                 if (error) {
                                     asio::error_code ignored;
                                     if (error == asio::error::eof) {
                                         to.shutdown(Socket::shutdown_send, ignored);
                                     } else {
                                         reset(to);
                                     }
                                     return;
                                 }
                                 this->forwardBytes(connection, from, to, buffer, count,
                                                    isResponse);
                             });
    }

    void forwardBytes(const std::shared_ptr<Connection> &connection, Socket &from, Socket &to,
                      std::array<char, 16384> &buffer, std::size_t count, bool isResponse)
    {
        const LinkMode now = this->mode;
        if (!isResponse) {
            recognisePeer(*connection, std::string_view(buffer.data(), count));
        }
        const bool silent = connection->silent || this->isCut(*connection)
                || now == LinkMode::Silent || (now == LinkMode::SilentBack && isResponse);
        if (silent || now == LinkMode::Delayed) {
            // Bytes on a silent link are held back, as on an interrupted network.
            auto timer = std::make_shared<asio::steady_timer>(this->context,
                                                              std::chrono::milliseconds(delayMs));
            timer->async_wait([this, connection, timer, &from, &to, &buffer, count, isResponse,
                               silent](const asio::error_code & /*error*/) {
                if (silent) {
                    this->forwardBytes(connection, from, to, buffer, count, isResponse);
                } else {
                    this->write(connection, from, to, buffer, count, isResponse);
                }
            });
            return;
        }
        if (now == LinkMode::Spoiled && isResponse) {
            spoil(buffer, count);
        }
        this->write(connection, from, to, buffer, count, isResponse);
    }

    static void spoil(std::array<char, 16384> &buffer, std::size_t count)
    {
        for (const std::string_view name : {"Content-Length:", "Transfer-Encoding:"}) {
            const std::size_t at = std::string_view(buffer.data(), count).find(name);
            if (at != std::string_view::npos) {
                buffer.at(at + name.find('-')) = ' ';
            }
        }
    }

    void write(const std::shared_ptr<Connection> &connection, Socket &from, Socket &to,
               std::array<char, 16384> &buffer, std::size_t count, bool isResponse)
    {
        asio::async_write(to, asio::buffer(buffer.data(), count),
                          [this, connection, &from, &to, &buffer,
                           isResponse](const asio::error_code &error, std::size_t /*count*/) {
                              if (error) {
                                  reset(from);
                                  return;
                              }
                              this->relay(connection, from, to, buffer, isResponse);
                          });
    }

    asio::io_context context{1};
    /// Keeps the thread running while the proxy neither listens nor has connections.
    asio::executor_work_guard<asio::io_context::executor_type> work
            = asio::make_work_guard(this->context);
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t port;
    std::uint16_t targetPort;
    std::atomic<LinkMode> mode{LinkMode::Normal};
    std::set<std::weak_ptr<Connection>, std::owner_less<std::weak_ptr<Connection>>> connections;
    std::set<std::string> cutPeers;
    std::thread thread;
};

} // namespace balsamport::testing

#endif
