#include <balsamport/edge/crash_note_relay.h>

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace balsamport;

namespace {

wire::CrashNote reportOf(int number)
{
    wire::CrashNote note;
    note.set_relay(true);
    wire::CrashReport &report = *note.mutable_report();
    report.set_backend_server("engine" + std::to_string(number));
    report.set_server_run(static_cast<std::uint64_t>(number));
    report.set_age_ms(5);
    wire::BrokenRequest &request = *report.add_requests();
    request.set_fingerprint(static_cast<std::uint64_t>(number));
    request.set_sent_age_ms(700);
    return note;
}

} // namespace

// Guards against a delegate that sends each crash report on by itself: when 35 engines ended at
// once, some 240 reports to eleven daemons each kept a VM on 0.12 of a core busy for seconds.
TEST_CASE("a delegate passes on the crash notes of a moment together")
{
    CrashNoteRelay relay;
    constexpr Millis start{10'000};
    constexpr int reports = 240;

    SECTION("nothing is sent if nothing was received")
    {
        REQUIRE(takeRelayedNotes(relay, start).empty());
    }

    SECTION("reports are one message, with their ages as of its sending")
    {
        for (int i = 0; i < reports; ++i) {
            collectCrashNote(relay, reportOf(i), start + Millis(i / 8));
        }
        const std::vector<wire::CrashNote> notes = takeRelayedNotes(relay, start + Millis(50));
        REQUIRE(notes.size() == 1);
        REQUIRE_FALSE(notes[0].relay());
        REQUIRE(notes[0].relayed_reports_size() == reports);
        for (int i = 0; i < reports; ++i) {
            const wire::CrashReport &report = notes[0].relayed_reports(i);
            const auto delay = static_cast<std::uint32_t>(50 - i / 8);
            REQUIRE(report.server_run() == static_cast<std::uint64_t>(i));
            REQUIRE(report.age_ms() == 5 + delay);
            REQUIRE(report.requests(0).sent_age_ms() == 700 + delay);
        }
        SECTION("and are sent once")
        {
            REQUIRE(takeRelayedNotes(relay, start + Millis(100)).empty());
        }
    }

    SECTION("suspects are split by what receivers accept, and none is lost")
    {
        constexpr std::uint64_t suspects = 100;
        for (std::uint64_t id = 0; id < suspects; ++id) {
            wire::CrashNote note;
            wire::SuspectEvidence &suspect = *note.add_suspects();
            suspect.set_id(id);
            suspect.set_seen_age_ms(20);
            suspect.add_crashes()->set_age_ms(30);
            collectCrashNote(relay, note, start);
        }
        const std::vector<wire::CrashNote> notes = takeRelayedNotes(relay, start + Millis(40));
        REQUIRE(notes.size() == 4);
        std::set<std::uint64_t> ids;
        for (const wire::CrashNote &note : notes) {
            REQUIRE(static_cast<std::size_t>(note.suspects_size()) <= maxSharedSuspects);
            for (const wire::SuspectEvidence &suspect : note.suspects()) {
                ids.insert(suspect.id());
                REQUIRE(suspect.seen_age_ms() == 60);
                REQUIRE(suspect.crashes(0).age_ms() == 70);
            }
        }
        REQUIRE(ids.size() == suspects);
    }

    SECTION("of the completions of one suspect, the newest is sent")
    {
        for (const std::uint32_t age : {90U, 10U, 40U}) {
            wire::CrashNote note;
            wire::SuspectEvidence &completions = *note.add_completions();
            completions.set_prompt_part(true);
            completions.set_id(7);
            completions.set_completed(true);
            completions.set_completed_age_ms(age);
            completions.set_completed_sent_age_ms(age + 100);
            collectCrashNote(relay, note, start);
        }
        const std::vector<wire::CrashNote> notes = takeRelayedNotes(relay, start + Millis(50));
        REQUIRE(notes.size() == 1);
        REQUIRE(notes[0].completions_size() == 1);
        REQUIRE(notes[0].completions(0).completed_age_ms() == 60);
        REQUIRE(notes[0].completions(0).completed_sent_age_ms() == 160);
    }
}
