#ifndef BALSAMPORT_EDGE_CRASH_HISTORY_H
#define BALSAMPORT_EDGE_CRASH_HISTORY_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>
#include <map>

namespace balsamport {

/// @brief Counts of backend server failures during a request, by the request's fingerprint.
///
/// A request that crashes every server it runs on is retried by its caller under new ids; the
/// fingerprint covers its path and body, which stay the same.
struct CrashHistory
{
    struct Entry
    {
        std::uint32_t crashes = 0;
        Millis lastCrashAt;

        bool operator==(const Entry &) const = default;
    };
    std::map<Fingerprint, Entry> entries;

    bool operator==(const CrashHistory &) const = default;
};

/// Crashes after which a request is quarantined. Source: RULES.md of the users allows three.
constexpr std::uint32_t crashLimit = 2;
/// Time after its last crash for which a request stays quarantined.
constexpr Millis crashRetention{120'000};

/// @brief Records a crash that this daemon observed.
/// @return the crashes counted for the fingerprint, this one included
std::uint32_t recordCrash(CrashHistory &history, Fingerprint fingerprint, Millis now);

/// @brief Merges the count of a peer: the larger of the two counts is kept.
void mergeCrashCount(CrashHistory &history, Fingerprint fingerprint, std::uint32_t crashes,
                     Millis now);

/// @brief Removes the entry of a request that ran to completion.
void forgetCrashes(CrashHistory &history, Fingerprint fingerprint);

/// @return true if the request must not be sent to any server
[[nodiscard]] bool isQuarantined(const CrashHistory &history, Fingerprint fingerprint,
                                 Millis now) noexcept;

} // namespace balsamport

#endif
