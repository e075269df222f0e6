#include <balsamport/controllers/config_controller.h>
#include <balsamport/controllers/fleet_client.h>
#include <balsamport/controllers/platform_client.h>
#include <balsamport/policy/jittered_backoff.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <fixed_seed.h>

#include <chrono>
#include <mutex>
#include <thread>

using namespace balsamport;

namespace {

const std::string goodText = "[data-centre a]\nregion = r\n[limits]\ngather-time = ";

std::vector<SourceFile> goodFiles(std::uint64_t number)
{
    return {{"a.ini", goodText + std::to_string(number) + "\n"},
            {"b.ini", "[limits]\nretry-percent = " + std::to_string(number % 100) + "\n"}};
}

std::vector<SourceFile> faultyFiles()
{
    return {{"a.ini", "[data-centre a]\nregion = not/valid\n"}};
}

CandidateRevision offered(std::uint64_t revision, std::vector<SourceFile> files)
{
    return CandidateRevision{RevisionContent{ConfigRevision(revision), 0, std::move(files)}, true};
}

/// A controller that notes what comes in force.
struct Held
{
    Held()
        : client({"vm1", 1}, {})
        , controller(this->client, [this](const SnapshotPtr &snapshot, bool) {
            const std::lock_guard lock(this->mutex);
            this->accepted.push_back(snapshot->revision.number());
        })
    { }

