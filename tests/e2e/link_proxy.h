#ifndef BALSAMPORT_TESTS_LINK_PROXY_H
#define BALSAMPORT_TESTS_LINK_PROXY_H

#include <asio.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace balsamport::testing {

/// @brief What a link does to the bytes on it.
enum class LinkMode {
    Normal,
    Delayed, ///< Each piece comes later by delayMs.
    Silent, ///< Nothing passes; connections stay open.
    SilentBack, ///< Only the way back is silent.
    Refusing, ///< New connections are closed at once.
};

/// @brief A TCP relay on loopback that misbehaves when it is told to.
class LinkProxy
{
public:
    explicit LinkProxy(const std::string &target)
        : acceptor(this->context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , targetPort(static_cast<std::uint16_t>(std::stoi(target.substr(target.rfind(':') + 1))))
    {
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

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

    void setMode(LinkMode newMode) { this->mode = newMode; }

    /// @brief Resets all connections that are open now.
    void resetAll()
    {
        asio::post(this->context, [this] {
            for (const std::weak_ptr<Pair> &weak : this->pairs) {
                if (const auto pair = weak.lock()) {
                    reset(pair->caller);
                    reset(pair->server);
                }
            }
            this->pairs.clear();
        });
    }

private:
    using Socket = asio::ip::tcp::socket;
    static constexpr int delayMs = 120;

    struct Pair
    {
        explicit Pair(asio::io_context &context)
            : caller(context)
            , server(context)
        { }
        Socket caller;
        Socket server;
        std::array<char, 16384> forth{};
        std::array<char, 16384> back{};
    };

    static void reset(Socket &socket)
    {
        asio::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    void accept()
    {
        auto pair = std::make_shared<Pair>(this->context);
        this->acceptor.async_accept(pair->caller, [this, pair](const asio::error_code &error) {
            if (error) {
                return;
            }
            if (this->mode != LinkMode::Refusing) {
                this->connect(pair);
            }
            this->accept();
        });
    }

    void connect(const std::shared_ptr<Pair> &pair)
    {
        this->pairs.insert(pair);
        pair->server.async_connect(
                asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), this->targetPort),
                [this, pair](const asio::error_code &error) {
                    if (error) {
                        reset(pair->caller);
                        return;
                    }
                    this->relay(pair, pair->caller, pair->server, pair->forth, false);
                    this->relay(pair, pair->server, pair->caller, pair->back, true);
                });
    }

    void relay(const std::shared_ptr<Pair> &pair, Socket &from, Socket &to,
               std::array<char, 16384> &buffer, bool isBack)
    {
        from.async_read_some(asio::buffer(buffer),
                             [this, pair, &from, &to, &buffer,
                              isBack](const asio::error_code &error, std::size_t count) {
                                 if (error) {
                                     asio::error_code ignored;
                                     if (error == asio::error::eof) {
                                         to.shutdown(Socket::shutdown_send, ignored);
                                     } else {
                                         reset(to);
                                     }
                                     return;
                                 }
                                 this->passOn(pair, from, to, buffer, count, isBack);
                             });
    }

    void passOn(const std::shared_ptr<Pair> &pair, Socket &from, Socket &to,
                std::array<char, 16384> &buffer, std::size_t count, bool isBack)
    {
        const LinkMode now = this->mode;
        const bool silent = now == LinkMode::Silent || (now == LinkMode::SilentBack && isBack);
        if (silent || now == LinkMode::Delayed) {
            // Bytes of a silent link wait as they do on a cut network.
            auto timer = std::make_shared<asio::steady_timer>(this->context,
                                                              std::chrono::milliseconds(delayMs));
            timer->async_wait([this, pair, timer, &from, &to, &buffer, count, isBack,
                               silent](const asio::error_code & /*error*/) {
                if (silent) {
                    this->passOn(pair, from, to, buffer, count, isBack);
                } else {
                    this->write(pair, from, to, buffer, count, isBack);
                }
            });
            return;
        }
        this->write(pair, from, to, buffer, count, isBack);
    }

    void write(const std::shared_ptr<Pair> &pair, Socket &from, Socket &to,
               std::array<char, 16384> &buffer, std::size_t count, bool isBack)
    {
        asio::async_write(to, asio::buffer(buffer.data(), count),
                          [this, pair, &from, &to, &buffer, isBack](const asio::error_code &error,
                                                                    std::size_t /*count*/) {
                              if (error) {
                                  reset(from);
                                  return;
                              }
                              this->relay(pair, from, to, buffer, isBack);
                          });
    }

    asio::io_context context{1};
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t targetPort;
    std::atomic<LinkMode> mode{LinkMode::Normal};
    std::set<std::weak_ptr<Pair>, std::owner_less<std::weak_ptr<Pair>>> pairs;
    std::thread thread;
};

} // namespace balsamport::testing

#endif
