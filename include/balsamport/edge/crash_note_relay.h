#ifndef BALSAMPORT_EDGE_CRASH_NOTE_RELAY_H
#define BALSAMPORT_EDGE_CRASH_NOTE_RELAY_H

#include <balsamport/core/clock.h>

#include <balsamport.pb.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace balsamport {

/// Suspects in one crash note; its receiver ignores further ones.
constexpr std::size_t maxSharedSuspects = 32;

/// @brief Crash notes of other data centres that a delegate collects for its own. When many servers
/// end at once, hundreds arrive within a moment; sent on one by one to each daemon, they are more
/// than a small VM can send.
struct CrashNoteRelay
{
    struct Report
    {
        wire::CrashReport content;
        Millis receivedAt;
    };
    struct Evidence
    {
        wire::SuspectEvidence content;
        Millis receivedAt;
    };
    using SuspectId = std::pair<bool, std::uint64_t>; ///< Whether it is a prompt part, and its id.

    std::vector<Report> reports;
    std::vector<Evidence> suspects;
    std::map<SuspectId, Evidence> completions; ///< The newest of each suspect.
};

/// @brief Adds what a note says.
void collectCrashNote(CrashNoteRelay &relay, const wire::CrashNote &note, Millis now);

/// @brief Returns the collected notes in as few messages as their receivers accept, with ages as of
/// `now`, and removes them.
[[nodiscard]] std::vector<wire::CrashNote> takeRelayedNotes(CrashNoteRelay &relay, Millis now);

} // namespace balsamport

#endif
