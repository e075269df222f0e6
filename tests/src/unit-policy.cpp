#include <balsamport/core/hash.h>
#include <balsamport/policy/grant_scheduler.h>
#include <balsamport/policy/link_budget.h>
#include <balsamport/policy/prefix_index.h>
#include <balsamport/policy/routing.h>

#include <policy_bench/fleet.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace balsamport;

// Guards against evicting an adapter in use, exceeding the limits of a batch or of the weight
// store, and routing requests past resident replicas. Random histories of admissions, grants, loads
// and reports expose such faults, since they arise from the order of the events.

namespace {

AdapterRef adapterOf(int number)
{
    return {BaseModelId("base"), AdapterId("a" + std::to_string(number)), AdapterVersion(1)};
}

AdmissionRequest admissionFor(int adapter, Millis deadline)
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

/// One backend server with its engine, driven by random steps; `fault` injects a fault.
class ServerModel
{
public:
    enum class Fault { None, LosePins, IgnoreRate };

    explicit ServerModel(Fault fault)
        : fault(fault)
    { }

    /// @return whether all invariants have held so far
    bool step(int kind, int number)
    {
        this->now += Millis(number % 97);
        switch (kind % 6) {
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
        this->endExpiredLoads();
        this->injectFault();
        this->perform(schedule(this->server, this->budget, this->context, this->now));
        return this->invariantsHold && this->withinLimits();
    }

private:
    void admit(int adapter)
    {
        const auto action = admitRequest(this->server, this->budget, this->context,
                                         admissionFor(adapter, this->now + Millis(20'000)),
                                         this->nextTicket++, this->now);
        this->perform(action ? std::vector<GrantSchedulerAction>{*action}
                             : std::vector<GrantSchedulerAction>{});
    }
    void release(std::size_t number)
    {
        if (this->server.grants.empty()) {
            return;
        }
        const Grant grant = this->server.grants[number % this->server.grants.size()];
        this->invariantsHold
                = releaseGrant(this->server, grant.id, this->now) && this->invariantsHold;
        this->running.erase(
                std::find(this->running.begin(), this->running.end(), grant.adapterHash));
    }
    void finishLoads(bool succeed)
    {
        for (const AdapterRef &adapter : this->loading) {
            if (succeed) {
                this->resident.push_back(adapter);
            }
            finishLoadCommand(this->server, this->budget, adapter,
                              succeed ? LoadOutcome::Loaded : LoadOutcome::Failed, this->now);
        }
        this->loading.clear();
    }
    /// An engine cancels a load at its deadline.
    void endExpiredLoads()
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
    void injectFault()
    {
        if (this->fault == Fault::LosePins) {
            this->server.pins.clear();
        } else if (this->fault == Fault::IgnoreRate) {
            for (LoadToken &token : this->budget.tokens) {
                token.readyAt = this->now;
                token.busyUntil = this->now;
            }
        }
    }
    void perform(const std::vector<GrantSchedulerAction> &actions)
    {
        for (const IssueGrant &issued : only<IssueGrant>(actions)) {
            const auto grant
                    = std::find_if(this->server.grants.begin(), this->server.grants.end(),
                                   [&issued](const Grant &g) { return g.id == issued.grant; });
            const bool adapterResident
                    = std::find(this->resident.begin(), this->resident.end(), grant->adapter)
                    != this->resident.end();
            this->invariantsHold = this->invariantsHold && adapterResident;
            this->running.push_back(grant->adapterHash);
        }
        for (const LoadCommand &command : only<LoadCommand>(actions)) {
            if (command.evictionCandidate) {
                const bool runs = std::find(this->running.begin(), this->running.end(),
                                            hashOf(*command.evictionCandidate))
                        != this->running.end();
                this->invariantsHold = this->invariantsHold && !runs;
                std::erase(this->resident, *command.evictionCandidate);
            }
            this->loading.push_back(command.adapter);
            std::erase_if(this->deadlines,
                          [&command](const auto &entry) { return entry.first == command.adapter; });
            this->deadlines.emplace_back(command.adapter, command.deadline);
            this->starts.push_back(this->now);
        }
    }
    /// Returns whether slots, batch, loads in flight and loads in any window are within their
    /// limits.
    [[nodiscard]] bool withinLimits() const
    {
        const bool slotsHold = this->resident.size() + this->loading.size() <= slots;
        const bool batchHolds = this->server.grants.size() <= batchWidth;
        bool rateHolds = this->loading.size() <= tokens;
        for (std::size_t first = 0; first < this->starts.size(); ++first) {
            const auto count = static_cast<std::int64_t>(this->starts.size() - first);
            const Millis window = this->starts.back() - this->starts[first];
            const std::int64_t allowed = tokens * (window.count() / interval.count() + 1);
            rateHolds = rateHolds && count <= allowed;
        }
        return slotsHold && batchHolds && rateHolds;
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
    bool invariantsHold = true;
};

/// @return whether all invariants hold over a history
bool holdsInvariants(ServerModel::Fault fault, const std::vector<std::pair<int, int>> &steps)
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

/// Runs fixed histories, which RapidCheck generates from one seed.
bool holdsInHistories(ServerModel::Fault fault)
{
    constexpr std::uint64_t seed = 20'261'204;
    constexpr int count = 400;
    const auto generator = histories();
    rc::Random random(seed);
    for (int i = 0; i < count; ++i) {
        const auto shrinkable = generator(random.split(), 100);
        if (!holdsInvariants(fault, shrinkable.value())) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_CASE("the scheduler holds its invariants in random histories")
{
    SECTION("without a fault, pins, slots, batch and the limits of the store hold")
    {
        REQUIRE(holdsInHistories(ServerModel::Fault::None));
    }
    SECTION("lost pins are detected")
    {
        REQUIRE_FALSE(holdsInHistories(ServerModel::Fault::LosePins));
    }
    SECTION("an ignored rate limit is detected")
    {
        REQUIRE_FALSE(holdsInHistories(ServerModel::Fault::IgnoreRate));
    }
}

TEST_CASE("an idle engine waits for more requests to fill its batch")
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
        REQUIRE_FALSE(admitRequest(server, budget, context, admissionFor(1, now + Millis(60'000)),
                                   ++ticket, now)
                              .has_value());
        return only<IssueGrant>(schedule(server, budget, context, now));
    };

    SECTION("a single request starts without delay")
    {
        for (Millis now(10'000); now < Millis(20'000); now += Millis(2'000)) {
            const auto issued = arrive(now);
            REQUIRE(issued.size() == 1);
            REQUIRE(releaseGrant(server, issued.front().grant, now + Millis(10)));
        }
    }

    SECTION("sequential requests of one caller start without delay")
    {
        for (Millis now(10'000); now < Millis(11'000); now += Millis(2)) {
            const auto issued = arrive(now);
            REQUIRE(issued.size() == 1);
            REQUIRE(releaseGrant(server, issued.front().grant, now + Millis(1)));
        }
    }

    SECTION("a request in dense traffic waits for the next, but no longer than the gather time")
    {
        Millis now(10'000);
        std::vector<IssueGrant> running;
        const auto releaseAll = [&] {
            for (const IssueGrant &issued : running) {
                releaseGrant(server, issued.grant, now);
            }
            running.clear();
        };
        for (int i = 0; i < 200; ++i) {
            now += Millis(5);
            if (i % 4 == 0) {
                releaseAll();
            }
            const auto issued = arrive(now);
            running.insert(running.end(), issued.begin(), issued.end());
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

TEST_CASE("the queue of a backend server")
{
    ServerState server = readyServer(2, 2);
    LoadBudget budget = budgetOf(2, Millis(400));
    SchedulerContext context;
    context.gatherTime = Millis(0);
    const Millis now(1'000);
    const auto admit = [&](AdmissionRequest request, std::uint64_t ticket) {
        return admitRequest(server, budget, context, std::move(request), ticket, now);
    };

    SECTION("a request that cannot meet its deadline is refused on admission, with a retry delay")
    {
        const auto action = admit(admissionFor(1, now + Millis(100)), 1);
        REQUIRE(action.has_value());
        const auto refusal = std::get<RefuseAdmission>(*action);
        REQUIRE(refusal.code == ErrorCode::DeadlineExceeded);
        REQUIRE(refusal.retryAfter > Millis(0));
        REQUIRE(server.waiters.empty());
    }

    SECTION("a full queue of a class refuses only requests of that class")
    {
        context.queueLimit = 1;
        REQUIRE_FALSE(admit(admissionFor(1, now + Millis(9'000)), 1).has_value());
        const auto action = admit(admissionFor(2, now + Millis(9'000)), 2);
        REQUIRE(std::get<RefuseAdmission>(*action).code == ErrorCode::Overloaded);
        AdmissionRequest other = admissionFor(3, now + Millis(9'000));
        other.callerClass = CallerClassId("drivers");
        REQUIRE_FALSE(admit(other, 3).has_value());
    }

    SECTION("the higher priority is granted first, then the earlier deadline")
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
        AdmissionRequest late = admissionFor(1, now + Millis(20'000));
        AdmissionRequest early = admissionFor(1, now + Millis(10'000));
        AdmissionRequest urgent = admissionFor(1, now + Millis(30'000));
        urgent.priority = 1;
        REQUIRE_FALSE(admit(late, 1).has_value());
        REQUIRE_FALSE(admit(early, 2).has_value());
        REQUIRE_FALSE(admit(urgent, 3).has_value());
        std::vector<std::uint64_t> order;
        for (int i = 0; i < 3; ++i) {
            const auto issued = only<IssueGrant>(schedule(server, budget, context, now));
            REQUIRE(issued.size() == 1);
            order.push_back(issued[0].ticket);
            releaseGrant(server, issued[0].grant, now);
        }
        REQUIRE(order == std::vector<std::uint64_t>{3, 2, 1});
    }

    SECTION("classes receive grants in proportion to their weights")
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
            AdmissionRequest request = admissionFor(1, now + Millis(1'000'000));
            request.callerClass = CallerClassId(i % 2 == 0 ? "a" : "b");
            REQUIRE_FALSE(admit(request, i).has_value());
        }
        int grantsOfA = 0;
        for (int i = 0; i < 20; ++i) {
            const auto issued = only<IssueGrant>(schedule(server, budget, context, now));
            REQUIRE(issued.size() == 1);
            grantsOfA += issued[0].ticket % 2 == 0 ? 1 : 0;
            releaseGrant(server, issued[0].grant, now);
        }
        REQUIRE(grantsOfA >= 14);
        REQUIRE(grantsOfA <= 16);
    }

    SECTION("a suspected request runs without any other")
    {
        server.slots[0] = Slot{SlotState::Resident,
                               adapterOf(1),
                               hashOf(adapterOf(1)),
                               std::nullopt,
                               {},
                               Millis(0),
                               Millis(0),
                               0};
        AdmissionRequest suspect = admissionFor(1, now + Millis(9'000));
        suspect.alone = true;
        REQUIRE_FALSE(admit(suspect, 1).has_value());
        REQUIRE_FALSE(admit(admissionFor(1, now + Millis(9'500)), 2).has_value());
        const auto issued = only<IssueGrant>(schedule(server, budget, context, now));
        REQUIRE(issued.size() == 1);
        REQUIRE(issued[0].ticket == 1);
    }

    SECTION("a failed load backs off and redirects its waiters")
    {
        AdmissionRequest request = admissionFor(1, now + Millis(9'000));
        request.lastChoice = false;
        REQUIRE_FALSE(admit(request, 1).has_value());
        REQUIRE(only<LoadCommand>(schedule(server, budget, context, now)).size() == 1);
        finishLoadCommand(server, budget, adapterOf(1), LoadOutcome::Failed, now);
        const auto actions = schedule(server, budget, context, now);
        REQUIRE(only<RedirectAdmission>(actions).size() == 1);
        REQUIRE(only<LoadCommand>(actions).empty());
    }

    SECTION("an eviction candidate that the engine kept stays resident")
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
        REQUIRE_FALSE(admit(admissionFor(7, now + Millis(9'000)), 1).has_value());
        const auto commands = only<LoadCommand>(schedule(server, budget, context, now));
        REQUIRE(commands.size() == 1);
        finishLoadCommand(server, budget, adapterOf(7), LoadOutcome::EvictionCandidateRunning, now);
        REQUIRE(isResident(server, hashOf(*commands[0].evictionCandidate)));
    }

    SECTION("an adapter that the engine reports as running is not evicted")
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
        REQUIRE_FALSE(admit(admissionFor(7, now + Millis(9'000)), 1).has_value());
        REQUIRE(only<LoadCommand>(schedule(server, budget, context, now)).empty());
    }

    SECTION("a restarted engine has no resident adapters")
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

    SECTION("waiters for an unreachable engine are redirected or refused")
    {
        REQUIRE_FALSE(admit(admissionFor(1, now + Millis(9'000)), 1).has_value());
        AdmissionRequest other = admissionFor(1, now + Millis(9'000));
        other.lastChoice = false;
        REQUIRE_FALSE(admit(other, 2).has_value());
        context.reachable = false;
        const auto actions = schedule(server, budget, context, now);
        REQUIRE(only<RefuseAdmission>(actions).size() == 1);
        REQUIRE(only<RefuseAdmission>(actions)[0].code == ErrorCode::NoBackendServer);
        REQUIRE(only<RedirectAdmission>(actions).size() == 1);
        REQUIRE(only<LoadCommand>(actions).empty());
        REQUIRE(std::holds_alternative<RefuseAdmission>(
                *admit(admissionFor(1, now + Millis(9'000)), 3)));
    }

    SECTION("a load across the link waits for the link budget, and other requests are redirected")
    {
        LinkBudget link;
        setLinkShare(link, 1'000, 1, now);
        context.link = &link;
        context.loadBytes = 1'500;
        AdmissionRequest request = admissionFor(1, now + Millis(9'000));
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

TEST_CASE("load tokens of the weight store")
{
    LoadBudget lender = budgetOf(1, Millis(400));
    LoadBudget borrower;
    const Millis now(1'000);

    SECTION("a lent token is not used before it is returned or its lease has ended")
    {
        queueLoanRequest(lender, {7, now, now, now + Millis(50)});
        const auto replies = processLoanRequests(lender, true, now);
        REQUIRE(replies.size() == 1);
        REQUIRE(replies[0].loan != 0);
        REQUIRE_FALSE(acquireToken(lender, now, now + Millis(600)).has_value());
        addBorrowed(borrower, replies[0].loan, 3, now);
        const auto permit = acquireToken(borrower, now, now + Millis(10));
        REQUIRE(permit.has_value());
        REQUIRE(permit->deadline <= now + maxLoadDuration);

        SECTION("a return after a load frees the token after its interval")
        {
            releasePermit(borrower, *permit, now + Millis(260));
            REQUIRE(borrower.returns.size() == 1);
            REQUIRE(borrower.returns[0].used);
            returnLoan(lender, replies[0].loan, borrower.returns[0].started, now + Millis(270));
            REQUIRE_FALSE(acquireToken(lender, now, now + Millis(409)).has_value());
            REQUIRE(acquireToken(lender, now, now + Millis(410)).has_value());
        }
        SECTION("a return of a loan other than the latest has no effect")
        {
            const LoadBudget before = lender;
            returnLoan(lender, replies[0].loan + 1, std::nullopt, now + Millis(10));
            REQUIRE(lender == before);
        }
    }

    SECTION("a borrowed token that was not used in its start window is returned")
    {
        addBorrowed(borrower, 1, 3, now);
        REQUIRE_FALSE(acquireToken(borrower, now, now + borrowedTokenStartWindow).has_value());
        REQUIRE(borrower.returns.size() == 1);
        REQUIRE_FALSE(borrower.returns[0].used);
    }

    SECTION("an older request of a peer has priority over the holder's own")
    {
        queueLoanRequest(lender, {7, now - Millis(500), now, now + Millis(50)});
        REQUIRE_FALSE(acquireToken(lender, now, now).has_value());
        REQUIRE(acquireToken(lender, now - Millis(900), now).has_value());
    }

    SECTION("no token is lent while its ownership is unconfirmed")
    {
        queueLoanRequest(lender, {7, now, now, now + Millis(50)});
        REQUIRE(processLoanRequests(lender, false, now).empty());
        const auto refused = processLoanRequests(lender, false, now + Millis(50));
        REQUIRE(refused.size() == 1);
        REQUIRE(refused[0].loan == 0);
    }

    SECTION("a token that returns from another holder waits for the longest load of that holder")
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
    RoutingState state;
    state.loads.resize(6);
    RouteCosts costs;
    const Millis now(100'000);
    const std::uint64_t adapter = hashOf(adapterOf(1));

    SECTION("a cold adapter is routed to the region of the weight store")
    {
        const Candidates candidates = chooseCandidates(group, state, costs, adapter, now);
        REQUIRE(candidates.count == maxCandidates);
        REQUIRE(candidates.list[0].node >= 4);
        REQUIRE(candidates.list[1].node >= 4);
    }

    SECTION("demand that justifies the copy routes the adapter to the own region")
    {
        for (int i = 0; i < 4; ++i) {
            recordRequest(state, costs, adapter, now);
        }
        REQUIRE(chooseCandidates(group, state, costs, adapter, now).list[0].node < 4);
    }

    SECTION("resident replicas come first, that of the own data centre before that across the link")
    {
        recordGrant(state, costs, adapter, 5, Millis(0), now);
        recordGrant(state, costs, adapter, 1, Millis(0), now);
        const Candidates candidates = chooseCandidates(group, state, costs, adapter, now);
        REQUIRE(candidates.list[0] == Candidate{1, NodeDistance::DataCentre, true});
        REQUIRE(candidates.list[1] == Candidate{5, NodeDistance::AcrossLink, true});

        SECTION("a queue that costs more than the link reverses the order")
        {
            recordExpectedWait(state, 1, Millis(500), now);
            REQUIRE(chooseCandidates(group, state, costs, adapter, now).list[0].node == 5);
        }
        SECTION("enough cached prefixes across the link reverse the order")
        {
            const std::vector<std::uint64_t> prefixes{11, 12, 13, 14};
            for (const std::uint64_t prefix : prefixes) {
                recordPrefix(state.prefixes, prefix, 5, now);
            }
            const Candidates withPrefixes
                    = chooseCandidates(group, state, costs, adapter, now, prefixes);
            REQUIRE(withPrefixes.list[0].node == 5);
        }
        SECTION("a node that failed is not a candidate for a while")
        {
            state.loads[1].avoidUntil = now + Millis(1);
            REQUIRE(chooseCandidates(group, state, costs, adapter, now).list[0].node == 5);
        }
    }

    SECTION("replicas are added after a long wait and dropped with hysteresis")
    {
        recordGrant(state, costs, adapter, 1, Millis(150), now);
        REQUIRE(state.replicas.at(adapter).wantedReplicas == 2);
        recordGrant(state, costs, adapter, 2, Millis(0), now + Millis(100));
        REQUIRE(state.replicas.at(adapter).count == 2);
        recordGrant(state, costs, adapter, 2, Millis(0), now + costs.dropReplicaAfter);
        REQUIRE(state.replicas.at(adapter).wantedReplicas == 2);
        recordGrant(state, costs, adapter, 2, Millis(0), now + costs.dropReplicaAfter + Millis(1));
        REQUIRE(state.replicas.at(adapter).wantedReplicas == 1);
    }

    SECTION("the redirecting server with the shortest wait is queried again last")
    {
        CandidateProgress progress;
        progress.candidates = chooseCandidates(group, state, costs, adapter, now);
        std::uint32_t first = 0;
        for (std::size_t i = 0; i < maxCandidates; ++i) {
            const auto query = nextCandidate(progress, group);
            REQUIRE(query.has_value());
            REQUIRE_FALSE(query->lastChoice);
            first = i == 0 ? query->candidate.node : first;
            recordRedirect(progress, query->candidate.node, Millis(static_cast<std::int64_t>(i)));
        }
        const auto last = nextCandidate(progress, group);
        REQUIRE(last->lastChoice);
        REQUIRE(last->candidate.node == first);
        REQUIRE_FALSE(nextCandidate(progress, group).has_value());
    }

    SECTION("the routing state follows the nodes")
    {
        recordGrant(state, costs, adapter, 5, Millis(0), now);
        RouteGroup smaller = group;
        smaller.nodes.erase(smaller.nodes.begin());
        const RoutingState moved = remapRoutingState(group, state, smaller);
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

    SECTION("a removal is applied and a repeated event is ignored")
    {
        applyCacheEvents(index, 2, {{6, 12, true}, {7, 12, false}}, now);
        REQUIRE(prefixMatch(index, {11, 12}, 2, now) == 1);
    }
    SECTION("a gap in the event numbers removes all entries of the node")
    {
        applyCacheEvents(index, 2, {{9, 20, true}}, now);
        REQUIRE(prefixMatch(index, {11}, 2, now) == 0);
        REQUIRE(prefixMatch(index, {20}, 2, now) == 1);
    }
    SECTION("hints expire after their lifetime")
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

TEST_CASE("the simulated fleet stays within the limits of the store and evicts nothing that runs")
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
