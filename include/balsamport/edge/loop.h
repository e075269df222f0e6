#ifndef BALSAMPORT_EDGE_LOOP_H
#define BALSAMPORT_EDGE_LOOP_H

#include <balsamport/core/clock.h>

#include <functional>
#include <memory>

namespace balsamport {

/// @brief Calls back once, on the loop's thread, unless it is destroyed or set again before.
class LoopTimer
{
public:
    virtual ~LoopTimer() = default;
    virtual void set(Millis delay, std::function<void()> callback) = 0;
    virtual void cancel() = 0;
};

/// @brief The thread on which the edge daemon's state lives.
///
/// Network threads post to it; what runs on it must not block.
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// @brief Runs a function soon. May be called from any thread.
    void post(std::function<void()> task);
    [[nodiscard]] std::unique_ptr<LoopTimer> makeTimer();

    /// @brief Runs until stop().
    void run();
    void stop();

    /// @brief Calls back on each of SIGTERM, SIGINT and SIGHUP.
    void onSignals(std::function<void(int signal)> callback);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace balsamport

#endif