    /// Waits until all offers before this call are judged; a marker revision would disturb them.
    void waitFor(std::uint64_t revision)
    {
        for (int i = 0; i < 1000 && this->controller.highestEvaluated().number() < revision; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    std::vector<std::uint64_t> history()
    {
        const std::lock_guard lock(this->mutex);
        return this->accepted;
    }

    MessageClient client;
    std::mutex mutex;
    std::vector<std::uint64_t> accepted;
    ConfigController controller;
};

} // namespace

TEST_CASE("revisions in force only rise")
{
    Held held;

    SECTION("an older one is ignored, a refused one leaves the last in force")
    {
        held.controller.submit(offered(5, goodFiles(5)));
        held.controller.submit(offered(4, goodFiles(4)));
        held.controller.submit(offered(6, faultyFiles()));
        held.waitFor(6);
        REQUIRE(held.history() == std::vector<std::uint64_t>{5});
        REQUIRE(held.controller.snapshot()->limits.gatherTime == Millis(5));
        wire::StatusReply status;
        held.controller.fillStatus(status);
        REQUIRE(status.config_revision() == 5);
        REQUIRE(status.last_refused().find("revision 6: a.ini:2") == 0);
    }

    SECTION("a VM that saw a refused revision first still takes the one before it")
    {
        held.controller.submit(offered(6, faultyFiles()));
        held.waitFor(6);
        held.controller.submit(offered(5, goodFiles(5)));
        for (int i = 0; i < 1000 && held.history().empty(); ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        REQUIRE(held.history() == std::vector<std::uint64_t>{5});
    }

    SECTION("in any order of offers")
    {
        const bool rises = rc::check("the history is strictly rising", [] {
            Held any;
            const auto order = *rc::gen::container<std::vector<std::uint64_t>>(
                    6, rc::gen::inRange<std::uint64_t>(1, 20));
            std::uint64_t highest = 0;
            for (const std::uint64_t revision : order) {
                any.controller.submit(offered(revision, goodFiles(revision)));
                highest = std::max(highest, revision);
            }
            any.waitFor(highest);
            const std::vector<std::uint64_t> history = any.history();
            RC_ASSERT(std::adjacent_find(history.begin(), history.end(), std::greater_equal<>())
                      == history.end());
            RC_ASSERT(any.controller.snapshot()->revision == ConfigRevision(highest));
        });
        REQUIRE(rises);
    }
}

TEST_CASE("a pull gives one revision, and only what changed")
{
    RevisionContent held{ConfigRevision(7), digestOf(goodFiles(1)), goodFiles(1)};

    SECTION("the same revision is not sent again")
    {
        const auto reply
                = answerConfigPull(&held, makeConfigPull(held.revision, held.digest, held.files));
        REQUIRE(reply.unchanged());
        REQUIRE(reply.changed_size() == 0);
    }
    SECTION("a file that changed is sent, one that went is named")
    {
        std::vector<SourceFile> had = goodFiles(1);
        had[0].content = "old";
        had.push_back({"gone.ini", "x"});
        const auto reply = answerConfigPull(&held, makeConfigPull(ConfigRevision(6), 1, had));
        REQUIRE(reply.changed_size() == 1);
        REQUIRE(reply.removed_size() == 1);
        REQUIRE(mergeConfigReply(had, reply) == held.files);
    }
    SECTION("a folder that is too large for one reply comes in several")
    {
        held.files.clear();
        for (int i = 0; i < 20; ++i) {
            held.files.push_back(
                    {std::to_string(100 + i) + ".ini", std::string(maxFileBytes, ';')});
        }
        held.digest = digestOf(held.files);
        std::vector<SourceFile> staged;
        int rounds = 0;
        while (digestOf(staged) != held.digest) {
            REQUIRE(++rounds <= 3);
            const auto reply = answerConfigPull(&held, makeConfigPull({}, 0, staged));
            REQUIRE(reply.ByteSizeLong() < MessageServer::maxMessageBytes);
            staged = mergeConfigReply(staged, reply);
        }
        REQUIRE(rounds == 3);
    }
    SECTION("nothing is held yet")
    {
        REQUIRE(answerConfigPull(nullptr, {}).revision() == 0);
    }
}

TEST_CASE("a gateway follows its controller")
{
    const std::string endpoint = "tcp://127.0.0.1:24474";
    Held held;
    const auto server = MessageServer::start(
            endpoint, {"vm1", 1}, {},
            [&held](const wire::Envelope &message, const ReplySender &reply) {
                held.controller.handle(message, reply);
            });
    REQUIRE(server.has_value());
    MessageClient client({"vm1", 2}, {});
    FleetClient fleet(client, endpoint);
    REQUIRE(fleet.snapshot() == nullptr);
    held.controller.submit(offered(1, goodFiles(1)));
    fleet.start();
    const auto follows = [&fleet](std::uint64_t revision) {
        for (int i = 0; i < 500; ++i) {
            const SnapshotPtr snapshot = fleet.snapshot();
            if (snapshot && snapshot->revision == ConfigRevision(revision)) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    };
    REQUIRE(follows(1));
    held.controller.submit(offered(2, goodFiles(2)));
    REQUIRE(follows(2));
    REQUIRE(fleet.snapshot()->limits.gatherTime == Millis(2));
}

TEST_CASE("what the platform says is checked")
{
    SECTION("values")
    {
        const auto values = parseValues(
                R"({"revision":3,"values":[{"name":"a.ini","digest":"00000000000000ff"}]})");
        REQUIRE(values.value().revision == ConfigRevision(3));
        REQUIRE(values.value().values.front().digest == 255);
    }
    SECTION("nonsense is typed")
    {
        for (const char *body :
             {"", "[]", "{\"revision\":-1}", "{\"revision\":3}",
              R"({"revision":3,"values":[{"name":"a.ini"}]})",
              R"({"revision":3,"values":[{"name":"a.ini","digest":"xyz"}]})", "\xff\xfe[[["}) {
            REQUIRE(parseValues(body).error().code == ErrorCode::BadResponse);
        }
        REQUIRE(parseRevision("{}").error().code == ErrorCode::BadResponse);
    }
    SECTION("a list of VMs that is empty, doubled or faulty is not taken")
    {
        const std::string vm = R"({"id":"a1","data_centre":"a","controller":"tcp://127.0.0.1:1",)"
                               R"("gateway":"127.0.0.1:2","state":"live"})";
        REQUIRE(parseVms(R"({"vms":[)" + vm + "]}").value().size() == 1);
        REQUIRE(parseVms(R"({"vms":[]})").has_error());
        REQUIRE(parseVms(R"({"vms":[)" + vm + "," + vm + "]}").has_error());
        REQUIRE(parseVms(R"({"vms":[{"id":"a1"}]})").has_error());
    }
}

TEST_CASE("backoff doubles up to its limit, with jitter")
{
    JitteredBackoff backoff;
    REQUIRE(waitAfterFailures(backoff, 12345) == Millis());
    for (backoff.failures = 1; backoff.failures < 100; ++backoff.failures) {
        const Millis wait = waitAfterFailures(backoff, backoff.failures * 7919);
        REQUIRE(wait <= backoff.longest);
        REQUIRE(wait >= std::min(backoff.first, backoff.longest) / 2);
    }
}
