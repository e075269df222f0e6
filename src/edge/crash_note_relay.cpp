#include <balsamport/edge/crash_note_relay.h>

#include <algorithm>

namespace balsamport {

namespace {

std::uint32_t laterAge(std::uint32_t age, Millis delay)
{
    return static_cast<std::uint32_t>(std::max(age + delay.count(), std::int64_t{0}));
}

void addAge(wire::CrashReport &report, Millis delay)
{
    report.set_age_ms(laterAge(report.age_ms(), delay));
    for (wire::BrokenRequest &request : *report.mutable_requests()) {
        request.set_sent_age_ms(laterAge(request.sent_age_ms(), delay));
    }
}

void addAge(wire::SuspectEvidence &evidence, Millis delay)
{
    evidence.set_completed_sent_age_ms(laterAge(evidence.completed_sent_age_ms(), delay));
    evidence.set_completed_age_ms(laterAge(evidence.completed_age_ms(), delay));
    evidence.set_seen_age_ms(laterAge(evidence.seen_age_ms(), delay));
    for (wire::SuspectCrash &crash : *evidence.mutable_crashes()) {
        crash.set_sent_age_ms(laterAge(crash.sent_age_ms(), delay));
        crash.set_age_ms(laterAge(crash.age_ms(), delay));
    }
}

/// Merges completions of the same suspect that were received `later` than those held.
void mergeCompletions(wire::SuspectEvidence &held, const wire::SuspectEvidence &received,
                      Millis later)
{
    held.set_completed_sent_age_ms(
            std::min(held.completed_sent_age_ms(),
                     laterAge(received.completed_sent_age_ms(), Millis(0) - later)));
    held.set_completed_age_ms(std::min(held.completed_age_ms(),
                                       laterAge(received.completed_age_ms(), Millis(0) - later)));
}

} // namespace

void collectCrashNote(CrashNoteRelay &relay, const wire::CrashNote &note, Millis now)
{
    if (note.has_report()) {
        relay.reports.push_back({note.report(), now});
    }
    for (const wire::SuspectEvidence &suspect : note.suspects()) {
        relay.suspects.push_back({suspect, now});
    }
    for (const wire::SuspectEvidence &completions : note.completions()) {
        if (!completions.completed()) {
            continue;
        }
        const CrashNoteRelay::SuspectId suspect(completions.prompt_part(), completions.id());
        const auto [held, isNew] = relay.completions.try_emplace(
                suspect, CrashNoteRelay::Evidence{completions, now});
        if (!isNew) {
            mergeCompletions(held->second.content, completions, now - held->second.receivedAt);
        }
    }
}

std::vector<wire::CrashNote> takeRelayedNotes(CrashNoteRelay &relay, Millis now)
{
    std::vector<wire::CrashNote> notes;
    const std::size_t suspectNotes
            = (relay.suspects.size() + maxSharedSuspects - 1) / maxSharedSuspects;
    const bool isEmpty = relay.reports.empty() && relay.completions.empty();
    notes.resize(std::max<std::size_t>(suspectNotes, isEmpty ? 0 : 1));
    for (CrashNoteRelay::Report &report : relay.reports) {
        addAge(report.content, now - report.receivedAt);
        *notes.front().add_relayed_reports() = std::move(report.content);
    }
    for (auto &[id, completions] : relay.completions) {
        addAge(completions.content, now - completions.receivedAt);
        *notes.front().add_completions() = std::move(completions.content);
    }
    for (std::size_t i = 0; i < relay.suspects.size(); ++i) {
        CrashNoteRelay::Evidence &suspect = relay.suspects[i];
        addAge(suspect.content, now - suspect.receivedAt);
        *notes[i / maxSharedSuspects].add_suspects() = std::move(suspect.content);
    }
    relay = CrashNoteRelay();
    return notes;
}

} // namespace balsamport
