#ifndef BALSAMPORT_CORE_PAUSE_WATCH_H
#define BALSAMPORT_CORE_PAUSE_WATCH_H

#include <balsamport/core/clock.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace balsamport {

/// @brief Notices that the process was stopped for a while.
///
/// Owns a thread that notes the time every 50 ms. All functions may be called from any thread.
class PauseWatch
{
public:
    static constexpr Millis interval{50};
    static constexpr Millis longestGap{1'000}; ///< A longer gap is a pause.

    PauseWatch();
    ~PauseWatch();
    PauseWatch(const PauseWatch &) = delete;
    PauseWatch &operator=(const PauseWatch &) = delete;

    /// @brief Tells whether a pause ended within the last `time`, or has not been noted yet.
    [[nodiscard]] bool wasPausedWithin(Millis time) const noexcept;

private:
    void run();
    void note(Millis now) noexcept;

    std::atomic<std::int64_t> lastTick;
    std::atomic<std::int64_t> lastWake{0}; ///< 0: never paused.
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false; ///< Guarded by `mutex`.
    std::thread thread;
};

} // namespace balsamport

#endif
