#include <balsamport/tools/log_timeline.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace balsamport;

namespace {

std::vector<LogLine> read(const std::vector<std::string> &texts)
{
    std::vector<LogLine> lines;
    for (const std::string &text : texts) {
        lines.push_back(parseLogLine(text).value());
    }
    return lines;
}

bool hasFinding(const RequestTimeline &timeline, const std::string &part)
{
    return std::any_of(
            timeline.findings.begin(), timeline.findings.end(),
            [&part](const auto &finding) { return finding.find(part) != std::string::npos; });
}

std::vector<std::string> eventsOf(const RequestTimeline &timeline, bool assumptions)
{
    std::vector<std::string> events;
    for (const TimelineStep &step : timeline.steps) {
        if (step.isAssumption == assumptions) {
            events.push_back(step.line.event);
        }
    }
    return events;
}

} // namespace

// Clocks of VMs differ, so that lines sorted by their own times would show a grant before its
// request, and the explain command would name the wrong cause of a wait or a refusal.

TEST_CASE("Lines of the event log")
{
    SECTION("are parsed with their values as text")
    {
        const auto line = parseLogLine(
                R"({"at":17,"node":"v1","event":"sent","request":"r","send":2,"first":true})");
        REQUIRE(line.has_value());
        REQUIRE(line.value().at == Millis(17));
        REQUIRE(line.value().vm == VmId("v1"));
        REQUIRE(line.value().values.at("send") == "2");
        REQUIRE(line.value().values.at("first") == "true");
    }

    SECTION("that are truncated or lack a required field give MessageInvalid")
    {
        for (const char *text :
             {"", "{", "[]", "oops", R"({"at":1,"node":"v"})", R"({"node":"v","event":"e"})",
              R"({"at":"1","node":"v","event":"e"})", R"({"at":1,"node":"v","event":"e")"}) {
            const auto line = parseLogLine(text);
            REQUIRE(line.has_error());
            REQUIRE(line.error().code == ErrorCode::MessageInvalid);
        }
    }
}

