#ifndef BALSAMPORT_EDGE_CRASH_HISTORY_H
#define BALSAMPORT_EDGE_CRASH_HISTORY_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>
#include <map>

namespace balsamport {

/// @brief Requests whose backend servers broke off while they ran, by their fingerprint.
///
/// A request that crashes whatever runs it comes back under new ids; its path and body stay.
struct CrashHistory
{
    struct Entry
    {
        std::uint32_t crashes = 0;
        Millis lastAt;

        bool operator==(const Entry &) const = default;
    };
    std::map<Fingerprint, Entry> entries;

    bool operator==(const CrashHistory &) const = default;
};

/// Crashes after which a request is refused. Source: RULES.md of the users allows three.
constexpr std::uint32_t crashLimit = 2;
/// A fingerprint is forgotten this long after its last crash.
constexpr Millis crashRetention{120'000};

/// @brief Counts a crash that this daemon saw.
/// @return the crashes known now
std::uint32_t recordCrash(CrashHistory &memory, Fingerprint fingerprint, Millis now);

/// @brief Takes a peer's count.
void mergeCrashCount(CrashHistory &memory, Fingerprint fingerprint, std::uint32_t crashes,
                     Millis now);

/// @brief Forgets a request that ran to its end.
void forgetCrashes(CrashHistory &memory, Fingerprint fingerprint);

/// @return true where the request must not be sent again
[[nodiscard]] bool isQuarantined(const CrashHistory &memory, Fingerprint fingerprint,
                                 Millis now) noexcept;

} // namespace balsamport

#endif
