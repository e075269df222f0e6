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

CandidateRevision candidate(std::uint64_t revision, std::vector<SourceFile> files)
{
    return CandidateRevision{RevisionContent{ConfigRevision(revision), 0, std::move(files)}, true};
}

/// A controller that records the revisions that come in force.
struct ControllerFixture
{
    ControllerFixture()
        : client({"vm1", 1}, {})
        , controller(this->client, [this](const SnapshotPtr &snapshot, bool) {
            const std::lock_guard lock(this->mutex);
            this->accepted.push_back(snapshot->revision.number());
        })
    { }

    /// Waits up to about 1 s until a revision is evaluated; submitting a marker revision to wait
    /// for would change the outcome.
    void waitForEvaluation(std::uint64_t revision)
    {
        for (int i = 0; i < 1000 && this->controller.highestEvaluated().number() < revision; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }
    std::vector<std::uint64_t> acceptedRevisions()
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

// Guards against a configuration that reverts to an older revision or stops at a refused one.
TEST_CASE("the revision in force only increases")
{
    ControllerFixture fixture;

    SECTION("an older revision is ignored, a refused one leaves the last one in force")
    {
        fixture.controller.submit(candidate(5, goodFiles(5)));
        fixture.controller.submit(candidate(4, goodFiles(4)));
        fixture.controller.submit(candidate(6, faultyFiles()));
        fixture.waitForEvaluation(6);
        REQUIRE(fixture.acceptedRevisions() == std::vector<std::uint64_t>{5});
        REQUIRE(fixture.controller.snapshot()->limits.gatherTime == Millis(5));
        wire::StatusReply status;
        fixture.controller.fillStatus(status);
        REQUIRE(status.config_revision() == 5);
        REQUIRE(status.last_refused().find("revision 6: a.ini:2") == 0);
    }

    SECTION("a VM that refused a revision first still accepts the one before it")
    {
        fixture.controller.submit(candidate(6, faultyFiles()));
        fixture.waitForEvaluation(6);
        fixture.controller.submit(candidate(5, goodFiles(5)));
        for (int i = 0; i < 1000 && fixture.acceptedRevisions().empty(); ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        REQUIRE(fixture.acceptedRevisions() == std::vector<std::uint64_t>{5});
    }

    SECTION("in any order of submission")
    {
        const bool rises = rc::check("the history is strictly rising", [] {
            ControllerFixture fixture;
            const auto order = *rc::gen::container<std::vector<std::uint64_t>>(
                    6, rc::gen::inRange<std::uint64_t>(1, 20));
            std::uint64_t highest = 0;
            for (const std::uint64_t revision : order) {
                fixture.controller.submit(candidate(revision, goodFiles(revision)));
                highest = std::max(highest, revision);
            }
            fixture.waitForEvaluation(highest);
            const std::vector<std::uint64_t> history = fixture.acceptedRevisions();
            RC_ASSERT(std::adjacent_find(history.begin(), history.end(), std::greater_equal<>())
                      == history.end());
            RC_ASSERT(fixture.controller.snapshot()->revision == ConfigRevision(highest));
        });
        REQUIRE(rises);
    }
}

// Guards against a pull that mixes files of two revisions or exceeds the size of a message.
TEST_CASE("a pull transfers one revision, and only changed files")
{
    RevisionContent inForce{ConfigRevision(7), digestOf(goodFiles(1)), goodFiles(1)};

    SECTION("the same revision is not sent again")
    {
        const auto reply = makeConfigReply(
                &inForce, makeConfigPull(inForce.revision, inForce.digest, inForce.files));
        REQUIRE(reply.unchanged());
        REQUIRE(reply.changed_size() == 0);
    }
    SECTION("a changed file is sent, a removed one is named")
    {
        std::vector<SourceFile> peerFiles = goodFiles(1);
        peerFiles[0].content = "old";
        peerFiles.push_back({"gone.ini", "x"});
        const auto reply
                = makeConfigReply(&inForce, makeConfigPull(ConfigRevision(6), 1, peerFiles));
        REQUIRE(reply.changed_size() == 1);
        REQUIRE(reply.removed_size() == 1);
        REQUIRE(mergeConfigReply(peerFiles, reply) == inForce.files);
    }
    SECTION("a revision that is too large for one reply takes several")
    {
        inForce.files.clear();
        for (int i = 0; i < 20; ++i) {
            inForce.files.push_back(
                    {std::to_string(100 + i) + ".ini", std::string(maxFileBytes, ';')});
        }
        inForce.digest = digestOf(inForce.files);
        std::vector<SourceFile> staged;
        int rounds = 0;
        while (digestOf(staged) != inForce.digest) {
            REQUIRE(++rounds <= 3);
            const auto reply = makeConfigReply(&inForce, makeConfigPull({}, 0, staged));
            REQUIRE(reply.ByteSizeLong() < MessageServer::maxMessageBytes);
            staged = mergeConfigReply(staged, reply);
        }
        REQUIRE(rounds == 3);
    }
    SECTION("no revision is in force")
    {
        REQUIRE(makeConfigReply(nullptr, {}).revision() == 0);
    }
}

// Guards against a gateway that keeps an old configuration.
TEST_CASE("a gateway follows its controller")
{
    const std::string endpoint = "tcp://127.0.0.1:24474";
    ControllerFixture fixture;
    const auto server = MessageServer::start(
            endpoint, {"vm1", 1}, {},
            [&fixture](const wire::Envelope &message, const ReplySender &reply) {
                fixture.controller.handle(message, reply);
            });
    REQUIRE(server.has_value());
    MessageClient client({"vm1", 2}, {});
    FleetClient fleet(client, endpoint);
    REQUIRE(fleet.snapshot() == nullptr);
    fixture.controller.submit(candidate(1, goodFiles(1)));
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
    fixture.controller.submit(candidate(2, goodFiles(2)));
    REQUIRE(follows(2));
    REQUIRE(fleet.snapshot()->limits.gatherTime == Millis(2));
}

// Guards against invalid responses of the platform that reach the configuration or the VM list.
TEST_CASE("responses of the platform are validated")
{
    SECTION("values")
    {
        const auto values = parseValues(
                R"({"revision":3,"values":[{"name":"a.ini","digest":"00000000000000ff"}]})");
        REQUIRE(values.value().revision == ConfigRevision(3));
        REQUIRE(values.value().values.front().digest == 255);
    }
    SECTION("an invalid body gives BadResponse")
    {
        for (const char *body :
             {"", "[]", "{\"revision\":-1}", "{\"revision\":3}",
              R"({"revision":3,"values":[{"name":"a.ini"}]})",
              R"({"revision":3,"values":[{"name":"a.ini","digest":"xyz"}]})", "\xff\xfe[[["}) {
            REQUIRE(parseValues(body).error().code == ErrorCode::BadResponse);
        }
        REQUIRE(parseRevision("{}").error().code == ErrorCode::BadResponse);
    }
    SECTION("a list of VMs that is empty, invalid or has duplicates is refused")
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
        REQUIRE(wait <= backoff.maxWait);
        REQUIRE(wait >= std::min(backoff.initialWait, backoff.maxWait) / 2);
    }
}
