#ifndef BALSAMPORT_HTTP_LINGERING_SOCKET_H
#define BALSAMPORT_HTTP_LINGERING_SOCKET_H

#include <asio.hpp>

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

    /// @brief Ends the sending side, whatever `what` is.
    void shutdown(shutdown_type what, asio::error_code &failure);

    /// @brief Closes the socket as above. Pending operations are cancelled.
    void close();
};

} // namespace balsamport

#endif
