#include <balsamport/edge/peers.h>
#include <balsamport/edge/shared_retry_budget.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace balsamport;

namespace {

constexpr std::size_t daemons = 64;

/// Counts the requests and the repeats of all daemons, apart from the module, as the users' rules
/// do: in any window, repeats are bounded by the requests of that window, of the one before, or of
/// the one half a window before.
class BudgetOracle
{
public:
    explicit BudgetOracle(RetryBudgetLimits budgetLimits)
        : limits(budgetLimits)
    { }

    void recordRequest(Millis at) { this->requests.push_back(at); }
    void recordRepeat(Millis at) { this->repeats.push_back(at); }

    /// @return the repeats by what is allowed, in the window in which they are the most
    [[nodiscard]] double worstPart() const
    {
        double worst = 0;
        constexpr Millis step{50};
        const Millis window = this->limits.window;
        for (Millis from = Millis(0) - window;
             !this->repeats.empty() && from <= this->repeats.back(); from += step) {
            const std::size_t counted
                    = std::max({countIn(this->requests, from, window),
                                countIn(this->requests, from - window, window),
                                countIn(this->requests, from - window / 2, window)});
            const double allowed
                    = this->limits.ratio * static_cast<double>(counted) + this->limits.slack;
            worst = std::max(worst,
                             static_cast<double>(countIn(this->repeats, from, window)) / allowed);
        }
        return worst;
    }

private:
    static std::size_t countIn(const std::vector<Millis> &times, Millis from, Millis length)
    {
        return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), from + length)
                                        - std::lower_bound(times.begin(), times.end(), from));
    }

    RetryBudgetLimits limits;
    std::vector<Millis> requests; ///< In order.
    std::vector<Millis> repeats; ///< In order.
};

} // namespace

