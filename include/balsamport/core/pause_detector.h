#ifndef BALSAMPORT_CORE_PAUSE_DETECTOR_H
#define BALSAMPORT_CORE_PAUSE_DETECTOR_H

#include <balsamport/core/clock.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace balsamport {

/// @brief Detects pauses of the whole process, for example a suspended VM or a stopped process.
///
/// Owns a thread that records the time every `tickInterval`. All functions may be called from any
/// thread.
class PauseDetector
{
public:
    static constexpr Millis tickInterval{50};
    static constexpr Millis pauseThreshold{1'000}; ///< A longer time between ticks is a pause.

    PauseDetector();
    ~PauseDetector();
    PauseDetector(const PauseDetector &) = delete;
    PauseDetector &operator=(const PauseDetector &) = delete;

    /// @return true if a pause ended within the last `period`, or if the last tick is older
    /// than `pauseThreshold`, so that a pause has not been recorded yet
    [[nodiscard]] bool wasPausedWithin(Millis period) const noexcept;

private:
    void run();
    void recordTick(Millis now) noexcept;

    std::atomic<std::int64_t> lastTickAt;
    std::atomic<std::int64_t> lastPauseEndedAt{0}; ///< 0: never paused.
    std::mutex mutex;
    std::condition_variable stopSignalled;
    bool stopping = false; ///< Guarded by `mutex`.
    std::thread thread;
};

} // namespace balsamport

#endif
