#ifndef BALSAMPORT_HTTP_LINGERING_SOCKET_H
#define BALSAMPORT_HTTP_LINGERING_SOCKET_H

#include "connection_guard.h"

#include <asio.hpp>

#include <memory>
#include <utility>

namespace balsamport {

/// @brief A socket of RESTinio's plain server that closes a connection without losing what was
/// written to it.
///
/// The kernel resets a connection that is closed while received bytes are unread, and discards what
/// it has not sent by then. While bytes are unsent, close() therefore ends the sending side only
/// and discards what still arrives, until the peer closes the connection too, for at most a short
/// time. A connection without unsent bytes is closed at once: its peer then sees that a request
/// which arrives now was not read.
class LingeringSocket : public asio::ip::tcp::socket
{
public:
    using asio::ip::tcp::socket::socket;
    ~LingeringSocket();
    LingeringSocket(LingeringSocket &&) = default;
    LingeringSocket &operator=(LingeringSocket &&) = default;
    LingeringSocket(const LingeringSocket &) = delete;
    LingeringSocket &operator=(const LingeringSocket &) = delete;

    /// @brief Ends the sending side, whatever `what` is.
    void shutdown(shutdown_type what, asio::error_code &failure);

    /// @brief Closes the socket as above. Pending operations are cancelled.
    void close();

    /// @brief Reads as the socket of Asio does, and records the received bytes with the guard of
    /// the server, if it has one. A read that the guard cancels ends with an error, on which
    /// RESTinio closes the connection.
    template<typename Buffers, typename Handler>
    void async_read_some(const Buffers &buffers, Handler &&handler)
    {
        if (!this->meter && !this->joinGuard()) {
            asio::ip::tcp::socket::async_read_some(buffers, std::forward<Handler>(handler));
            return;
        }
        if (this->meter->isEvicted()) {
            this->cancelSoon();
        }
        const auto executor = asio::get_associated_executor(handler, this->get_executor());
        asio::ip::tcp::socket::async_read_some(
                buffers,
                asio::bind_executor(executor,
                                    [guard = this->guard, meter = this->meter,
                                     readHandler = std::forward<Handler>(handler)](
                                            asio::error_code failure, std::size_t bytes) mutable {
                                        if (!failure) {
                                            guard->recordReceived(*meter, bytes);
                                        }
                                        if (meter->isEvicted()) {
                                            failure = asio::error::connection_aborted;
                                        }
                                        const ConnectionMeter::Scope scope(*meter);
                                        readHandler(failure, bytes);
                                    }));
    }

private:
    /// @return false if the server has no guard
    bool joinGuard();
    void leaveGuard();
    /// Cancels the read that is about to begin.
    void cancelSoon();

    std::shared_ptr<ConnectionGuard> guard;
    std::shared_ptr<ConnectionMeter> meter;
};

} // namespace balsamport

#endif
