#ifndef BALSAMPORT_WIRE_MESSAGE_SERVER_H
#define BALSAMPORT_WIRE_MESSAGE_SERVER_H

#include <balsamport/core/error.h>
#include <balsamport/wire/curve_keys.h>

#include <balsamport.pb.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace balsamport {

/// @brief Sends replies to one request; may be kept and called later, from any thread.
///
/// A request may get several replies, as a queued grant does. A reply to a peer that has gone is
/// dropped.
using ReplySender = std::function<void(wire::Envelope reply)>;

/// @brief Handles one message. Called on the server's own thread; must not block.
using MessageHandler = std::function<void(const wire::Envelope &message, const ReplySender &reply)>;

/// @brief Receives messages from peers on a ZeroMQ ROUTER socket and sends replies.
///
/// Owns one thread. Messages that are not a valid Envelope, or larger than `maxMessageBytes`, are
/// dropped and logged.
class MessageServer
{
public:
    static constexpr std::int64_t maxMessageBytes = std::int64_t{16} * 1024 * 1024;

    /// @brief Binds and starts the thread.
    /// @param endpoint tcp://IP:PORT
    /// @param keys CURVE keys; nothing means plain text
    /// @return ListenFailed where the endpoint cannot be bound
    [[nodiscard]] static Result<std::unique_ptr<MessageServer>> start(const std::string &endpoint,
                                                                      const MessageSender &self,
                                                                      const CurveKeys &keys,
                                                                      MessageHandler handler);

    /// Stops the thread; replies that are still queued are sent first, for at most 500 ms.
    ~MessageServer();

    MessageServer(const MessageServer &) = delete;
    MessageServer &operator=(const MessageServer &) = delete;

    [[nodiscard]] std::uint64_t bytesReceived() const noexcept;
    [[nodiscard]] std::uint64_t bytesSent() const noexcept;

private:
    struct Loop;
    explicit MessageServer(std::shared_ptr<Loop> loop);
    std::shared_ptr<Loop> loop;
};

} // namespace balsamport

#endif
