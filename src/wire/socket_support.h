#ifndef BALSAMPORT_WIRE_SOCKET_SUPPORT_H
#define BALSAMPORT_WIRE_SOCKET_SUPPORT_H

#include <balsamport/wire/curve_keys.h>

#include <balsamport.pb.h>

#include <zmq.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace balsamport {

/// @return an inproc endpoint that no other call returns
[[nodiscard]] std::string wakeupEndpoint(const std::string &kind);

/// @brief Wakes a thread that waits in zmq::poll; signal() may be called from any thread.
class Wakeup
{
public:
    Wakeup(zmq::context_t &context, const std::string &endpoint);

    void signal();
    [[nodiscard]] void *receiver() noexcept { return this->pull.handle(); }
    void drain();

private:
    std::mutex mutex;
    zmq::socket_t pull;
    zmq::socket_t push; ///< Under mutex.
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
    std::unique_ptr<Wakeup> wakeup;
    std::thread thread;
};

} // namespace balsamport

#endif
