#include <balsamport/edge/crash_memory.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::size_t maxEntries = 5'000;

CrashMemory::Entry &entryOf(CrashMemory &memory, Fingerprint fingerprint, Millis now)
{
    if (memory.entries.size() >= maxEntries) {
        const auto oldest = std::min_element(
                memory.entries.begin(), memory.entries.end(),
                [](const auto &a, const auto &b) { return a.second.lastAt < b.second.lastAt; });
        memory.entries.erase(oldest);
    }
    CrashMemory::Entry &entry = memory.entries[fingerprint];
    entry.lastAt = now;
    return entry;
}

} // namespace

std::uint32_t noteCrash(CrashMemory &memory, Fingerprint fingerprint, Millis now)
{
    return ++entryOf(memory, fingerprint, now).crashes;
}

void learnCrashes(CrashMemory &memory, Fingerprint fingerprint, std::uint32_t crashes, Millis now)
{
    CrashMemory::Entry &entry = entryOf(memory, fingerprint, now);
    entry.crashes = std::max(entry.crashes, crashes);
}

void noteSurvival(CrashMemory &memory, Fingerprint fingerprint)
{
    memory.entries.erase(fingerprint);
}

bool isPoison(const CrashMemory &memory, Fingerprint fingerprint, Millis now) noexcept
{
    const auto found = memory.entries.find(fingerprint);
    return found != memory.entries.end() && found->second.crashes >= crashLimit
            && now - found->second.lastAt < crashMemoryTime;
}

} // namespace balsamport