// Guards against counters that cover less than a window: two bursts of failures then get the whole
// budget each, within one window.
TEST_CASE("bursts of retries stay within the budget in every window")
{
    const double perSecond = GENERATE(60.0, 276.0, 788.0);
    const RetryBudgetLimits limits{0.2, 168, Millis(10'000)};
    BudgetOracle oracle(limits);
    std::vector<SharedRetryBudget> budgets(daemons);
    constexpr Millis firstWave{21'300};
    constexpr Millis waveInterval{9'400};
    constexpr Millis waveLength{700};
    constexpr Millis end{40'000};
    constexpr int wantedRetries = 3;
    std::size_t sent = 0;
    for (Millis now{0}; now < end; now += Millis(1)) {
        const bool fails = (now >= firstWave && now < firstWave + waveLength)
                || (now >= firstWave + waveInterval && now < firstWave + waveInterval + waveLength);
        for (; static_cast<double>(sent) < static_cast<double>(now.count()) * perSecond / 1'000;
             ++sent) {
            SharedRetryBudget &budget = budgets[sent % daemons];
            budget.recordRequest(limits, now);
            oracle.recordRequest(now);
            for (int retry = 0; fails && retry < wantedRetries; ++retry) {
                if (budget.tryTake(limits, daemons, now)) {
                    oracle.recordRepeat(now);
                }
            }
        }
    }
    CAPTURE(perSecond);
    REQUIRE(oracle.worstPart() <= 1.0);
}

namespace {

constexpr std::size_t dataCentres = 6;
constexpr Millis gossipPeriod{500};

DataCentreId dataCentreOf(std::size_t daemon)
{
    return DataCentreId("dc" + std::to_string(daemon % dataCentres));
}

VmId vmOf(std::size_t daemon)
{
    return VmId("vm" + std::to_string(daemon));
}

/// Daemons that exchange gossip as far as links allow, and whose requests fail wherever the test
/// says so. Each of them uses its retry budget as the edge daemon does.
class BudgetFleet
{
public:
    BudgetFleet(std::size_t count, double requestsPerSecond)
        : daemons(count)
        , oracle(limits)
        , perSecond(requestsPerSecond)
    {
        for (std::size_t i = 0; i < dataCentres; ++i) {
            this->allDataCentres.insert(dataCentreOf(i));
        }
        for (std::size_t i = 0; i < count; ++i) {
            this->start(i);
        }
    }

    void start(std::size_t index)
    {
        Daemon &daemon = this->daemons[index];
        daemon = Daemon{};
        daemon.runs = true;
        daemon.incarnation = ++this->incarnations;
        daemon.startedAt = this->now;
        daemon.table.self = vmOf(index);
        daemon.table.dataCentre = dataCentreOf(index);
        daemon.budget = SharedRetryBudget(this->now);
    }

    void stop(std::size_t index) { this->daemons[index].runs = false; }
    void drain(std::size_t index) { this->daemons[index].draining = true; }

    /// @param reaches whether messages pass between two daemons
    void run(Millis duration, bool sendsFail,
             const std::function<bool(std::size_t, std::size_t)> &reaches)
    {
        constexpr int wantedRetries = 3;
        constexpr double millisPerSecond = 1'000;
        for (const Millis end = this->now + duration; this->now < end; this->now += Millis(1)) {
            if (this->now.count() % gossipPeriod.count() == 0) {
                this->exchangeGossip(reaches);
            }
            this->due += this->perSecond / millisPerSecond;
            for (; this->due >= 1; this->due -= 1) {
                Daemon &daemon = this->daemons[this->next++ % this->daemons.size()];
                if (!daemon.runs) {
                    continue;
                }
                daemon.budget.recordRequest(limits, this->now);
                this->oracle.recordRequest(this->now);
                for (int retry = 0; sendsFail && retry < wantedRetries; ++retry) {
                    const FleetEvidence evidence{true, this->allDataCentres, daemon.startedAt};
                    const std::size_t sharers
                            = budgetSharers(daemon.table, evidence, limits.window, this->now);
                    if (daemon.budget.tryTake(limits, sharers, this->now)) {
                        this->oracle.recordRepeat(this->now);
                    }
                }
            }
        }
    }

    [[nodiscard]] double worstPart() const { return this->oracle.worstPart(); }

    static bool all(std::size_t /*from*/, std::size_t /*to*/) { return true; }

private:
    struct Daemon
    {
        PeerTable table;
        SharedRetryBudget budget;
        Millis startedAt;
        std::uint64_t incarnation = 0;
        bool runs = false;
        bool draining = false;
    };

    void exchangeGossip(const std::function<bool(std::size_t, std::size_t)> &reaches)
    {
        for (std::size_t to = 0; to < this->daemons.size(); ++to) {
            Daemon &receiver = this->daemons[to];
            std::size_t alive = 0;
            for (std::size_t from = 0; receiver.runs && from < this->daemons.size(); ++from) {
                const Daemon &sender = this->daemons[from];
                if (from == to || !sender.runs || !reaches(from, to)) {
                    continue;
                }
                ++alive;
                PeerStatus status;
                status.vm = vmOf(from);
                status.dataCentre = dataCentreOf(from);
                status.incarnation = sender.incarnation;
                status.draining = sender.draining;
                status.knownMembers = static_cast<std::uint32_t>(sender.table.peers.size());
                updatePeer(receiver.table, status, this->now);
            }
            if (alive > 0) {
                const bool hasMajority = (alive + 1) * 2 > receiver.table.peers.size() + 1;
                removeSilentPeers(receiver.table, hasMajority, this->now);
            }
        }
    }

    static constexpr RetryBudgetLimits limits{0.2, 168, Millis(10'000)};
    std::vector<Daemon> daemons;
    BudgetOracle oracle;
    std::set<DataCentreId> allDataCentres;
    double perSecond;
    double due = 0;
    std::size_t next = 0;
    std::uint64_t incarnations = 0;
    Millis now{0};
};

constexpr Millis quiet{11'000};
constexpr Millis failing{12'000};

} // namespace

// Guards against shares of the slack that grow when daemons don't hear each other: together they
// then exceed what all may use.
TEST_CASE("daemons together stay within the retry budget, whatever they hear of each other")
{
    const double perSecond = GENERATE(60.0, 276.0, 788.0);
    BudgetFleet fleet(daemons, perSecond);
    fleet.run(quiet, false, BudgetFleet::all);
    CAPTURE(perSecond);

    SECTION("without cuts, most of the budget can be used")
    {
        fleet.run(failing, true, BudgetFleet::all);
        REQUIRE(fleet.worstPart() >= 0.5);
        REQUIRE(fleet.worstPart() <= 1.0);
    }

    SECTION("in a cut between all data centres")
    {
        fleet.run(failing, true, [](auto a, auto b) { return dataCentreOf(a) == dataCentreOf(b); });
        REQUIRE(fleet.worstPart() <= 1.0);
    }

    SECTION("with a part of them cut off from all others, until these have forgotten them")
    {
        constexpr std::size_t cutOff = 26;
        const auto reaches = [](auto a, auto b) { return a >= cutOff && b >= cutOff; };
        fleet.run(Millis(25'000), false, reaches);
        fleet.run(failing, true, reaches);
        REQUIRE(fleet.worstPart() <= 1.0);
    }

    SECTION("in two halves")
    {
        const auto reaches = [](auto a, auto b) { return a / 32 == b / 32; };
        fleet.run(Millis(25'000), false, reaches);
        fleet.run(failing, true, reaches);
        REQUIRE(fleet.worstPart() <= 1.0);
    }

    SECTION("with one of them alone for minutes")
    {
        const auto reaches = [](auto a, auto b) { return a != 0 && b != 0; };
        fleet.run(Millis(130'000), false, reaches);
        fleet.run(failing, true, reaches);
        REQUIRE(fleet.worstPart() <= 1.0);
    }

    SECTION("when all start again at once, with and without contact")
    {
        const bool contact = GENERATE(true, false);
        fleet.run(Millis(4'000), true, BudgetFleet::all);
        for (std::size_t i = 0; i < daemons; ++i) {
            fleet.start(i);
        }
        fleet.run(Millis(400), true, [](auto, auto) { return false; });
        fleet.run(failing, true, [contact](auto, auto) { return contact; });
        REQUIRE(fleet.worstPart() <= 1.0);
    }

    SECTION("when all start again within cuts between the data centres")
    {
        const auto reaches = [](auto a, auto b) { return dataCentreOf(a) == dataCentreOf(b); };
        for (std::size_t i = 0; i < daemons; ++i) {
            fleet.start(i);
        }
        fleet.run(failing, true, reaches);
        REQUIRE(fleet.worstPart() <= 1.0);
    }

    SECTION("when they start again in turn")
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            fleet.start(i);
            fleet.run(Millis(300), true, BudgetFleet::all);
        }
        REQUIRE(fleet.worstPart() <= 1.0);
    }

    SECTION("when daemons drain and others replace them")
    {
        constexpr std::size_t replaced = 20;
        for (std::size_t i = 0; i < replaced; ++i) {
            fleet.stop(i);
        }
        fleet.run(quiet, false, BudgetFleet::all);
        for (std::size_t i = 0; i < replaced; ++i) {
            fleet.start(i);
            fleet.drain(daemons - 1 - i);
            fleet.run(Millis(600), true, BudgetFleet::all);
            fleet.stop(daemons - 1 - i);
        }
        fleet.run(failing, true, BudgetFleet::all);
        REQUIRE(fleet.worstPart() <= 1.0);
    }
}

TEST_CASE("the daemons that share a budget")
{
    constexpr Millis window{10'000};
    constexpr Millis now{50'000};
    PeerTable table;
    table.self = VmId("vm0");
    table.dataCentre = DataCentreId("a");
    const FleetEvidence alone{false, {DataCentreId("a"), DataCentreId("b")}, Millis(0)};
    FleetEvidence seeded = alone;
    seeded.hasOtherSeeds = true;
    const auto receive = [&](const std::string &vm, const std::string &dataCentre, bool draining,
                             std::uint32_t knownMembers, Millis at) {
        PeerStatus status;
        status.vm = VmId(vm);
        status.dataCentre = DataCentreId(dataCentre);
        status.draining = draining;
        status.knownMembers = knownMembers;
        updatePeer(table, status, at);
    };

    SECTION("a daemon without other seeds is the only one")
    {
        REQUIRE(budgetSharers(table, alone, window, now) == 1);
    }
    SECTION("a daemon that has heard nobody doesn't know the fleet")
    {
        REQUIRE(budgetSharers(table, seeded, window, now) == 0);
        REQUIRE(budgetSharers(table, seeded, window, now + Millis(3'600'000)) == 0);
    }
    SECTION("one that has heard nobody of a data centre doesn't, either")
    {
        receive("vm1", "a", false, 0, now);
        REQUIRE(budgetSharers(table, seeded, window, now) == 0);
        SECTION("unless that data centre stays silent")
        {
            REQUIRE(budgetSharers(table, seeded, window, now + Millis(100'000)) == 2);
        }
    }
    SECTION("the members that peers know of count")
    {
        receive("vm1", "b", false, 63, now);
        REQUIRE(budgetSharers(table, seeded, window, now) == 64);
    }
    SECTION("a daemon that drained counts for one more window")
    {
        receive("vm1", "b", false, 0, now);
        receive("vm2", "a", true, 0, now);
        REQUIRE(budgetSharers(table, seeded, window, now + window) == 3);
        REQUIRE(budgetSharers(table, seeded, window, now + window + Millis(1)) == 2);
    }
}
