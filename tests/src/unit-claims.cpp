#include <balsamport/controllers/claim_client.h>
#include <balsamport/controllers/witness_controller.h>
#include <balsamport/policy/witness_slots.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>

using namespace balsamport;

// Guards against running a non-repeatable request twice: two attempts could win one key if a
// witness forgot or replaced its vote, or if an old and a new holder of a witness slot both granted
// the key.

namespace {

constexpr Millis startWall{1'000'000};
constexpr Millis startTime{500'000};
constexpr Millis farFuture{1'000'000'000};
constexpr Millis settledTime{100'000}; ///< After all waits of a newly acquired witness slot.

WitnessState stateAt(Millis sinceStart)
{
    return WitnessState{
            true, startWall, startTime, farFuture, startTime + sinceStart, startWall + sinceStart};
}

WitnessRequest requestFor(const std::string &key, std::uint64_t attempt,
                          std::optional<Millis> firstSent = startWall + settledTime)
{
    return WitnessRequest{RequestKey(key),
                          {AttemptId(attempt), {VmId("vm1"), Incarnation(1)}, Fingerprint(7)},
                          firstSent};
}

bool isGranted(const ClaimVerdict &verdict, std::uint64_t attempt)
{
    return verdict.holder && verdict.holder->attempt == AttemptId(attempt);
}

} // namespace

TEST_CASE("keys of callers")
{
    SECTION("a UUID of version 7 contains its time")
    {
        const auto time = uuid7Time("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"); // RFC 9562, A.6
        REQUIRE(time == Millis(1'645'557'742'000));
        REQUIRE_FALSE(uuid7Time("017f22e2-79b0-4cc3-98c4-dc0c0c07398f").has_value());
        REQUIRE_FALSE(uuid7Time("lot-17").has_value());
    }

    SECTION("the date in the header is the time of other keys")
    {
        const auto time = parseFirstSent("Sun, 06 Nov 1994 08:49:37 GMT"); // RFC 9110, 5.6.7
        REQUIRE(time.has_value());
        REQUIRE(time.value() == Millis(784'111'777'000));
        REQUIRE(parseFirstSent("1994-11-06").error().code == ErrorCode::InvalidHeader);
        REQUIRE(firstSentOf("lot-17", time.value()) == time.value());
    }

    SECTION("a ticket names its witness, also if the VM id contains dots")
    {
        const Ticket ticket{{VmId("vm.north.1"), Incarnation(0xfeed'beef'0000'0001U)}, 12};
        REQUIRE(parseTicket(formatTicket(ticket).str()) == ticket);
        REQUIRE_FALSE(parseTicket("ticket.vm1").has_value());
        REQUIRE_FALSE(parseTicket("ticket..1.2").has_value());
        REQUIRE_FALSE(parseTicket("ticket.").has_value());
    }

    SECTION("keys that are empty, too long or not visible are refused")
    {
        REQUIRE(checkKey("").error().code == ErrorCode::KeyMissing);
        REQUIRE(checkKey(std::string(256, 'x')).error().code == ErrorCode::KeyInvalid);
        REQUIRE(checkKey("a b").error().code == ErrorCode::KeyInvalid);
        REQUIRE(checkKey("lot-17").has_value());
    }

    SECTION("the same text of two callers gives two keys")
    {
        const RequestKey key("k");
        REQUIRE(scopedKey(CallerId("a"), key) != scopedKey(CallerId("b"), key));
        REQUIRE(scopedKey(CallerId("a"), RequestKey("b/k"))
                != scopedKey(CallerId("a/b"), RequestKey("k")));
    }
}

TEST_CASE("a witness grants a key to one attempt")
{
    const ClaimLimits limits;
    ClaimTable table;
    const WitnessState now = stateAt(settledTime);
    REQUIRE(isGranted(table.decide(requestFor("k", 1), now, limits), 1));

    SECTION("repeated requests of any attempt return the same holder")
    {
        REQUIRE(isGranted(table.decide(requestFor("k", 2), now, limits), 1));
        REQUIRE(isGranted(table.decide(requestFor("k", 1), now, limits), 1));
        REQUIRE(table.size() == 1);
    }

    SECTION("a closed key is granted to no attempt")
    {
        WitnessRequest close = requestFor("c", 0);
        close.claimant = {};
        REQUIRE(table.decide(close, now, limits).holder->isClosed());
        REQUIRE(table.decide(requestFor("c", 3), now, limits).holder->isClosed());
    }

    SECTION("no new key is granted without the slot, during a handover or with an unconfirmed view")
    {
        WitnessState state = now;
        state.held = false;
        REQUIRE(table.decide(requestFor("n", 1), state, limits).refusal
                == ErrorCode::WitnessUnavailable);
        state = now;
        state.heldSince = now.now - limits.handoverWait + Millis(1);
        REQUIRE(table.decide(requestFor("n", 1), state, limits).refusal == ErrorCode::HandoverWait);
        state = now;
        state.confirmedUntil = now.now;
        REQUIRE(table.decide(requestFor("n", 1), state, limits).refusal
                == ErrorCode::ViewUnconfirmed);

        SECTION("a key that was granted before keeps its holder")
        {
            state.held = false;
            REQUIRE(isGranted(table.decide(requestFor("k", 2), state, limits), 1));
        }
    }
}

TEST_CASE("a witness slot counts as newly acquired")
{
    const Millis later = startTime + settledTime;
    const Millis laterWall = startWall + settledTime;
    const WitnessSlotView update{DataCentreId("a"), true, Millis(0), Millis(0),
                                 later + Millis(2'000)};
    WitnessState before = stateAt(settledTime);

    SECTION("not while it is held and its view is confirmed")
    {
        REQUIRE(updatedWitnessState(before, update, later, laterWall).heldSince == startTime);
    }
    SECTION("if it was not held before")
    {
        before.held = false;
        const WitnessState after = updatedWitnessState(before, update, later, laterWall);
        REQUIRE(after.heldSince == later);
        REQUIRE(after.heldSinceWall == laterWall);
        REQUIRE(after.confirmedUntil == update.confirmedUntil);
    }
    SECTION("if the view was unconfirmed in between")
    {
        before.confirmedUntil = later;
        REQUIRE(updatedWitnessState(before, update, later, laterWall).heldSince == later);
    }
}

TEST_CASE("a witness that may have evicted a key refuses it")
{
    const ClaimLimits limits;
    ClaimTable table;

    SECTION("keys first sent before the table starts")
    {
        const Millis floor = knownAgeFloor(stateAt(settledTime), limits);
        const auto before = requestFor("k", 1, floor - Millis(1));
        REQUIRE(table.decide(before, stateAt(settledTime), limits).refusal == ErrorCode::KeyTooOld);
        const auto after = requestFor("k", 1, floor);
        REQUIRE(isGranted(table.decide(after, stateAt(settledTime), limits), 1));
    }

    SECTION("keys from the future")
    {
        const auto ahead
                = requestFor("k", 1, startWall + settledTime + limits.clockSkew + Millis(1));
        REQUIRE(table.decide(ahead, stateAt(settledTime), limits).refusal
                == ErrorCode::KeyFromFuture);
    }

    SECTION("keys of unknown age until no repeat can arrive")
    {
        const Millis wait = unknownAgeFloor(stateAt(settledTime), limits) - startTime;
        const auto request = requestFor("k", 1, std::nullopt);
        REQUIRE(table.decide(request, stateAt(wait - Millis(1)), limits).refusal
                == ErrorCode::HandoverWait);
        REQUIRE(isGranted(table.decide(request, stateAt(wait), limits), 1));
    }

    SECTION("keys as old as those that a full table evicted")
    {
        ClaimLimits small = limits;
        small.capacity = 2;
        const Millis base = startWall + settledTime;
        table.decide(requestFor("a", 1, base), stateAt(settledTime), small);
        table.decide(requestFor("b", 2, base + Millis(1)), stateAt(settledTime), small);
        table.decide(requestFor("c", 3, base + Millis(2)), stateAt(settledTime), small);
        REQUIRE(table.size() == 2);
        REQUIRE(table.decide(requestFor("a", 9, base), stateAt(settledTime), small).refusal
                == ErrorCode::KeyTooOld);
        REQUIRE(isGranted(table.decide(requestFor("b", 9), stateAt(settledTime), small), 2));

        SECTION("also if the age of the repeat is unknown")
        {
            REQUIRE(table.decide(requestFor("a", 9, std::nullopt), stateAt(settledTime), small)
                            .refusal
                    == ErrorCode::WitnessUnavailable);
        }
    }
}

TEST_CASE("tickets")
{
    const VmInstance self{VmId("vm1"), Incarnation(5)};
    const ClaimHolder first{AttemptId(1), self, Fingerprint(1)};
    const ClaimHolder second{AttemptId(2), self, Fingerprint(1)};
    TicketTable table(self);
    const Ticket ticket = table.issue();

    SECTION("are granted to one attempt")
    {
        REQUIRE(isGranted(table.decide(ticket, first, 10), 1));
        REQUIRE(isGranted(table.decide(ticket, second, 10), 1));
    }

    SECTION("are refused after a restart, and if they were never issued")
    {
        TicketTable restarted({VmId("vm1"), Incarnation(6)});
        REQUIRE(restarted.decide(ticket, first, 10).refusal == ErrorCode::TicketUnknown);
        REQUIRE(table.decide({self, 99}, first, 10).refusal == ErrorCode::TicketUnknown);
    }

    SECTION("are refused once a full table may have evicted them")
    {
        const Ticket later = table.issue();
        table.decide(ticket, first, 1);
        table.decide(later, second, 1);
        REQUIRE(table.decide(ticket, second, 1).refusal == ErrorCode::KeyTooOld);
    }
}

TEST_CASE("votes of three witness slots")
{
    ClaimVotes votes = startVotes(AttemptId(1), Fingerprint(7), 3);
    const auto vote = [](std::uint64_t attempt, std::uint64_t body = 7) {
        return ClaimVerdict{ClaimHolder{AttemptId(attempt), {}, Fingerprint(body)}, std::nullopt};
    };
    const ClaimVerdict refusal{std::nullopt, ErrorCode::WitnessUnavailable};

    SECTION("two votes of three win")
    {
        recordVote(votes, 0, vote(1));
        REQUIRE(standingOf(votes) == ClaimStanding::Open);
        recordVote(votes, 2, vote(1));
        REQUIRE(standingOf(votes) == ClaimStanding::Won);
        REQUIRE(isProvenNotRun(votes)); // Holds only once the attempt is abandoned.
    }

    SECTION("two votes for another attempt lose")
    {
        recordVote(votes, 0, vote(2));
        recordVote(votes, 1, vote(2));
        REQUIRE(standingOf(votes) == ClaimStanding::Lost);
        REQUIRE_FALSE(isProvenNotRun(votes));
        REQUIRE(failureOf(votes) == ErrorCode::KeyInProgress);
    }

    SECTION("a winner with another body is reported as a mismatch")
    {
        recordVote(votes, 0, vote(2, 8));
        recordVote(votes, 1, vote(2, 8));
        REQUIRE(failureOf(votes) == ErrorCode::KeyBodyMismatch);
    }

    SECTION("a three-way split proves that no attempt runs")
    {
        recordVote(votes, 0, vote(1));
        recordVote(votes, 1, vote(2));
        REQUIRE_FALSE(isProvenNotRun(votes));
        recordVote(votes, 2, vote(3));
        REQUIRE(standingOf(votes) == ClaimStanding::Undecided);
        REQUIRE(isProvenNotRun(votes));
    }

    SECTION("a slot that refused may have voted before, which proves nothing")
    {
        recordVote(votes, 0, vote(1));
        recordVote(votes, 1, refusal);
        recordVote(votes, 2, refusal);
        REQUIRE(standingOf(votes) == ClaimStanding::Undecided);
        REQUIRE_FALSE(isProvenNotRun(votes));

        SECTION("until the slot closes the key")
        {
            recordVote(votes, 1, vote(0));
            REQUIRE(isProvenNotRun(votes));
        }
    }

    SECTION("a vote is never replaced")
    {
        recordVote(votes, 0, vote(2));
        recordVote(votes, 0, vote(1));
        REQUIRE(votes.slots[0]->holder->attempt == AttemptId(2));
    }
}

TEST_CASE("a round that ends after its dispatch window proves nothing for a key of unknown age")
{
    const ClaimVerdict closed{ClaimHolder{}, std::nullopt};
    const Millis arrivedAt{1'000};
    const Millis deadline{60'000};
    const Millis late = arrivedAt + dispatchWindow;
    for (const bool ageKnown : {true, false}) {
        ClaimRound round = startRound(AttemptId(1), Fingerprint(7), 3, ageKnown, true);
        REQUIRE(applyReply(round, 0, true, closed) == ClaimStep::Wait);
        REQUIRE(applyReply(round, 1, true, closed) == ClaimStep::Finish);
        REQUIRE(roundOutcome(round, arrivedAt, deadline, late - Millis(1)).provenNotRun);
        REQUIRE(roundOutcome(round, arrivedAt, deadline, late).provenNotRun == ageKnown);
    }
}

TEST_CASE("witness slots")
{
    const std::vector<DataCentreId> three{DataCentreId("a"), DataCentreId("b"), DataCentreId("c")};

    SECTION("are one in each of three data centres")
    {
        const auto slots = witnessSlotsForKey(RequestKey("k"), three);
        REQUIRE(slots.size() == 3);
        REQUIRE(slots[0].str() == "a");
        REQUIRE(witnessSetDigest(three) == witnessSetDigest({three[2], three[0], three[1]}));
    }

    SECTION("are distinct VMs if there are fewer data centres")
    {
        const auto two = allWitnessSlots({three[1], three[0]});
        REQUIRE(two[2].str() == "a#1");
        const auto one = allWitnessSlots({three[0]});
        REQUIRE(one[2].str() == "a#2");
        REQUIRE(allWitnessSlots({}).empty());
    }

    SECTION("are held by the first listed VM that is not draining")
    {
        FleetView fleet;
        for (const char *vm : {"vm1", "vm2", "vm3"}) {
            fleet.members.push_back(
                    {{VmId(vm), Incarnation(1)}, MemberState::Alive, three[0], vm, "", 0});
        }
        fleet.listedVms = {VmId("vm3"), VmId("vm2"), VmId("vm1")};
        REQUIRE(witnessOf({three[0], 0}, fleet)->instance.vm == VmId("vm3"));
        fleet.members[2].state = MemberState::Draining;
        REQUIRE(witnessOf({three[0], 0}, fleet)->instance.vm == VmId("vm2"));
        REQUIRE(witnessOf({three[0], 1}, fleet)->instance.vm == VmId("vm1"));
        REQUIRE_FALSE(witnessOf({three[0], 2}, fleet).has_value());
        REQUIRE_FALSE(witnessOf({three[1], 0}, fleet).has_value());
    }
}

namespace {

/// Added to the clocks of the witnesses, so that no test waits until a new slot grants keys.
std::atomic<std::int64_t> clockOffset{0};

Millis shiftedMonotonic() noexcept
{
    return monotonicNow() + Millis(clockOffset.load());
}

Millis shiftedWall() noexcept
{
    return wallNow() + Millis(clockOffset.load());
}

/// Three controllers with one witness slot each, behind real sockets, and the client of one
/// gateway.
struct WitnessFleet
{
    WitnessFleet()
        : client({"gateway", 1}, {})
        , claims(client, endpointOf(0))
    {
        clockOffset = 0;
        auto configuration = std::make_shared<Snapshot>();
        auto fleet = std::make_shared<FleetView>();
        const Millis longTime{1'000'000};
        for (int i = 0; i < 3; ++i) {
            const DataCentreId dataCentre("dc" + std::to_string(i));
            configuration->dataCentres[dataCentre] = {dataCentre, RegionId("r"), false};
            const VmInstance instance{VmId("vm" + std::to_string(i)), Incarnation(1)};
            fleet->members.push_back(
                    {instance, MemberState::Alive, dataCentre, endpointOf(i), "", 0});
            fleet->listedVms.push_back(instance.vm);
        }
        for (int i = 0; i < 3; ++i) {
            auto witness = std::make_unique<WitnessController>(
                    fleet->members[i].instance, ControllerClocks{shiftedMonotonic, shiftedWall});
            const WitnessSlotView slot{fleet->members[i].dataCentre, true, wallNow(),
                                       monotonicNow(), monotonicNow() + longTime};
            witness->update(configuration, {slot});
            this->witnesses.push_back(std::move(witness));
            this->startServer(i);
        }
        clockOffset = settledTime.count();
        this->snapshot = configuration;
        this->claims.update(this->snapshot, fleet);
    }

    static std::string endpointOf(int vm)
    {
        return "tcp://127.0.0.1:" + std::to_string(23100 + vm);
    }

    void startServer(int vm)
    {
        WitnessController &witness = *this->witnesses[vm];
        auto server = MessageServer::start(
                endpointOf(vm), {"vm" + std::to_string(vm), 1}, {},
                [&witness](const wire::Envelope &message, const ReplySender &reply) {
                    witness.handle(message, reply);
                });
        this->servers.push_back(std::move(server).value());
    }

    ClaimOutcome run(const ClaimQuery &query, bool close = false)
    {
        std::promise<ClaimOutcome> done;
        const auto callback = [&done](const ClaimOutcome &outcome) { done.set_value(outcome); };
        if (close) {
            this->claims.close(query, callback);
        } else {
            this->claims.claim(query, callback);
        }
        return done.get_future().get();
    }

    std::vector<std::unique_ptr<WitnessController>> witnesses;
    std::vector<std::unique_ptr<MessageServer>> servers;
    SnapshotPtr snapshot;
    MessageClient client;
    ClaimClient claims;
};

ClaimQuery queryFor(const std::string &key, std::uint64_t body = 7)
{
    ClaimQuery query;
    query.key = RequestKey(key);
    query.caller = CallerId("counter-1");
    query.body = Fingerprint(body);
    query.attempt = newAttemptId();
    query.firstSentWall = shiftedWall();
    query.arrivedAt = monotonicNow();
    query.deadline = monotonicNow() + Millis(60'000);
    return query;
}

} // namespace

TEST_CASE("claims over sockets")
{
    WitnessFleet fleet;
    const ClaimQuery query = queryFor("lot-17");
    const ClaimOutcome won = fleet.run(query);
    REQUIRE(won.standing == ClaimStanding::Won);
    REQUIRE(won.dispatchDeadline == query.arrivedAt + dispatchWindow);

    SECTION("a second attempt loses and receives the winner")
    {
        const ClaimOutcome lost = fleet.run(queryFor("lot-17"));
        REQUIRE(lost.standing == ClaimStanding::Lost);
        REQUIRE_FALSE(lost.provenNotRun);
        REQUIRE(lost.failure == ErrorCode::KeyInProgress);
        REQUIRE(lost.winnerGateway->vm == VmId("gateway"));
        REQUIRE(fleet.run(queryFor("lot-17", 8)).failure == ErrorCode::KeyBodyMismatch);
    }

    SECTION("a closed key is won by no attempt")
    {
        const ClaimOutcome closed = fleet.run(queryFor("lot-18"), true);
        REQUIRE(closed.provenNotRun);
        REQUIRE(fleet.run(queryFor("lot-18")).failure == ErrorCode::KeyClosed);
    }

    SECTION("a claim is won while one data centre is unreachable")
    {
        fleet.servers[1].reset();
        REQUIRE(fleet.run(queryFor("lot-19")).standing == ClaimStanding::Won);

        SECTION("with two unreachable it stays undecided, and nothing is proven")
        {
            fleet.servers[2].reset();
            const ClaimOutcome outcome = fleet.run(queryFor("lot-20"));
            REQUIRE(outcome.standing == ClaimStanding::Undecided);
            REQUIRE_FALSE(outcome.provenNotRun);
            REQUIRE(outcome.failure == ErrorCode::WitnessUnavailable);
        }

        SECTION("with two unreachable a ticket of the own VM is still granted")
        {
            fleet.servers[2].reset();
            std::promise<RequestKey> issued;
            fleet.claims.requestTicket(
                    [&issued](const Result<RequestKey> &key) { issued.set_value(key.value()); });
            const std::string ticket = issued.get_future().get().str();
            REQUIRE(fleet.run(queryFor(ticket)).standing == ClaimStanding::Won);
            REQUIRE(fleet.run(queryFor(ticket)).standing == ClaimStanding::Lost);
        }
    }

    SECTION("claims made under another set of data centres are refused")
    {
        auto other = std::make_shared<Snapshot>(*fleet.snapshot);
        other->dataCentres[DataCentreId("dc9")] = {DataCentreId("dc9"), RegionId("r"), false};
        for (auto &witness : fleet.witnesses) {
            witness->update(other, {});
        }
        REQUIRE(fleet.run(queryFor("lot-21")).failure == ErrorCode::WitnessUnavailable);
    }
}
