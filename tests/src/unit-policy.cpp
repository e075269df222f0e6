#include <balsamport/core/hash.h>
#include <balsamport/policy/grant_scheduler.h>
#include <balsamport/policy/link_budget.h>
#include <balsamport/policy/prefix_index.h>
#include <balsamport/policy/routing.h>

#include <policy_bench/fleet.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace balsamport;

namespace {

AdapterRef adapterOf(int number)
{
    return {BaseModelId("base"), AdapterId("a" + std::to_string(number)), AdapterVersion(1)};
}

AdmissionRequest placeFor(int adapter, Millis deadline)
{
    AdmissionRequest request;
    request.request = RequestId("r");
    request.gateway = "g#1";
    request.adapter = adapterOf(adapter);
    request.adapterHash = hashOf(request.adapter);
    request.deadline = deadline;
    request.lastChoice = true;
    return request;
}

LoadBudget budgetOf(std::uint32_t tokens, Millis interval)
{
    LoadBudget budget;
    std::vector<HeldToken> held;
    for (std::uint32_t i = 0; i < tokens; ++i) {
        held.push_back({i, Millis(-100'000)});
    }
    setTokens(budget, held, interval);
    return budget;
}

ServerState readyServer(std::uint32_t slots, std::uint32_t batchWidth)
{
    ServerState server = makeServerState({slots, batchWidth, true, false, false}, GrantId(1));
    server.reported = true;
    server.engineStart = "run";
    return server;
}

template<typename T>
std::vector<T> only(const std::vector<GrantSchedulerAction> &actions)
{
    std::vector<T> found;
    for (const GrantSchedulerAction &action : actions) {
        if (const T *one = std::get_if<T>(&action)) {
            found.push_back(*one);
        }
    }
    return found;
}

/// One backend server with its engine, driven by random steps; `broken` plants faults.
class ServerModel
{
public:
    enum class Fault { None, LosesPins, ForgetsRate };

    explicit ServerModel(Fault fault)
        : fault(fault)
    { }

    /// @return whether all promises have been kept
    bool step(int what, int number)
    {
        this->now += Millis(number % 97);
        switch (what % 6) {
        case 0:
        case 1:
            this->admit(number % 6);
            break;
        case 2:
            this->release(static_cast<std::size_t>(number));
            break;
        case 3:
            this->finishLoads(number % 5 != 0);
            break;
        case 4:
            this->report(number % 7 == 0);
            break;
        default:
            this->now += Millis(number % 1'000);
            break;
        }
        this->endLateLoads();
        this->breakState();
        this->perform(schedule(this->server, this->budget, this->context, this->now));
        return this->kept && this->counted();
    }

private:
    void admit(int adapter)
    {
        const auto answer = admitRequest(this->server, this->budget, this->context,
                                         placeFor(adapter, this->now + Millis(20'000)),
                                         this->nextTicket++, this->now);
        this->perform(answer ? std::vector<GrantSchedulerAction>{*answer}
                             : std::vector<GrantSchedulerAction>{});
    }
    void release(std::size_t number)
    {
        if (this->server.grants.empty()) {
            return;
        }
        const Grant grant = this->server.grants[number % this->server.grants.size()];
        this->kept = releaseGrant(this->server, grant.id, this->now) && this->kept;
        this->running.erase(
                std::find(this->running.begin(), this->running.end(), grant.adapterHash));
    }
    void finishLoads(bool works)
    {
        for (const AdapterRef &adapter : this->loading) {
            if (works) {
                this->resident.push_back(adapter);
            }
            finishLoadCommand(this->server, this->budget, adapter,
                              works ? LoadOutcome::Loaded : LoadOutcome::Failed, this->now);
        }
        this->loading.clear();
    }
    /// An engine gives up a load at its deadline.
    void endLateLoads()
    {
        std::erase_if(this->deadlines, [this](const auto &entry) {
            if (this->now < entry.second) {
                return false;
            }
            if (std::erase(this->loading, entry.first) > 0) {
                finishLoadCommand(this->server, this->budget, entry.first, LoadOutcome::Failed,
                                  this->now);
            }
            return true;
        });
    }
    void report(bool old)
    {
        EngineLoadReport report;
        report.start = "run";
        report.taken = this->now - (old ? Millis(500) : Millis(0));
        report.resident = this->resident;
        applyLoadReport(this->server, this->budget, report, this->now);
    }
    void breakState()
    {
        if (this->fault == Fault::LosesPins) {
            this->server.pins.clear();
        } else if (this->fault == Fault::ForgetsRate) {
            for (LoadToken &token : this->budget.tokens) {
                token.readyAt = this->now;
                token.busyUntil = this->now;
            }
        }
    }
    void perform(const std::vector<GrantSchedulerAction> &actions)
    {
        for (const IssueGrant &given : only<IssueGrant>(actions)) {
            const auto grant
                    = std::find_if(this->server.grants.begin(), this->server.grants.end(),
                                   [&given](const Grant &g) { return g.id == given.grant; });
            const bool there
                    = std::find(this->resident.begin(), this->resident.end(), grant->adapter)
                    != this->resident.end();
            this->kept = this->kept && there;
            this->running.push_back(grant->adapterHash);
        }
        for (const LoadCommand &order : only<LoadCommand>(actions)) {
            if (order.evictionCandidate) {
                const bool runs = std::find(this->running.begin(), this->running.end(),
                                            hashOf(*order.evictionCandidate))
                        != this->running.end();
                this->kept = this->kept && !runs;
                std::erase(this->resident, *order.evictionCandidate);
            }
            this->loading.push_back(order.adapter);
            std::erase_if(this->deadlines,
                          [&order](const auto &entry) { return entry.first == order.adapter; });
            this->deadlines.emplace_back(order.adapter, order.deadline);
            this->starts.push_back(this->now);
        }
    }
    /// Slots, batch, loads in flight and loads in any window keep within their limits.
    [[nodiscard]] bool counted() const
    {
        const bool slotsKept = this->resident.size() + this->loading.size() <= slots;
        const bool batchKept = this->server.grants.size() <= batchWidth;
        bool rateKept = this->loading.size() <= tokens;
        for (std::size_t first = 0; first < this->starts.size(); ++first) {
            const auto count = static_cast<std::int64_t>(this->starts.size() - first);
            const Millis window = this->starts.back() - this->starts[first];
            const std::int64_t allowed = tokens * (window.count() / interval.count() + 1);
            rateKept = rateKept && count <= allowed;
        }
        return slotsKept && batchKept && rateKept;
    }

    static constexpr std::uint32_t slots = 3;
    static constexpr std::uint32_t batchWidth = 4;
    static constexpr std::int64_t tokens = 2;
    static constexpr Millis interval{400};
    Fault fault;
    Millis now{1};
    ServerState server = readyServer(slots, batchWidth);
    LoadBudget budget = budgetOf(tokens, interval);
    SchedulerContext context;
    std::uint64_t nextTicket = 1;
    std::vector<AdapterRef> resident;
    std::vector<AdapterRef> loading;
    std::vector<std::pair<AdapterRef, Millis>> deadlines;
    std::vector<std::uint64_t> running;
    std::vector<Millis> starts;
    bool kept = true;
};

/// @return whether all promises are kept over a random history
bool keepsPromises(ServerModel::Fault fault, const std::vector<std::pair<int, int>> &steps)
{
    ServerModel model(fault);
    return std::all_of(steps.begin(), steps.end(),
                       [&model](const auto &step) { return model.step(step.first, step.second); });
}

rc::Gen<std::vector<std::pair<int, int>>> histories()
{
    return rc::gen::container<std::vector<std::pair<int, int>>>(
            200, rc::gen::pair(rc::gen::inRange(0, 600), rc::gen::inRange(0, 10'000)));
}

/// Runs fixed histories; RapidCheck draws them from one seed.
bool survivesHistories(ServerModel::Fault fault)
{
    constexpr std::uint64_t seed = 20'261'204;
    constexpr int count = 400;
    const auto generator = histories();
    rc::Random random(seed);
    for (int i = 0; i < count; ++i) {
        const auto shrinkable = generator(random.split(), 100);
        if (!keepsPromises(fault, shrinkable.value())) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("the scheduler keeps its promises over random histories")
{
    SECTION("pins, slots, batch and the store's limits hold")
    {
        REQUIRE(survivesHistories(ServerModel::Fault::None));
    }
    SECTION("lost pins are found out")
    {
        REQUIRE_FALSE(survivesHistories(ServerModel::Fault::LosesPins));
    }
    SECTION("a forgotten rate is found out")
    {
        REQUIRE_FALSE(survivesHistories(ServerModel::Fault::ForgetsRate));
    }
}

TEST_CASE("an idle engine gathers requests for its batch")
{
    ServerState server = readyServer(2, 4);
    LoadBudget budget = budgetOf(2, Millis(400));
    SchedulerContext context;
    context.weightPercent = 100;
    context.gatherTime = Millis(20);
    EngineLoadReport report;
    report.start = "run";
    report.taken = Millis(1);
    report.resident = {adapterOf(1)};
    applyLoadReport(server, budget, report, Millis(1));
    std::uint64_t ticket = 0;
    const auto arrive = [&](Millis now) {
        REQUIRE_FALSE(admitRequest(server, budget, context, placeFor(1, now + Millis(60'000)),
                                   ++ticket, now)
                              .has_value());
        return only<IssueGrant>(schedule(server, budget, context, now));
    };

    SECTION("a lone request starts at once")
    {
        for (Millis now(10'000); now < Millis(20'000); now += Millis(2'000)) {
            const auto given = arrive(now);
            REQUIRE(given.size() == 1);
            REQUIRE(releaseGrant(server, given.front().grant, now + Millis(10)));
        }
    }

    SECTION("so does each request of a caller that sends one after another")
    {
        for (Millis now(10'000); now < Millis(11'000); now += Millis(2)) {
            const auto given = arrive(now);
            REQUIRE(given.size() == 1);
            REQUIRE(releaseGrant(server, given.front().grant, now + Millis(1)));
        }
    }

    SECTION("one in a dense stream waits for the next, but no longer than the gather time")
    {
        Millis now(10'000);
        std::vector<IssueGrant> running;
        const auto releaseAll = [&] {
            for (const IssueGrant &place : running) {
                releaseGrant(server, place.grant, now);
            }
            running.clear();
        };
        for (int i = 0; i < 200; ++i) {
            now += Millis(5);
            if (i % 4 == 0) {
                releaseAll();
            }
            const auto given = arrive(now);
            running.insert(running.end(), given.begin(), given.end());
        }
        releaseAll();
        now += Millis(20);
        running = only<IssueGrant>(schedule(server, budget, context, now));
        releaseAll();
        REQUIRE(server.waiters.empty());
        REQUIRE(arrive(now + Millis(5)).empty());
        REQUIRE(arrive(now + Millis(10)).empty());
        REQUIRE(only<IssueGrant>(schedule(server, budget, context, now + Millis(25))).size() == 2);
    }
}

TEST_CASE("a server's queue")
{
    ServerState server = readyServer(2, 2);
    LoadBudget budget = budgetOf(2, Millis(400));
    SchedulerContext context;
    context.gatherTime = Millis(0);
    const Millis now(1'000);
    const auto admit = [&](AdmissionRequest request, std::uint64_t ticket) {
        return admitRequest(server, budget, context, std::move(request), ticket, now);
    };

    SECTION("a request that cannot be served in time is refused at once, with when to come back")
    {
        const auto answer = admit(placeFor(1, now + Millis(100)), 1);
        REQUIRE(answer.has_value());
        const auto refusal = std::get<RefuseAdmission>(*answer);
        REQUIRE(refusal.code == ErrorCode::DeadlineExceeded);
        REQUIRE(refusal.retryAfter > Millis(0));
        REQUIRE(server.waiters.empty());
    }

    SECTION("a full queue of a class refuses that class only")
    {
        context.queueLimit = 1;
        REQUIRE_FALSE(admit(placeFor(1, now + Millis(9'000)), 1).has_value());
        const auto answer = admit(placeFor(2, now + Millis(9'000)), 2);
        REQUIRE(std::get<RefuseAdmission>(*answer).code == ErrorCode::Overloaded);
        AdmissionRequest other = placeFor(3, now + Millis(9'000));
        other.callerClass = CallerClassId("drivers");
        REQUIRE_FALSE(admit(other, 3).has_value());
    }

    SECTION("higher priority goes first, then the earlier deadline")
    {
        server.slots[0] = Slot{SlotState::Resident,
                               adapterOf(1),
                               hashOf(adapterOf(1)),
                               std::nullopt,
                               {},
                               Millis(0),
                               Millis(0),
                               0};
        server.limits.batchWidth = 1;
        AdmissionRequest late = placeFor(1, now + Millis(20'000));
        AdmissionRequest early = placeFor(1, now + Millis(10'000));
        AdmissionRequest urgent = placeFor(1, now + Millis(30'000));
        urgent.priority = 1;
        REQUIRE_FALSE(admit(late, 1).has_value());
        REQUIRE_FALSE(admit(early, 2).has_value());
        REQUIRE_FALSE(admit(urgent, 3).has_value());
        std::vector<std::uint64_t> order;
        for (int i = 0; i < 3; ++i) {
            const auto given = only<IssueGrant>(schedule(server, budget, context, now));
            REQUIRE(given.size() == 1);
            order.push_back(given[0].ticket);
            releaseGrant(server, given[0].grant, now);
        }
        REQUIRE(order == std::vector<std::uint64_t>{3, 2, 1});
    }

    SECTION("classes share by weight")
    {
        const std::unordered_map<CallerClassId, std::uint32_t> weights{{CallerClassId("a"), 3},
                                                                       {CallerClassId("b"), 1}};
        context.classWeights = &weights;
        server.limits.batchWidth = 1;
        server.slots[0] = Slot{SlotState::Resident,
                               adapterOf(1),
                               hashOf(adapterOf(1)),
                               std::nullopt,
                               {},
                               Millis(0),
                               Millis(0),
                               0};
        for (std::uint64_t i = 0; i < 40; ++i) {
            AdmissionRequest request = placeFor(1, now + Millis(1'000'000));
            request.callerClass = CallerClassId(i % 2 == 0 ? "a" : "b");
            REQUIRE_FALSE(admit(request, i).has_value());
        }
        int ofA = 0;
        for (int i = 0; i < 20; ++i) {
            const auto given = only<IssueGrant>(schedule(server, budget, context, now));
            REQUIRE(given.size() == 1);
            ofA += given[0].ticket % 2 == 0 ? 1 : 0;
            releaseGrant(server, given[0].grant, now);
        }
        REQUIRE(ofA >= 14);
        REQUIRE(ofA <= 16);
    }

    SECTION("a suspect runs alone")
    {
        server.slots[0] = Slot{SlotState::Resident,
                               adapterOf(1),
                               hashOf(adapterOf(1)),
                               std::nullopt,
                               {},
                               Millis(0),
                               Millis(0),
                               0};
        AdmissionRequest suspect = placeFor(1, now + Millis(9'000));
        suspect.alone = true;
        REQUIRE_FALSE(admit(suspect, 1).has_value());
        REQUIRE_FALSE(admit(placeFor(1, now + Millis(9'500)), 2).has_value());
        const auto given = only<IssueGrant>(schedule(server, budget, context, now));
        REQUIRE(given.size() == 1);
        REQUIRE(given[0].ticket == 1);
    }

    SECTION("a failed load backs off and sends its callers elsewhere")
    {
        AdmissionRequest request = placeFor(1, now + Millis(9'000));
        request.lastChoice = false;
        REQUIRE_FALSE(admit(request, 1).has_value());
        REQUIRE(only<LoadCommand>(schedule(server, budget, context, now)).size() == 1);
        finishLoadCommand(server, budget, adapterOf(1), LoadOutcome::Failed, now);
        const auto actions = schedule(server, budget, context, now);
        REQUIRE(only<RedirectAdmission>(actions).size() == 1);
        REQUIRE(only<LoadCommand>(actions).empty());
    }

    SECTION("an engine that kept its victim still holds it")
    {
        for (int i = 0; i < 2; ++i) {
            server.slots[static_cast<std::size_t>(i)] = Slot{SlotState::Resident,
                                                             adapterOf(i),
                                                             hashOf(adapterOf(i)),
                                                             std::nullopt,
                                                             {},
                                                             Millis(0),
                                                             Millis(0),
                                                             0};
        }
        REQUIRE_FALSE(admit(placeFor(7, now + Millis(9'000)), 1).has_value());
        const auto orders = only<LoadCommand>(schedule(server, budget, context, now));
        REQUIRE(orders.size() == 1);
        finishLoadCommand(server, budget, adapterOf(7), LoadOutcome::EvictionCandidateRunning, now);
        REQUIRE(isResident(server, hashOf(*orders[0].evictionCandidate)));
    }

    SECTION("an adapter that the engine reports as running is not the victim")
    {
        for (int i = 0; i < 2; ++i) {
            server.slots[static_cast<std::size_t>(i)] = Slot{SlotState::Resident,
                                                             adapterOf(i),
                                                             hashOf(adapterOf(i)),
                                                             std::nullopt,
                                                             {},
                                                             Millis(0),
                                                             Millis(0),
                                                             1};
        }
        REQUIRE_FALSE(admit(placeFor(7, now + Millis(9'000)), 1).has_value());
        REQUIRE(only<LoadCommand>(schedule(server, budget, context, now)).empty());
    }

    SECTION("an engine that restarts holds nothing")
    {
        EngineLoadReport report;
        report.start = "run";
        report.taken = now;
        report.resident = {adapterOf(1)};
        server.reported = false;
        REQUIRE_FALSE(applyLoadReport(server, budget, report, now));
        REQUIRE(isResident(server, hashOf(adapterOf(1))));
        report.start = "second";
        report.resident = {};
        REQUIRE(applyLoadReport(server, budget, report, now + Millis(10)));
        REQUIRE_FALSE(isResident(server, hashOf(adapterOf(1))));
    }

    SECTION("an engine that does not answer keeps nobody waiting")
    {
        REQUIRE_FALSE(admit(placeFor(1, now + Millis(9'000)), 1).has_value());
        AdmissionRequest other = placeFor(1, now + Millis(9'000));
        other.lastChoice = false;
        REQUIRE_FALSE(admit(other, 2).has_value());
        context.reachable = false;
        const auto actions = schedule(server, budget, context, now);
        REQUIRE(only<RefuseAdmission>(actions).size() == 1);
        REQUIRE(only<RefuseAdmission>(actions)[0].code == ErrorCode::NoBackendServer);
        REQUIRE(only<RedirectAdmission>(actions).size() == 1);
        REQUIRE(only<LoadCommand>(actions).empty());
        REQUIRE(std::holds_alternative<RefuseAdmission>(
                *admit(placeFor(1, now + Millis(9'000)), 3)));
    }

    SECTION("a load over the link waits for the link's budget, and goes elsewhere meanwhile")
    {
        LinkBudget link;
        setLinkShare(link, 1'000, 1, now);
        context.link = &link;
        context.loadBytes = 1'500;
        AdmissionRequest request = placeFor(1, now + Millis(9'000));
        REQUIRE_FALSE(admit(request, 1).has_value());
        REQUIRE(only<LoadCommand>(schedule(server, budget, context, now)).empty());
        request.lastChoice = false;
        request.adapter = adapterOf(2);
        request.adapterHash = hashOf(request.adapter);
        REQUIRE(std::holds_alternative<RedirectAdmission>(*admit(request, 2)));
        const Millis later = now + Millis(500);
        REQUIRE(only<LoadCommand>(schedule(server, budget, context, later)).size() == 1);
        REQUIRE(linkBytesLeft(link, later) == 0);
    }

    SECTION("a declared preload waits for an idle token")
    {
        requestPreload(server, adapterOf(5), true, now);
        budget.tokens[0].readyAt = now;
        budget.tokens[1].readyAt = now;
        REQUIRE(only<LoadCommand>(schedule(server, budget, context, now)).empty());
        const Millis later = now + Millis(400);
        REQUIRE(only<LoadCommand>(schedule(server, budget, context, later)).size() == 1);
    }
}

TEST_CASE("tokens of the weight store")
{
    LoadBudget lender = budgetOf(1, Millis(400));
    LoadBudget borrower;
    const Millis now(1'000);

    SECTION("a lent token is not used before it is back or its lease has ended")
    {
        queueLoanRequest(lender, {7, now, now, now + Millis(50)});
        const auto answers = processLoanRequests(lender, true, now);
        REQUIRE(answers.size() == 1);
        REQUIRE(answers[0].loan != 0);
        REQUIRE_FALSE(acquireToken(lender, now, now + Millis(600)).has_value());
        addBorrowed(borrower, answers[0].loan, 3, now);
        const auto permit = acquireToken(borrower, now, now + Millis(10));
        REQUIRE(permit.has_value());
        REQUIRE(permit->deadline <= now + maxLoadDuration);

        SECTION("a return frees it, with its rate spent")
        {
            releasePermit(borrower, *permit, now + Millis(260));
            REQUIRE(borrower.returns.size() == 1);
            REQUIRE(borrower.returns[0].used);
            returnLoan(lender, answers[0].loan, borrower.returns[0].started, now + Millis(270));
            REQUIRE_FALSE(acquireToken(lender, now, now + Millis(409)).has_value());
            REQUIRE(acquireToken(lender, now, now + Millis(410)).has_value());
        }
        SECTION("a late return of an earlier loan changes nothing")
        {
            const LoadBudget before = lender;
            returnLoan(lender, answers[0].loan + 1, std::nullopt, now + Millis(10));
            REQUIRE(lender == before);
        }
    }

    SECTION("a borrowed token that was not used in time goes back")
    {
        addBorrowed(borrower, 1, 3, now);
        REQUIRE_FALSE(acquireToken(borrower, now, now + borrowedTokenStartWindow).has_value());
        REQUIRE(borrower.returns.size() == 1);
        REQUIRE_FALSE(borrower.returns[0].used);
    }

    SECTION("an older request of a peer goes before the holder's own")
    {
        queueLoanRequest(lender, {7, now - Millis(500), now, now + Millis(50)});
        REQUIRE_FALSE(acquireToken(lender, now, now).has_value());
        REQUIRE(acquireToken(lender, now - Millis(900), now).has_value());
    }

    SECTION("nothing is lent on an unconfirmed right")
    {
        queueLoanRequest(lender, {7, now, now, now + Millis(50)});
        REQUIRE(processLoanRequests(lender, false, now).empty());
        const auto refused = processLoanRequests(lender, false, now + Millis(50));
        REQUIRE(refused.size() == 1);
        REQUIRE(refused[0].loan == 0);
    }

    SECTION("a token that comes back from another holder is not fresh")
    {
        setTokens(lender, {}, Millis(400));
        setTokens(lender, {{0, now}}, Millis(400));
        REQUIRE_FALSE(acquireToken(lender, now, now + Millis(3'000)).has_value());
        REQUIRE(acquireToken(lender, now, now + maxLoadDuration + leaseMargin).has_value());
    }

    SECTION("tokens are spread evenly over the engines")
    {
        std::vector<BackendServerId> engines;
        for (int i = 0; i < 4; ++i) {
            engines.emplace_back("engine-" + std::to_string(i));
        }
        std::map<BackendServerId, int> counts;
        for (const BackendServerId &server : tokenServers(8, engines)) {
            ++counts[server];
        }
        REQUIRE(counts.size() == 4);
        for (const auto &[server, count] : counts) {
            REQUIRE(count == 2);
        }
        REQUIRE(tokenServers(8, {}).empty());
    }
}

TEST_CASE("routing of requests to replicas")
{
    RouteGroup group;
    for (std::uint32_t i = 0; i < 6; ++i) {
        RouteNode node;
        node.id = BackendServerId("engine-" + std::to_string(i));
        node.hash = hash64(node.id.str());
        node.distance = i < 2 ? NodeDistance::DataCentre
                              : (i < 4 ? NodeDistance::Region : NodeDistance::AcrossLink);
        node.inStoreRegion = i >= 4;
        group.nodes.push_back(node);
    }
    indexNodes(group);
    group.storeRegionSize = 2;
    group.ownRegionSize = 4;
    RoutingState memory;
    memory.loads.resize(6);
    RouteCosts costs;
    const Millis now(100'000);
    const std::uint64_t adapter = hashOf(adapterOf(1));

    SECTION("a cold adapter goes to the region of the weight store")
    {
        const Candidates candidates = chooseCandidates(group, memory, costs, adapter, now);
        REQUIRE(candidates.count == maxCandidates);
        REQUIRE(candidates.list[0].node >= 4);
        REQUIRE(candidates.list[1].node >= 4);
    }

    SECTION("demand that pays for the copy brings it into the own region")
    {
        for (int i = 0; i < 4; ++i) {
            recordRequest(memory, costs, adapter, now);
        }
        REQUIRE(chooseCandidates(group, memory, costs, adapter, now).list[0].node < 4);
    }

    SECTION("a resident replica goes first, the near one before the far one")
    {
        recordGrant(memory, costs, adapter, 5, Millis(0), now);
        recordGrant(memory, costs, adapter, 1, Millis(0), now);
        const Candidates candidates = chooseCandidates(group, memory, costs, adapter, now);
        REQUIRE(candidates.list[0] == Candidate{1, NodeDistance::DataCentre, true});
        REQUIRE(candidates.list[1] == Candidate{5, NodeDistance::AcrossLink, true});

        SECTION("unless its queue costs more than the link")
        {
            recordExpectedWait(memory, 1, Millis(500), now);
            REQUIRE(chooseCandidates(group, memory, costs, adapter, now).list[0].node == 5);
        }
        SECTION("or the far one holds enough of the prompt")
        {
            const std::vector<std::uint64_t> prefixes{11, 12, 13, 14};
            for (const std::uint64_t prefix : prefixes) {
                recordPrefix(memory.prefixes, prefix, 5, now);
            }
            const Candidates held = chooseCandidates(group, memory, costs, adapter, now, prefixes);
            REQUIRE(held.list[0].node == 5);
        }
        SECTION("and one that failed is left out for a while")
        {
            memory.loads[1].avoidUntil = now + Millis(1);
            REQUIRE(chooseCandidates(group, memory, costs, adapter, now).list[0].node == 5);
        }
    }

    SECTION("replicas grow with the measured wait and shrink with hysteresis")
    {
        recordGrant(memory, costs, adapter, 1, Millis(150), now);
        REQUIRE(memory.replicas.at(adapter).wantedReplicas == 2);
        recordGrant(memory, costs, adapter, 2, Millis(0), now + Millis(100));
        REQUIRE(memory.replicas.at(adapter).count == 2);
        recordGrant(memory, costs, adapter, 2, Millis(0), now + costs.dropReplicaAfter);
        REQUIRE(memory.replicas.at(adapter).wantedReplicas == 2);
        recordGrant(memory, costs, adapter, 2, Millis(0), now + costs.dropReplicaAfter + Millis(1));
        REQUIRE(memory.replicas.at(adapter).wantedReplicas == 1);
    }

    SECTION("one that sends on is asked again last, if its wait was the shortest")
    {
        CandidateProgress plan;
        plan.candidates = chooseCandidates(group, memory, costs, adapter, now);
        std::uint32_t first = 0;
        for (std::size_t i = 0; i < maxCandidates; ++i) {
            const auto ask = nextCandidate(plan, group);
            REQUIRE(ask.has_value());
            REQUIRE_FALSE(ask->lastChoice);
            first = i == 0 ? ask->candidate.node : first;
            recordRedirect(plan, ask->candidate.node, Millis(static_cast<std::int64_t>(i)));
        }
        const auto last = nextCandidate(plan, group);
        REQUIRE(last->lastChoice);
        REQUIRE(last->candidate.node == first);
        REQUIRE_FALSE(nextCandidate(plan, group).has_value());
    }

    SECTION("what is known moves with the nodes")
    {
        recordGrant(memory, costs, adapter, 5, Millis(0), now);
        RouteGroup smaller = group;
        smaller.nodes.erase(smaller.nodes.begin());
        const RoutingState moved = remapRoutingState(group, memory, smaller);
        REQUIRE(moved.replicas.at(adapter).nodes[0] == 4);
    }
}

TEST_CASE("hints about prompt prefixes")
{
    PrefixIndex index;
    const Millis now(1'000);
    applyCacheEvents(index, 2, {{5, 11, true}, {6, 12, true}}, now);
    REQUIRE(prefixMatch(index, {11, 12, 13}, 2, now) == 2);
    REQUIRE(prefixMatch(index, {13, 11}, 2, now) == 0);

    SECTION("a removal and a repeated event")
    {
        applyCacheEvents(index, 2, {{6, 12, true}, {7, 12, false}}, now);
        REQUIRE(prefixMatch(index, {11, 12}, 2, now) == 1);
    }
    SECTION("a gap forgets the node")
    {
        applyCacheEvents(index, 2, {{9, 20, true}}, now);
        REQUIRE(prefixMatch(index, {11}, 2, now) == 0);
        REQUIRE(prefixMatch(index, {20}, 2, now) == 1);
    }
    SECTION("old hints fade")
    {
        REQUIRE(prefixMatch(index, {11}, 2, now + index.lifetime + Millis(1)) == 0);
    }
}

TEST_CASE("the budget of the link between the regions")
{
    LinkBudget budget;
    setLinkShare(budget, 8'000, 4, Millis(0));
    REQUIRE(linkBytesLeft(budget, Millis(0)) == 2'000);
    REQUIRE(takeLinkBytes(budget, 1'500, Millis(0)));
    REQUIRE_FALSE(takeLinkBytes(budget, 1'500, Millis(0)));
    REQUIRE(linkWait(budget, 1'500, Millis(0)) == Millis(500));
    REQUIRE(takeLinkBytes(budget, 1'500, Millis(500)));
}

TEST_CASE("the bench's fleet keeps within the store and evicts nothing that runs")
{
    using namespace balsamport::bench;
    for (const Fault fault : {Fault::Reshuffle, Fault::ColdStart, Fault::FailingLoads,
                              Fault::StaleReports, Fault::MonthEnd}) {
        for (const std::uint32_t weight : {0U, 100U}) {
            CellOptions options;
            options.fault = fault;
            options.reading = weight == 0 ? StoreReading::Shared : StoreReading::Serial;
            options.length = Millis(120'000);
            options.warmUp = Millis(0);
            options.seed = 7;
            const std::vector<Arrival> trace = drawTrace(options, 6);
            PolicyFleet fleet(options, weight);
            const CellResult result = fleet.run(trace);
            REQUIRE(result.requests > trace.size() / 2);
            REQUIRE(result.loads > 0);
            REQUIRE(result.storeExceeded == 0);
            REQUIRE(result.pinnedEvictions == 0);
        }
    }
}
