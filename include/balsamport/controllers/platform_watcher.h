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

/// @brief Reads the configuration and the VM list from the platform while this VM is a watcher or
/// has no copy of them.
///
/// Owns two threads, because each call blocks until its response.
class PlatformWatcher
{
public:
    PlatformWatcher(PlatformClient &platform, ConfigController &config,
                    MembershipController &membership, std::uint64_t seed);
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    void stop();
    /// @brief Sets whether the platform is reachable and the number of calls.
    void fillStatus(wire::StatusReply &status) const;

private:
    void watchConfig();
    void watchVms();
    [[nodiscard]] Result<void> readConfigOnce();
    [[nodiscard]] Result<void> readVmsOnce();
    /// Records the result of a call and waits until the next call is due.
    void waitAfterCall(const Result<void> &result, JitteredBackoff &backoff, Millis interval);
    /// Returns early when the watcher stops.
    void sleepFor(Millis time);

    PlatformClient &platform;
    ConfigController &config;
    MembershipController &membership;
    std::mutex mutex;
    std::condition_variable wakeup;
    bool stopping = false;
    std::mt19937_64 random;
    std::atomic<std::int64_t> lastSuccess{0};
    ConfigRevision highestRead; ///< Highest revision read; used by the configuration's thread only.
    bool hasReadConfig = false;
    std::thread configThread;
    std::thread vmsThread;
};

} // namespace balsamport

#endif
