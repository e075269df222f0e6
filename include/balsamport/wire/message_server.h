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

/// @brief Sends a reply to a request. May be stored and called later, from any thread.
///
/// A request may have several replies, for example a queued grant. Replies to a disconnected peer
/// are dropped.
using ReplySender = std::function<void(wire::Envelope reply)>;

/// @brief Handles a message. Called on the thread of the server; must not block.
using MessageHandler = std::function<void(const wire::Envelope &message, const ReplySender &reply)>;

/// @brief Receives messages of peers on a ZeroMQ ROUTER socket and sends replies.
///
/// Owns a thread. Messages that are not a valid Envelope, or larger than `maxMessageBytes`, are
/// dropped and logged.
class MessageServer
{
public:
    static constexpr std::int64_t maxMessageBytes = std::int64_t{16} * 1024 * 1024;

    /// @brief Binds to an endpoint and starts the thread.
    /// @param endpoint tcp://IP:PORT
    /// @param keys CURVE keys; without keys, messages are not encrypted
    /// @return ListenFailed if the endpoint cannot be bound
    [[nodiscard]] static Result<std::unique_ptr<MessageServer>> start(const std::string &endpoint,
                                                                      const MessageSender &self,
                                                                      const CurveKeys &keys,
                                                                      MessageHandler handler);

    /// Sends the queued replies, for at most 500 ms, and stops the thread.
    ~MessageServer();

    MessageServer(const MessageServer &) = delete;
    MessageServer &operator=(const MessageServer &) = delete;

    [[nodiscard]] std::uint64_t bytesReceived() const noexcept;
    [[nodiscard]] std::uint64_t bytesSent() const noexcept;
    /// @return bytes of the serialized replies that were neither sent nor dropped yet
    [[nodiscard]] std::uint64_t bytesQueued() const noexcept;

private:
    struct Loop;
    explicit MessageServer(std::shared_ptr<Loop> loop);
    std::shared_ptr<Loop> loop;
};

} // namespace balsamport

#endif
