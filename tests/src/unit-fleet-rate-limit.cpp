#include <balsamport/policy/fleet_rate_limit.h>
#include <rate_limit_world.h>

#include <catch2/catch.hpp>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

PermitGroup groupOf(std::vector<PermitMember> members, Millis changedAt = Millis(0))
{
    return PermitGroup{std::move(members), changedAt};
}

/// A fleet whose callers ask for three times what the limit allows, and more.
RateLimitWorld::Options optionsFor(std::size_t daemons, double limit)
{
    RateLimitWorld::Options options;
    options.daemons = daemons;
    options.requestsPerSecond = 40.0 + limit * 3;
    return options;
}

/// Lets the server state a limit from 2 s on, and plays until 3 s.
void beginLimit(RateLimitWorld &world, double limit)
{
    world.run(Millis(2'000));
    world.setLimit(limit);
    world.run(Millis(3'000));
}

/// @return the received requests in a span divided by what the limit allows
double use(const RateLimitWorld &world, double limit, Millis from, Millis to)
{
    const double seconds = static_cast<double>((to - from).count()) / 1000.0;
    return static_cast<double>(world.oracle.countBetween(from, to)) / (limit * seconds);
}

constexpr Millis limitKnownAt{3'000};
constexpr double minUse = 0.9;

} // namespace

// Guards against a server with a limit that gets a share of it from each daemon, or the whole limit
// from several daemons that take themselves for the only issuer.
TEST_CASE("the permits of a server are issued by one daemon")
{
    const VmId a("a");
    const VmId b("b");
    const VmId c("c");
    const PermitGroup group = groupOf({{a, true}, {b, true}, {c, true}});
    const VmId issuer = *permitIssuer(group, "s1");
    PermitBucket bucket;

    SECTION("at the rate of the limit, with a burst of half a second at most")
    {
        constexpr double perSecond = 10;
        const Millis start(10'000);
        std::size_t issued = 0;
        REQUIRE(decidePermit(bucket, group, issuer, "s1", perSecond, start).kind
                == PermitDecision::Kind::Exhausted);
        for (Millis now = start; now <= start + Millis(10'000); now += Millis(1)) {
            issued += decidePermit(bucket, group, issuer, "s1", perSecond, now).kind
                            == PermitDecision::Kind::Issued
                    ? 1
                    : 0;
        }
        REQUIRE(issued == 100);
        issued = 0;
        while (decidePermit(bucket, group, issuer, "s1", perSecond, start + Millis(60'000)).kind
               == PermitDecision::Kind::Issued) {
            ++issued;
        }
        REQUIRE(issued == 5);
    }

    SECTION("the others issue none")
    {
        for (const VmId &vm : {a, b, c}) {
            const PermitDecision decision
                    = decidePermit(bucket, group, vm, "s1", 10, Millis(10'000));
            REQUIRE((decision.kind == PermitDecision::Kind::NotIssuer) == (vm != issuer));
        }
    }

    SECTION("a daemon that becomes the issuer waits until its predecessor must know, and then "
            "starts without permits")
    {
        PermitGroup changing = group;
        const Millis change(20'000);
        std::vector<PermitMember> members = group.members;
        std::find_if(members.begin(), members.end(),
                     [&](const PermitMember &member) { return member.vm == issuer; })
                ->alive
                = false;
        updateMembers(changing, members, change);
        const VmId successor = *permitIssuer(changing, "s1");
        REQUIRE(successor != issuer);
        const PermitDecision early
                = decidePermit(bucket, changing, successor, "s1", 30, change + Millis(100));
        REQUIRE(early.kind == PermitDecision::Kind::Exhausted);
        REQUIRE(early.retryAfter >= permitHandover - Millis(100));
        REQUIRE(decidePermit(bucket, changing, successor, "s1", 30, change + permitHandover).kind
                == PermitDecision::Kind::Exhausted);
        REQUIRE(decidePermit(bucket, changing, successor, "s1", 30,
                             change + permitHandover + Millis(60))
                        .kind
                == PermitDecision::Kind::Issued);

        SECTION("and uses the visible part of the limit while the other one is only silent")
        {
            REQUIRE(visibleShare(changing) == Approx(2.0 / 3.0));
            updateMembers(changing, {{successor, true}}, change + Millis(20'000));
            REQUIRE(visibleShare(changing) == Approx(1.0));
        }
    }

    SECTION("the removal of a daemon that announced its stop is no change to wait for")
    {
        PermitGroup changing = group;
        updateMembers(changing, {{a, true}, {b, true}}, Millis(30'000));
        REQUIRE(changing.changedAt == group.changedAt);
        updateMembers(changing, group.members, Millis(40'000));
        REQUIRE(changing.changedAt == Millis(40'000));
    }

    SECTION("a limit of 0 leaves one request in five seconds, which finds out when it ends")
    {
        REQUIRE(permitRate(0, 1) == Approx(0.2));
        REQUIRE(permitRate(0.1, 0.5) == Approx(0.1));
        REQUIRE(permitRate(3.5, 1) == Approx(3.5));
    }

    SECTION("nobody issues permits for a group in which nobody is alive")
    {
        const PermitGroup silent = groupOf({{a, false}, {b, false}});
        REQUIRE_FALSE(permitIssuer(silent, "s1"));
        REQUIRE(decidePermit(bucket, silent, c, "s1", 10, Millis(1'000)).kind
                == PermitDecision::Kind::NotIssuer);
        REQUIRE(visibleShare(PermitGroup()) == 0);
    }

    SECTION("the time of a permit counts those that are taken before")
    {
        startIssuing(bucket, Millis(1'000));
        REQUIRE(permitAvailableAt(bucket, 2, 0) == Millis(1'500));
        REQUIRE(permitAvailableAt(bucket, 2, 3) == Millis(3'000));
        REQUIRE_FALSE(permitAvailableAt(bucket, 0, 0));
        fillPermits(bucket, 2, Millis(1'500));
        REQUIRE(permitAvailableAt(bucket, 2, 0) == Millis(1'500));
    }
}

// Guards against a fleet that sends a server more than it states to take in any 4 s, or much less.
TEST_CASE("a fleet keeps the rate limit of a server and uses it")
{
    const std::size_t daemons
            = GENERATE(std::size_t{2}, std::size_t{8}, std::size_t{74}, std::size_t{195});
    const double limit = GENERATE(1.3, 8.0, 60.0);
    CAPTURE(daemons, limit);

    SECTION("while nothing else happens")
    {
        RateLimitWorld world(optionsFor(daemons, limit));
        beginLimit(world, limit);
        REQUIRE(world.allKnowLimit());
        world.run(Millis(33'000));
        REQUIRE(world.oracle.worstExcess(limitKnownAt) <= 0);
        REQUIRE(use(world, limit, limitKnownAt, Millis(33'000)) >= minUse);

        SECTION("and is free as soon as it is lifted")
        {
            world.setLimit(-1);
            world.run(Millis(35'000) + Millis(static_cast<std::int64_t>(2'000 / limit)));
            REQUIRE(world.allKnowLimit());
        }
    }

    SECTION("a limit that rises, falls, falls to 0 and rises again")
    {
        RateLimitWorld world(optionsFor(daemons, limit));
        beginLimit(world, limit);
        Millis at = limitKnownAt;
        for (const double next : {limit * 3, limit / 2, 0.0, limit}) {
            at += Millis(9'000);
            world.run(at);
            world.setLimit(next);
        }
        world.run(at + Millis(20'000));
        REQUIRE(world.oracle.worstExcess(limitKnownAt) <= 0);
        REQUIRE(use(world, limit, at + Millis(8'000), at + Millis(20'000)) >= 0.8);
    }

    SECTION("bursts at single daemons")
    {
        RateLimitWorld world(optionsFor(daemons, limit));
        beginLimit(world, limit);
        for (int i = 0; i < 30; ++i) {
            world.burst(static_cast<std::size_t>(i) % daemons, 300);
            world.run(world.now + Millis(700));
        }
        REQUIRE(world.oracle.worstExcess(limitKnownAt) <= 0);
    }

    SECTION("the issuer is killed and started again, three times")
    {
        RateLimitWorld world(optionsFor(daemons, limit));
        beginLimit(world, limit);
        for (int i = 0; i < 3; ++i) {
            const std::size_t issuer = world.issuer();
            world.kill(issuer);
            world.run(world.now + Millis(i == 1 ? 800 : 6'000));
            world.start(issuer);
            world.run(world.now + Millis(6'000));
        }
        REQUIRE(world.oracle.worstExcess(limitKnownAt) <= 0);
        REQUIRE(use(world, limit, world.now - Millis(2'000), world.now) > 0);
    }

    SECTION("the issuer freezes and wakes")
    {
        RateLimitWorld world(optionsFor(daemons, limit));
        beginLimit(world, limit);
        for (const int frozenMillis : {1'500, 4'000, 15'000}) {
            const std::size_t issuer = world.issuer();
            world.freeze(issuer);
            world.run(world.now + Millis(frozenMillis));
            world.thaw(issuer);
            world.run(world.now + Millis(8'000));
        }
        REQUIRE(world.oracle.worstExcess(limitKnownAt) <= 0);
    }

    SECTION("the others hear nothing of the issuer for a while, but it hears them")
    {
        RateLimitWorld world(optionsFor(daemons, limit));
        beginLimit(world, limit);
        const std::size_t issuer = world.issuer();
        world.mute(issuer, true);
        for (const Millis end = world.now + Millis(6'000); world.now < end;) {
            world.burst(issuer, 1);
            world.run(world.now + Millis(2));
        }
        world.mute(issuer, false);
        world.run(world.now + Millis(6'000));
        REQUIRE(world.oracle.worstExcess(limitKnownAt) <= 0);
    }

    SECTION("a part of the daemons is cut off from the others, but not from the server")
    {
        RateLimitWorld world(optionsFor(daemons, limit));
        beginLimit(world, limit);
        const std::size_t issuer = world.issuer();
        std::set<std::size_t> side;
        for (std::size_t i = 0; i < daemons / 2; ++i) {
            side.insert((issuer + i * 3) % daemons);
        }
        world.cut(side);
        world.run(world.now + Millis(15'000));
        world.heal();
        world.run(world.now + Millis(8'000));
        REQUIRE(world.oracle.worstExcess(limitKnownAt) <= 0);
        REQUIRE(use(world, limit, world.now - Millis(5'000), world.now) >= 0.7);
    }
}

// Shows that the simulation finds the fault of the incident.
TEST_CASE("daemons that each apply the whole limit are found by the oracle")
{
    const std::size_t daemons
            = GENERATE(std::size_t{2}, std::size_t{8}, std::size_t{74}, std::size_t{195});
    RateLimitWorld::Options options;
    options.daemons = daemons;
    options.requestsPerSecond = 400;
    options.everyDaemonAlone = true;
    RateLimitWorld world(options);
    constexpr double limit = 8;
    world.setLimit(limit);
    world.run(Millis(20'000));
    REQUIRE(world.oracle.worstExcess(Millis(1'000)) > 0);
}
