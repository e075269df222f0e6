// Guards against bytes of a faulty replica that are no HTTP response and reach a caller in a
// success: a length of "8O0" cut the body of an order to 8 bytes, and fields that are none were
// passed on. Guards as well against taking such a replica for one that crashed, and against
// believing such bytes of an engine or of the store.

#include "rogue_responses.h"

using namespace balsamport;
using namespace balsamport::testing;

namespace {

bool isToken(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z')
                || (letter >= 'A' && letter <= 'Z') || marks.find(letter) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view value)
{
    constexpr unsigned char firstVisible = 0x20;
    constexpr unsigned char del = 0x7f;
    return std::all_of(value.begin(), value.end(), [&](unsigned char byte) {
        return byte == '\t' || (byte >= firstVisible && byte != del);
    });
}

/// @return true where every line of a head is what RFC 9112 allows
bool isHttpHead(std::string_view head)
{
    bool isFirst = true;
    while (!head.empty()) {
        const std::size_t end = head.find("\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        const std::string_view line = head.substr(0, end);
        head.remove_prefix(end + 2);
        const std::size_t colon = line.find(':');
        const bool isField = colon != std::string_view::npos && isToken(line.substr(0, colon))
                && isFieldValue(line.substr(colon + 1));
        if (isFirst ? !isFieldValue(line) : !line.empty() && !isField) {
            return false;
        }
        isFirst = false;
    }
    return true;
}

void requireHttp(const std::string &path, const Outcome &outcome)
{
    requireHonest(path, outcome);
    CHECK(isHttpHead(outcome.response.head));
    CHECK(outcome.response.took < Millis(1'500)); // Not only when the request's time is up.
}

std::size_t countLines(const std::string &log, const std::string &text)
{
    std::size_t count = 0;
    for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a replica's bytes that are no HTTP response do not reach a caller")
{
    RogueWorld world;
    const std::size_t forms = malformedHeads("", "x").size();
    for (std::size_t i = 0; i < forms; ++i) {
        for (const char *route : routes) {
            const std::string path = fmt::format("{}/malformed-head-{}", route, i);
            CAPTURE(malformedHeads("", "x")[i].name);
            const Outcome outcome = world.call(path);
            CAPTURE(path, outcome.id, outcome.runs, outcome.response.status, outcome.response.head,
                    outcome.response.body);
            requireHttp(path, outcome);
            if (isRepeatablePath(path)) {
                CHECK(outcome.response.complete);
                CHECK(outcome.response.status == okStatus);
                CHECK(outcome.runs == 2);
            } else {
                CHECK(outcome.response.status == badGateway);
                CHECK(outcome.runs == 1);
            }
            // Sound requests beside, from which the budget of retries grows.
            for (int sound = 0; sound < 3; ++sound) {
                CHECK(world.call("/look/whole").response.status == okStatus);
            }
        }
    }
    const std::string log = world.world.logText(0);
    CHECK(countLines(log, "\"event\":\"malformed_response\"") >= forms);
    CHECK(countLines(log, "\"event\":\"crash_") == 0);
}

TEST_CASE("a replica's chunks that break the rules do not look whole")
{
    RogueWorld world;
    const std::vector<ResponseForm> forms = malformedChunks("", "0123456789");
    for (std::size_t i = 0; i < forms.size(); ++i) {
        for (const char *route : routes) {
            const std::string path = fmt::format("{}/malformed-chunks-{}", route, i);
            CAPTURE(forms[i].name);
            const Outcome outcome = world.call(path);
            CAPTURE(path, outcome.id, outcome.runs, outcome.response.status, outcome.response.head,
                    outcome.response.body);
            requireHttp(path, outcome);
            CHECK((outcome.response.status == okStatus && outcome.response.complete)
                  == isRepeatablePath(path));
            CHECK(outcome.runs == (isRepeatablePath(path) ? 2 : 1));
            for (int sound = 0; sound < 3; ++sound) {
                CHECK(world.call("/look/whole").response.status == okStatus);
            }
        }
    }
    CHECK(countLines(world.world.logText(0), "\"event\":\"crash_") == 0);
}

TEST_CASE("a replica's response in any form of HTTP reaches the caller whole")
{
    RogueWorld world;
    std::vector<std::string> forms;
    for (std::size_t i = 0; i < soundHeads("", "x").size(); ++i) {
        forms.push_back(fmt::format("sound-head-{}", i));
    }
    for (std::size_t i = 0; i < soundChunks("", "xy").size(); ++i) {
        forms.push_back(fmt::format("sound-chunks-{}", i));
    }
    for (const std::string &form : forms) {
        for (const char *route : routes) {
            const std::string path = fmt::format("{}/{}", route, form);
            world.play(path, [&](const Outcome &outcome) {
                requireHttp(path, outcome);
                CHECK(outcome.response.status == okStatus);
                CHECK(outcome.response.complete);
                CHECK(outcome.response.body == wholeBody(path, outcome.id));
                CHECK(outcome.runs == 1);
            });
        }
    }
}

TEST_CASE("a daemon does not believe the store or an engine whose bytes are no HTTP response")
{
    EdgeWorld world(2);
    world.startAll();
    world.publishConfig();
    REQUIRE(eventually(Millis(10'000), [&] {
        return world.allReady() && world.call(0, "/chat/x", "first", "a1").status == okStatus;
    }));
    int next = 0;
    const auto call = [&](const std::string &path) {
        const std::string number = std::to_string(++next);
        return world.call(static_cast<std::size_t>(next % 2), path + number, "c" + number, "a1");
    };

    SECTION("the store: its last content stays in force, and its next is read afterwards")
    {
        world.storeLink->setMode(LinkMode::Spoiled);
        world.addedRoutes.emplace_back("/added/");
        world.publishConfig();
        for (int i = 0; i < 20; ++i) {
            CHECK(call("/look/").status == okStatus);
            CHECK(call("/added/").status != okStatus);
            sleepFor(Millis(50));
        }
        CHECK(world.logText(0).find("malformed_response") != std::string::npos);
        world.storeLink->setMode(LinkMode::Normal);
        CHECK(eventually(Millis(5'000), [&] { return call("/added/").status == okStatus; }));
    }

    SECTION("an engine: no restart is assumed, and it is used again afterwards")
    {
        for (const char *id : {"e1", "e2"}) {
            world.replicas.at(id).link->setMode(LinkMode::Spoiled);
        }
        for (int i = 0; i < 10; ++i) {
            const CallerResponse response = call("/once/");
            CHECK(response.status != okStatus);
            CHECK(response.status != 0);
        }
        for (std::size_t edge = 0; edge < 2; ++edge) {
            CHECK(world.logText(edge).find("crash_confirmed") == std::string::npos);
        }
        for (const char *id : {"e1", "e2"}) {
            world.replicas.at(id).link->setMode(LinkMode::Normal);
        }
        CHECK(eventually(Millis(8'000), [&] { return call("/once/").status == okStatus; }));
    }
}
