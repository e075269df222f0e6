// Guards against a promise that a request has not run, made by the response to another request: a
// faulty server writes an earlier refusal once more, where the response to a later request is due.

#include "rogue_responses.h"

using namespace balsamport;
using namespace balsamport::testing;

namespace {

void playRefusals(const std::string &whose)
{
    RogueWorld world;
    for (const char *refusal :
         {"/full/once", "/full/twice", "/full/late", "/limited/once", "/misdirected/once"}) {
        for (const char *route : routes) {
            const std::string path = std::string(route) + "/refusal" + whose + refusal;
            world.play(path, [&](const Outcome &outcome) { requireHonest(path, outcome); });
        }
    }
}

} // namespace

TEST_CASE("an earlier refusal that is written once more is not the refusal of another request")
{
    SECTION("it states the id of its request")
    {
        playRefusals("/earlier");
    }

    SECTION("it states no id")
    {
        playRefusals("/without-id");
    }
}
