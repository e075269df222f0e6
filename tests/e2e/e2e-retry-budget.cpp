#include "edge_world.h"

#include <balsamport/core/http_status.h>

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr Millis startTimeout{10'000};
constexpr std::size_t daemons = 6;
constexpr std::size_t slack = 12;
constexpr double ratio = 0.2;
/// Longer than peers in other data centres count as alive after their last message.
constexpr Millis peerTimeout{6'000};
constexpr Millis budgetWindow{10'000};
constexpr int lookUpsOfEach = 12;

/// A fleet whose plain replicas answer every look-up with a failure, so that each daemon wants to
/// repeat each of them.
struct FailingFleet
{
    FailingFleet()
        : world(daemons)
    {
        this->world.furtherBounds = ", retry_budget_ratio: 0.2, budget_slack: 12, "
                                    "budget_window_s: 10";
        this->world.linkPeers();
        this->world.startAll();
        this->world.publishConfig();
        REQUIRE(eventually(startTimeout, [this] { return this->world.allReady(); }));
        standins::ReplicaFaults faults;
        faults.failShare = 1;
        this->world.replicas.at("s1").standin->setFaults(faults);
        this->world.replicas.at("s2").standin->setFaults(faults);
    }

    void cutAllOff()
    {
        EdgeWorld::Cut cut;
        for (const EdgeWorld::Edge &edge : this->world.edges) {
            cut.names.insert(edge.name);
        }
        this->world.cutOff(cut);
    }

    /// Sends look-ups through each daemon.
    /// @return the arrivals at the replicas beyond the first of each
    std::size_t repeatsOfLookUps(const std::string &prefix)
    {
        const auto arrivals = [this] {
            std::size_t total = 0;
            for (const char *server : {"s1", "s2"}) {
                total += this->world.replicas.at(server).standin->receivedRequestTimes().size();
            }
            return total;
        };
        const std::size_t before = arrivals();
        for (int i = 0; i < lookUpsOfEach; ++i) {
            for (std::size_t edge = 0; edge < daemons; ++edge) {
                const std::string id = prefix + std::to_string(edge) + "-" + std::to_string(i);
                const CallerResponse response = this->world.call(edge, "/look/" + id, id);
                REQUIRE(response.status == httpstatus::internalError);
            }
        }
        return arrivals() - before - lookUpsOfEach * daemons;
    }

    EdgeWorld world;
};

constexpr std::size_t allowedRepeats
        = slack + static_cast<std::size_t>(ratio * lookUpsOfEach * daemons);

} // namespace

// Guards against daemons that share the slack of the retry budget among those alone that they have
// heard lately: in a cut, each then takes the part of those that it doesn't hear.
TEST_CASE("all daemons together stay within the retry budget")
{
    FailingFleet fleet;
    sleepFor(budgetWindow);

    SECTION("when none of them hears another")
    {
        fleet.cutAllOff();
        sleepFor(peerTimeout);
        REQUIRE(fleet.repeatsOfLookUps("cut") <= allowedRepeats);
    }

    SECTION("when all are killed and start again, and none hears another")
    {
        const Millis start = monotonicNow();
        const std::size_t before = fleet.repeatsOfLookUps("before");
        fleet.cutAllOff();
        for (EdgeWorld::Edge &edge : fleet.world.edges) {
            edge.process->killNow();
        }
        for (std::size_t edge = 0; edge < daemons; ++edge) {
            fleet.world.startEdge(edge);
        }
        REQUIRE(eventually(startTimeout, [&] { return fleet.world.allReady(); }));
        const std::size_t repeats = before + fleet.repeatsOfLookUps("after");
        REQUIRE(monotonicNow() - start < budgetWindow);
        REQUIRE(repeats <= slack + static_cast<std::size_t>(2 * ratio * lookUpsOfEach * daemons));
    }
}
