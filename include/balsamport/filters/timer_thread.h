#ifndef BALSAMPORT_FILTERS_TIMER_THREAD_H
#define BALSAMPORT_FILTERS_TIMER_THREAD_H

#include <balsamport/core/clock.h>

#include <functional>
#include <memory>

namespace balsamport {

/// @brief Runs functions later, on one thread of its own. They must not block.
///
/// All functions may be called from any thread.
class TimerThread
{
public:
    TimerThread();
    ~TimerThread(); ///< Drops what has not run yet.
    TimerThread(const TimerThread &) = delete;
    TimerThread &operator=(const TimerThread &) = delete;

    /// @brief Runs nothing any more; waits for what runs now.
    void stop();

    /// @brief Runs a function once after a delay.
    void after(Millis delay, std::function<void()> task);

    /// @brief Runs a function again and again, with `interval` between two runs.
    void every(Millis interval, std::function<void()> task);

private:
    struct Loop;
    std::unique_ptr<Loop> loop;
};

} // namespace balsamport

#endif