TEST_CASE("A request that waited for a load")
{
    // The owner's clock is 5 s behind.
    const std::vector<std::string> texts{
            R"({"at":1000,"node":"front","event":"config_in_force","version":3})",
            R"({"at":2000,"node":"front","event":"config_in_force","version":4})",
            R"({"at":2500,"node":"front","event":"server_seen","server":"e9"})",
            R"({"at":2600,"node":"other","event":"store_lost"})",
            R"({"at":10700,"node":"front","event":"place","request":"r1","server":"e1","verdict":"granted","since_arrival_ms":700})",
            R"({"at":10702,"node":"front","event":"sent","request":"r1","server":"e1","adapter":"a7","waited_ms":702})",
            R"({"at":11500,"node":"front","event":"served","request":"r1","server":"e1","took_ms":1500,"first_ms":900,"gap_ms":80})",
            R"({"at":1,"node":"owner","event":"orders_allowed","server":"e1"})",
            R"({"at":5020,"node":"owner","event":"place_asked","request":"r1","server":"e1","adapter":"a7","waiting":3,"orders_allowed":true})",
            R"({"at":5030,"node":"owner","event":"order","server":"e1","adapter":"a7","kind":"load_adapter","outcome":"accepted"})",
            R"({"at":5640,"node":"owner","event":"order","server":"e1","adapter":"a7","kind":"load_adapter","outcome":"already_holds"})",
            R"({"at":5641,"node":"owner","event":"order","server":"e1","adapter":"a8","kind":"load_adapter","outcome":"accepted"})"};

    SECTION("has its steps in time order on the clock of the serving daemon")
    {
        const auto timeline = buildTimeline(read(texts), RequestId("r1"));
        REQUIRE(timeline.has_value());
        REQUIRE(timeline.value().servingVm == VmId("front"));
        REQUIRE(timeline.value().clockOffsets.at(VmId("owner")) >= Millis(4'980));
        REQUIRE(eventsOf(timeline.value(), false)
                == std::vector<std::string>{"place_asked", "order", "order", "place", "sent",
                                            "served"});

        SECTION("includes the state that daemons assumed at the time")
        {
            REQUIRE(eventsOf(timeline.value(), true)
                    == std::vector<std::string>{"config_in_force", "orders_allowed"});
            REQUIRE(timelineAsText(timeline.value()).find("version=4") != std::string::npos);
        }

        SECTION("names the wait and the load among its findings")
        {
            REQUIRE(hasFinding(timeline.value(), "waited 702 ms for its grant on e1"));
            REQUIRE(hasFinding(timeline.value(),
                               "adapter a7 was loaded while it waited, in 610 ms"));
        }
    }

    SECTION("has the same timeline for any order of the lines")
    {
        std::vector<LogLine> lines = read(texts);
        const auto timeline = buildTimeline(lines, RequestId("r1"));
        std::reverse(lines.begin(), lines.end());
        REQUIRE(buildTimeline(lines, RequestId("r1")).value() == timeline.value());
    }

    SECTION("is not found under the id of another request")
    {
        const auto timeline = buildTimeline(read(texts), RequestId("r2"));
        REQUIRE(timeline.has_error());
        REQUIRE(timeline.error().code == ErrorCode::UnknownPath);
    }
}

TEST_CASE("A request that was refused")
{
    const auto timeline = buildTimeline(
            read({R"({"at":100,"node":"o1","event":"place_asked","request":"r","server":"e1","orders_allowed":false})",
                  R"({"at":120,"node":"o2","event":"place_asked","request":"r","server":"e2","orders_allowed":true,"places":6,"waiting":9,"running":20,"expected_wait_ms":2400})",
                  R"({"at":125,"node":"f","event":"place","request":"r","server":"e1","verdict":"elsewhere","since_arrival_ms":30})",
                  R"({"at":130,"node":"f","event":"place","request":"r","server":"e2","verdict":"refused","since_arrival_ms":35})",
                  R"({"at":131,"node":"f","event":"place","request":"r","server":"e3","verdict":"not_owner","since_arrival_ms":36})",
                  R"({"at":131,"node":"f","event":"refused","request":"r","status":503,"error":"overloaded","took_ms":36,"asks":3,"sends":0})"}),
            RequestId("r"));
    REQUIRE(timeline.has_value());

    SECTION("names each engine and why it gave no grant")
    {
        REQUIRE(timeline.value().findings.front()
                == "refused with 503 (overloaded) after 36 ms, 3 engines queried, 0 sends");
        REQUIRE(hasFinding(timeline.value(),
                           "e1: its owner o1 was not yet allowed to send it commands"));
        REQUIRE(hasFinding(timeline.value(),
                           "e2: 6 adapter slots in use, 9 waiting, 20 running, 2400 ms"));
        REQUIRE(hasFinding(timeline.value(), "e3: the queried daemon does not own it"));
    }
}

TEST_CASE("A request whose backend server failed")
{
    const auto timeline = buildTimeline(
            read({R"({"at":100,"node":"f","event":"sent","request":"r","server":"s1","waited_ms":1})",
                  R"({"at":118,"node":"f","event":"send_failed","request":"r","server":"s1","error":"connection_broken","after_ms":18})",
                  R"({"at":118,"node":"f","event":"failed","request":"r","status":502,"error":"connection_broken","took_ms":19})",
                  R"({"at":117,"node":"f","event":"server_missing","server":"s1"})"}),
            RequestId("r"));
    REQUIRE(timeline.has_value());

    SECTION("names the failure, and the assumed state of the server")
    {
        REQUIRE(hasFinding(timeline.value(), "connection_broken after 18 ms at s1"));
        REQUIRE(eventsOf(timeline.value(), true) == std::vector<std::string>{"server_missing"});
    }
}
