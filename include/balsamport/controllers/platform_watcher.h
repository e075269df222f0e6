#ifndef BALSAMPORT_CONTROLLERS_PLATFORM_WATCHER_H
#define BALSAMPORT_CONTROLLERS_PLATFORM_WATCHER_H

#include <balsamport/controllers/config_controller.h>
#include <balsamport/controllers/membership_controller.h>
#include <balsamport/controllers/platform_client.h>
#include <balsamport/policy/jittered_backoff.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace balsamport {

/// @brief Reads configuration and VM list from the platform while this VM is a watcher, or while it
/// knows neither.
///
/// Owns two threads, since each call waits for its answer.
class PlatformWatcher
{
public:
    PlatformWatcher(PlatformClient &platform, ConfigController &config,
                    MembershipController &membership, std::uint64_t seed);
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    void stop();
    void fillStatus(wire::StatusReply &status) const;

private:
    void watchConfig();
    void watchVms();
    [[nodiscard]] Result<void> readConfigOnce();
    [[nodiscard]] Result<void> readVmsOnce();
    /// Notes success or failure of a call and waits as long as the next one must.
    void pauseAfter(const Result<void> &result, JitteredBackoff &backoff, Millis pause);
    void waitFor(Millis time);

    PlatformClient &platform;
    ConfigController &config;
    MembershipController &membership;
    std::mutex mutex;
    std::condition_variable wakeup;
    bool stopping = false;
    std::mt19937_64 random;
    std::atomic<std::int64_t> lastSuccess{0};
    ConfigRevision offered; ///< Highest revision read; used by the configuration's thread only.
    bool hasRead = false;
    std::thread configThread;
    std::thread vmsThread;
};

} // namespace balsamport

#endif
