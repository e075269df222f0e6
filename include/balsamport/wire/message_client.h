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
#include <vector>

namespace balsamport {

/// @brief Handles a reply or an error: Timeout, MessageInvalid, or the WireError of the peer.
/// @return true if further replies to the request are expected, for example after QUEUED
using ReplyHandler = std::function<bool(const Result<wire::Envelope> &reply)>;

/// @brief Limits of the messages that wait because peers do not take them.
struct MessageQueueLimits
{
    int messagesPerPeer = 10'000;
    std::uint64_t bytes = std::uint64_t{64} * 1024 * 1024; ///< To all peers together.

    bool operator==(const MessageQueueLimits &) const = default;
};

/// @brief Sends requests to any number of peers over ZeroMQ DEALER sockets, one per endpoint.
///
/// Owns a thread that calls all handlers; handlers must not block. All functions may be called from
/// any thread. A request to an unreachable peer ends with a timeout; only call() blocks.
///
/// Beyond its limits of waiting messages, it drops the oldest ones for the peers that accept the
/// fewest, and requests to these end with a timeout at once until they accept messages again. The
/// same holds for all messages while the client's thread cannot keep up. What waits for a peer that
/// accepted nothing for ten minutes is dropped with its connection.
class MessageClient
{
public:
    MessageClient(MessageSender self, CurveKeys keys, MessageQueueLimits limits = {});
    ~MessageClient();
    MessageClient(const MessageClient &) = delete;
    MessageClient &operator=(const MessageClient &) = delete;

    /// @brief Sends a request. The handler is called for each reply until it returns false, or once
    /// with an error.
    /// @param endpoint tcp://IP:PORT
    /// @param timeout maximum wait for each expected reply
    /// @return the number of the request, for cancel()
    std::uint64_t request(const std::string &endpoint, wire::Envelope message, Millis timeout,
                          ReplyHandler handler);

    /// @brief Removes a request, so that its handler is not called again. Ignores unknown numbers.
    void cancel(std::uint64_t number);

    /// @brief Sends a message without a reply.
    void notify(const std::string &endpoint, wire::Envelope message);

    /// @brief Sends a message without a reply to several peers. All copies that wait to be sent
    /// share their bytes.
    void notifyAll(const std::vector<std::string> &endpoints, wire::Envelope message);

    /// @brief Sends a request and blocks until its first reply. Must not be called by a handler.
    [[nodiscard]] Result<wire::Envelope> call(const std::string &endpoint, wire::Envelope message,
                                              Millis timeout);

    [[nodiscard]] std::uint64_t bytesReceived() const noexcept;
    [[nodiscard]] std::uint64_t bytesSent() const noexcept;
    /// @return bytes of the messages that were neither sent nor dropped yet
    [[nodiscard]] std::uint64_t bytesQueued() const noexcept;
    /// @return the number of messages and requests that were dropped because too many bytes waited
    [[nodiscard]] std::uint64_t messagesDropped() const noexcept;

private:
    struct Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace balsamport

#endif
