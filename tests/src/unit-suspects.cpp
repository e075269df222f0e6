#include <balsamport/policy/suspects.h>

#include <catch2/catch.hpp>

using namespace balsamport;

namespace {

CrashReport crash(std::uint64_t fingerprint, const char *request, const char *server,
                  Millis at = Millis(0))
{
    return CrashReport{Fingerprint(fingerprint), RequestId(request), BackendServerId(server), at};
}

} // namespace

TEST_CASE("requests that crash backend servers")
{
    const SuspectLimits limits;
    SuspectTable table;
    const Fingerprint crasher(1);
    const Fingerprint innocent(2);
    REQUIRE(table.ask(crasher, RequestId("r1"), Millis(0), limits) == SuspectVerdict::Clear);
    REQUIRE(table.noteCrash(crash(1, "r1", "s1"), limits));
    REQUIRE(table.noteCrash(crash(2, "r2", "s1"), limits));

    SECTION("the same crash from another gateway counts once")
    {
        REQUIRE_FALSE(table.noteCrash(crash(1, "r9", "s1", Millis(500)), limits));
        REQUIRE(table.quarantinedCount() == 0);
    }

    SECTION("a suspect runs alone, one at a time")
    {
        const auto ask = [&](const char *request, Millis now) {
            return table.ask(crasher, RequestId(request), now, limits);
        };
        REQUIRE(ask("r1", Millis(10)) == SuspectVerdict::RunAlone);
        REQUIRE(ask("r3", Millis(20)) == SuspectVerdict::Wait);
        REQUIRE(ask("r1", Millis(30)) == SuspectVerdict::RunAlone);

        SECTION("and its second crash quarantines it under whatever request")
        {
            REQUIRE(table.noteCrash(crash(1, "r1", "s1", Millis(600)), limits));
            REQUIRE(ask("r4", Millis(700)) == SuspectVerdict::Quarantine);
            REQUIRE_FALSE(table.noteFinish(crasher));

            SECTION("for a time")
            {
                const Millis over = Millis(600) + limits.quarantineTime;
                REQUIRE(ask("r5", over - Millis(1)) == SuspectVerdict::Quarantine);
                REQUIRE(ask("r5", over) == SuspectVerdict::Clear);
                table.expire(over, limits);
                REQUIRE(table.size() == 0);
            }
        }

        SECTION("a run that ended by itself frees the way")
        {
            table.noteRunEnded(crasher, RequestId("r1"));
            REQUIRE(ask("r3", Millis(40)) == SuspectVerdict::RunAlone);
        }

        SECTION("a run whose gateway has gone frees it after its lease")
        {
            REQUIRE(ask("r3", Millis(30) + limits.aloneLease) == SuspectVerdict::RunAlone);
        }
    }

    SECTION("an innocent is cleared when it ends well")
    {
        REQUIRE(table.ask(innocent, RequestId("r2"), Millis(10), limits)
                == SuspectVerdict::RunAlone);
        REQUIRE(table.noteFinish(innocent));
        REQUIRE(table.look(innocent, Millis(20), limits) == SuspectVerdict::Clear);
    }

    SECTION("a peer's news adds what is not known, and no second crash")
    {
        REQUIRE_FALSE(table.noteSuspicion(crash(1, "", "s7", Millis(9'000)), limits));
        REQUIRE(table.quarantinedCount() == 0);
        REQUIRE(table.noteQuarantine(crasher, Millis(10), limits));
        REQUIRE_FALSE(table.noteQuarantine(crasher, Millis(10), limits));
        REQUIRE(table.look(crasher, Millis(20), limits) == SuspectVerdict::Quarantine);
    }

    SECTION("the table is bounded")
    {
        SuspectLimits small = limits;
        small.capacity = 5;
        for (std::uint64_t i = 0; i < 50; ++i) {
            table.noteCrash(crash(100 + i, "r", "s2", Millis(100 + static_cast<int>(i))), small);
        }
        REQUIRE(table.size() <= small.capacity);
    }

    SECTION("a request is known by what it runs")
    {
        const AdapterRef adapter{BaseModelId("b"), AdapterId("a"), AdapterVersion(1)};
        const AdapterRef newer{BaseModelId("b"), AdapterId("a"), AdapterVersion(2)};
        REQUIRE(fingerprintOf(adapter, "x") == fingerprintOf(adapter, "x"));
        REQUIRE(fingerprintOf(adapter, "x") != fingerprintOf(newer, "x"));
        REQUIRE(fingerprintOf(adapter, "x") != fingerprintOf(adapter, "y"));
    }
}
