// Guards against responses of faulty servers that operators of similar systems have met: responses
// that are cut short, in their head or body, and an error in the bytes of a stream that had begun.
// None may look complete, and a stream that may be resumed is resumed.

#include "rogue_responses.h"

using namespace balsamport;
using namespace balsamport::testing;

TEST_CASE("a response that is cut short does not look complete")
{
    RogueWorld world;
    for (const char *end : {"/close", "/reset"}) {
        for (const char *cut : {"/no-status", "/half-field", "/no-blank-line", "/short-of-length",
                                "/inside-chunk", "/no-last-chunk"}) {
            for (const char *route : routes) {
                const std::string path = std::string(route) + cut + end;
                world.play(path, [&](const Outcome &outcome) {
                    requireHonest(path, outcome);
                    CHECK(outcome.response.complete
                          == (isRepeatablePath(path) || outcome.response.status == badGateway));
                });
            }
        }
    }
}

TEST_CASE("a response with neither length nor chunks is complete where its connection is closed")
{
    RogueWorld world;

    SECTION("it ends with its connection")
    {
        for (const char *route : routes) {
            const std::string path = std::string(route) + "/no-length/close";
            world.play(path, [&](const Outcome &outcome) {
                CHECK(outcome.response.complete);
                CHECK(outcome.response.body == wholeBody(path, outcome.id));
                CHECK(outcome.runs == 1);
            });
        }
    }

    SECTION("it is reset, which is no end of a response")
    {
        for (const char *route : routes) {
            const std::string path = std::string(route) + "/no-length/reset";
            world.play(path, [&](const Outcome &outcome) {
                requireHonest(path, outcome);
                if (!isRepeatablePath(path)) {
                    CHECK_FALSE((outcome.response.status == okStatus && outcome.response.complete));
                }
            });
        }
    }
}

TEST_CASE("a stream that ends inside an event has been broken off")
{
    RogueWorld world;
    for (const char *end : {"/no-length-inside/close", "/no-length-inside/reset", "/inside-event",
                            "/error-in-chunks/close"}) {
        SECTION(std::string("its caller is handed whole events and no end: ") + end)
        {
            const std::string path = std::string("/flow") + end;
            world.play(path, [&](const Outcome &outcome) {
                requireHonest(path, outcome);
                CHECK_FALSE(outcome.response.complete);
                CHECK(outcome.response.body == eventsOf(outcome.id, 1, eventsBeforeBreak));
            });
        }

        SECTION(std::string("another server resumes it where it may be resumed: ") + end)
        {
            const std::string path = std::string("/again") + end;
            world.play(path, [&](const Outcome &outcome) {
                requireHonest(path, outcome);
                CHECK(outcome.response.complete);
                CHECK(outcome.runs == 2);
            });
        }
    }
}
