#ifndef BALSAMPORT_EDGE_LOOP_H
#define BALSAMPORT_EDGE_LOOP_H

#include <balsamport/core/clock.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace balsamport {

/// @brief Calls back once, on the thread of the loop, unless it is destroyed, cancelled or set
/// again before.
class LoopTimer
{
public:
    virtual ~LoopTimer() = default;
    virtual void set(Millis delay, std::function<void()> callback) = 0;
    virtual void cancel() = 0;
};

/// @brief Order in which the tasks of a loop are executed.
enum class TaskPriority : std::uint8_t {
    Normal, ///< Goes on with what the daemon has begun.
    Low, ///< Begins something new: executed while no other task waits.
};

/// @brief Event loop of the thread that owns the state of the edge daemon.
///
/// Network threads post tasks to it; a task must not block. Timers that expire are called before
/// the tasks that wait.
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// @brief Queues a task for execution on the thread of the loop. May be called from any thread.
    void post(std::function<void()> task, TaskPriority priority = TaskPriority::Normal);

    /// @return the time for which the oldest task has waited; 0 for none. May be called from any
    /// thread.
    [[nodiscard]] Millis taskDelay() const;

    [[nodiscard]] std::unique_ptr<LoopTimer> makeTimer();

    /// @brief Returns the longest time for which a posted task waited since the last call. Called
    /// on the thread of the loop only.
    [[nodiscard]] Millis takeLongestWait();

    /// @brief Executes tasks until stop().
    void run();
    void stop();

    /// @brief Sets the callback for SIGTERM, SIGINT and SIGHUP.
    void onSignals(std::function<void(int signal)> callback);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace balsamport

#endif
