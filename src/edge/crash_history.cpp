#include <balsamport/edge/crash_history.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::size_t maxEntries = 5'000;

CrashHistory::Entry &entryOf(CrashHistory &memory, Fingerprint fingerprint, Millis now)
{
    if (memory.entries.size() >= maxEntries) {
        const auto oldest = std::min_element(
                memory.entries.begin(), memory.entries.end(),
                [](const auto &a, const auto &b) { return a.second.lastAt < b.second.lastAt; });
        memory.entries.erase(oldest);
    }
    CrashHistory::Entry &entry = memory.entries[fingerprint];
    entry.lastAt = now;
    return entry;
}

} // namespace

std::uint32_t recordCrash(CrashHistory &memory, Fingerprint fingerprint, Millis now)
{
    return ++entryOf(memory, fingerprint, now).crashes;
}

void mergeCrashCount(CrashHistory &memory, Fingerprint fingerprint, std::uint32_t crashes,
                     Millis now)
{
    CrashHistory::Entry &entry = entryOf(memory, fingerprint, now);
    entry.crashes = std::max(entry.crashes, crashes);
}

void forgetCrashes(CrashHistory &memory, Fingerprint fingerprint)
{
    memory.entries.erase(fingerprint);
}

bool isQuarantined(const CrashHistory &memory, Fingerprint fingerprint, Millis now) noexcept
{
    const auto found = memory.entries.find(fingerprint);
    return found != memory.entries.end() && found->second.crashes >= crashLimit
            && now - found->second.lastAt < crashRetention;
}

} // namespace balsamport
