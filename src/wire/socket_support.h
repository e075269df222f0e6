#ifndef BALSAMPORT_WIRE_SOCKET_SUPPORT_H
#define BALSAMPORT_WIRE_SOCKET_SUPPORT_H

#include <balsamport/wire/curve_keys.h>

#include <balsamport.pb.h>

#include <zmq.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace balsamport {

/// @brief Wakes up a thread that waits in zmq::poll(). signal() may be called from any thread.
///
/// Several signals before the next clear() cost only one system call.
class Wakeup
{
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup &) = delete;
    Wakeup &operator=(const Wakeup &) = delete;

    void signal() noexcept;

    /// @return the item to poll
    [[nodiscard]] zmq::pollitem_t pollItem() const noexcept;

    /// @brief Clears all signals. Must be called before the thread reads the data that the signals
    /// announce; otherwise data added in between is missed.
    void clear() noexcept;

private:
    int fd;
    std::atomic<bool> signalled{false};
};

/// Bytes of messages that were handed to ZeroMQ and are not sent or dropped yet.
using MessageMeter = std::shared_ptr<std::atomic<std::uint64_t>>;

/// @brief Serializes an envelope as a ZeroMQ message, whose copies share its bytes.
/// @param meter counts the bytes until the last copy is destroyed
[[nodiscard]] zmq::message_t serialize(const wire::Envelope &envelope, const MessageMeter &meter);

/// @brief Receives and discards the remaining frames of the message that `last` is part of.
/// @return true if there were any
bool discardRemainingFrames(zmq::socket_t &socket, const zmq::message_t &last);

/// @brief Authenticates peers by their CURVE keys (ZeroMQ Authentication Protocol, ZeroMQ RFC 27).
/// Does nothing without keys.
class CurveAuthenticator
{
public:
    CurveAuthenticator(zmq::context_t &context, const CurveKeys &keys);
    ~CurveAuthenticator();
    CurveAuthenticator(const CurveAuthenticator &) = delete;
    CurveAuthenticator &operator=(const CurveAuthenticator &) = delete;

    static void configureServer(zmq::socket_t &socket, const CurveKeys &keys);
    static void configureClient(zmq::socket_t &socket, const CurveKeys &keys);

private:
    void run();

    std::vector<std::string> acceptedKeys;
    zmq::context_t &context;
    zmq::socket_t zapSocket;
    Wakeup wakeup;
    std::thread thread;
};

} // namespace balsamport

#endif
