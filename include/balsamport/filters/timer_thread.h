#ifndef BALSAMPORT_FILTERS_TIMER_THREAD_H
#define BALSAMPORT_FILTERS_TIMER_THREAD_H

#include <balsamport/core/clock.h>

#include <functional>
#include <memory>

namespace balsamport {

/// @brief Runs tasks after a delay, on one thread of its own. Tasks must not block.
///
/// All functions may be called from any thread.
class TimerThread
{
public:
    TimerThread();
    ~TimerThread(); ///< Drops the tasks that have not run yet.
    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

    /// @brief Waits for the running task and runs no further ones.
    void stop();

    /// @brief Runs a task once after a delay.
    void after(Millis delay, std::function<void()> task);

    /// @brief Runs a task repeatedly, with `interval` from the end of a run to the next one.
    void every(Millis interval, std::function<void()> task);

private:
    struct Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace balsamport

#endif
