#ifndef BALSAMPORT_TESTS_PROCESSOR_QUOTA_H
#define BALSAMPORT_TESTS_PROCESSOR_QUOTA_H

#include "process_fixture.h"

#include <atomic>
#include <csignal>
#include <ctime>
#include <thread>

namespace balsamport::testing {

/// @brief Limits a process to a share of a core, as a quota does: once the share of a period is
/// used up, the process is stopped until the next period. Ends when destroyed.
class ProcessorQuota
{
public:
    /// @param usedMs processor time in each period
    ProcessorQuota(const Process &limited, Millis usedMs)
        : process(limited)
        , quota(usedMs)
        , thread([this] { this->run(); })
    { }
    ~ProcessorQuota()
    {
        this->ending = true;
        this->thread.join();
        this->process.signal(SIGCONT);
    }
    ProcessorQuota(const ProcessorQuota &) = delete;
    ProcessorQuota &operator=(const ProcessorQuota &) = delete;

private:
    static constexpr Millis period{100};

    [[nodiscard]] Millis usedTime() const
    {
        clockid_t clock{};
        timespec time{};
        if (clock_getcpuclockid(this->process.id(), &clock) != 0
            || clock_gettime(clock, &time) != 0) {
            return Millis(0);
        }
        constexpr std::int64_t millisPerSecond = 1'000;
        constexpr std::int64_t nanosPerMilli = 1'000'000;
        return Millis(time.tv_sec * millisPerSecond + time.tv_nsec / nanosPerMilli);
    }

    void run()
    {
        Millis periodEnd = monotonicNow();
        while (!this->ending) {
            // What a period uses beyond the quota is taken from the next ones.
            this->allowed = std::max(this->allowed + this->quota, this->usedTime());
            periodEnd += period;
            this->process.signal(SIGCONT);
            while (monotonicNow() < periodEnd && this->usedTime() < this->allowed) {
                sleepFor(Millis(1));
            }
            if (monotonicNow() < periodEnd) {
                this->process.signal(SIGSTOP);
                sleepFor(periodEnd - monotonicNow());
            }
        }
    }

    const Process &process;
    Millis quota;
    Millis allowed{0};
    std::atomic<bool> ending{false};
    std::thread thread;
};

} // namespace balsamport::testing

#endif
