#include <balsamport/edge/crash_history.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::size_t maxEntries = 5'000;

CrashHistory::Entry &entryFor(CrashHistory &history, Fingerprint fingerprint, Millis now)
{
    if (history.entries.size() >= maxEntries) {
        const auto oldest = std::min_element(history.entries.begin(), history.entries.end(),
                                             [](const auto &a, const auto &b) {
                                                 return a.second.lastCrashAt < b.second.lastCrashAt;
                                             });
        history.entries.erase(oldest);
    }
    CrashHistory::Entry &entry = history.entries[fingerprint];
    entry.lastCrashAt = now;
    return entry;
}

} // namespace

std::uint32_t recordCrash(CrashHistory &history, Fingerprint fingerprint, Millis now)
{
    return ++entryFor(history, fingerprint, now).crashes;
}

void mergeCrashCount(CrashHistory &history, Fingerprint fingerprint, std::uint32_t crashes,
                     Millis now)
{
    CrashHistory::Entry &entry = entryFor(history, fingerprint, now);
    entry.crashes = std::max(entry.crashes, crashes);
}

void forgetCrashes(CrashHistory &history, Fingerprint fingerprint)
{
    history.entries.erase(fingerprint);
}

bool isQuarantined(const CrashHistory &history, Fingerprint fingerprint, Millis now) noexcept
{
    const auto entry = history.entries.find(fingerprint);
    return entry != history.entries.end() && entry->second.crashes >= crashLimit
            && now - entry->second.lastCrashAt < crashRetention;
}

} // namespace balsamport
