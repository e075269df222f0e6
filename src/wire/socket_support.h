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

/// @brief Wakes a thread that waits in zmq::poll; signal() may be called from any thread.
///
/// Several signals before the next drain() cost one write.
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

    /// @brief Takes all signals. Call it before looking at what was signalled.
    void drain() noexcept;

private:
    int fd;
    std::atomic<bool> signalled{false};
};

/// @return the envelope as a ZeroMQ message
[[nodiscard]] zmq::message_t serialize(const wire::Envelope &envelope);

/// @brief Reads and drops the frames that follow `last`.
/// @return true where there were any
bool discardRest(zmq::socket_t &socket, const zmq::message_t &last);

/// @brief Lets only peers with an accepted CURVE key in (ZAP, RFC 27). Does nothing without keys.
class CurveGuard
{
public:
    CurveGuard(zmq::context_t &context, const CurveKeys &keys);
    ~CurveGuard();
    CurveGuard(const CurveGuard &) = delete;
    CurveGuard &operator=(const CurveGuard &) = delete;

    static void protectServer(zmq::socket_t &socket, const CurveKeys &keys);
    static void protectClient(zmq::socket_t &socket, const CurveKeys &keys);

private:
    void run();

    std::vector<std::string> accepted;
    zmq::context_t &context;
    zmq::socket_t handler;
    Wakeup wakeup;
    std::thread thread;
};

} // namespace balsamport

#endif
