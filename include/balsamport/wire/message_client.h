#ifndef BALSAMPORT_WIRE_MESSAGE_CLIENT_H
#define BALSAMPORT_WIRE_MESSAGE_CLIENT_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/wire/curve_keys.h>

#include <balsamport.pb.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace balsamport {

/// @brief Takes a reply, or a typed failure: Timeout, MessageInvalid, or the peer's WireError.
/// @return true where more replies to the same request are awaited, for example after QUEUED
using ReplyHandler = std::function<bool(const Result<wire::Envelope> &reply)>;

/// @brief Sends requests to any number of peers on ZeroMQ DEALER sockets, one for each endpoint.
///
/// Owns one thread, on which every handler is called; handlers must not block. All functions may
/// be called from any thread. A peer that is down costs a timeout, never a wait of the caller.
class MessageClient
{
public:
    MessageClient(MessageSender self, CurveKeys keys);
    ~MessageClient();
    MessageClient(const MessageClient &) = delete;
    MessageClient &operator=(const MessageClient &) = delete;

    /// @brief Sends a request. The handler is called until it returns false, or once with a
    /// failure.
    /// @param endpoint tcp://IP:PORT
    /// @param timeout for each awaited reply
    /// @return a number for cancel()
    std::uint64_t request(const std::string &endpoint, wire::Envelope message, Millis timeout,
                          ReplyHandler handler);

    /// @brief Forgets a request: its handler is not called again. Unknown numbers are ignored.
    void cancel(std::uint64_t number);

    /// @brief Sends a message that has no reply.
    void notify(const std::string &endpoint, wire::Envelope message);

    /// @brief Sends a request and waits for one reply. Not for use on a handler's thread.
    [[nodiscard]] Result<wire::Envelope> call(const std::string &endpoint, wire::Envelope message,
                                              Millis timeout);

    [[nodiscard]] std::uint64_t bytesReceived() const noexcept;
    [[nodiscard]] std::uint64_t bytesSent() const noexcept;

private:
    struct Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace balsamport

#endif
