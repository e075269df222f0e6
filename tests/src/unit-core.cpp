// Guards against keys that move between nodes without need, which would move the ownership of
// engines and the witnesses of claims, and against error descriptions without location or number.

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>
#include <balsamport/core/rendezvous.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace balsamport;

TEST_CASE("types of the core")
{
    SECTION("times in milliseconds add up, and the monotonic clock does not go back")
    {
        REQUIRE(Millis(2) + Millis(3) == Millis(5));
        REQUIRE(monotonicNow() <= monotonicNow());

        SECTION("the wall clock counts from 1970")
        {
            REQUIRE(wallNow() > Millis(1'600'000'000'000));
        }
    }

    SECTION("an adapter version is written as base/adapter@version")
    {
        const AdapterRef ref{BaseModelId("citrus-8b"), AdapterId("burn-plan"), AdapterVersion(3)};
        REQUIRE(ref.str() == "citrus-8b/burn-plan@3");

        SECTION("and has another hash than the next version")
        {
            const AdapterRef other{ref.base, ref.adapter, AdapterVersion(4)};
            REQUIRE(hashOf(ref) != hashOf(other));
            REQUIRE(ref < other);
        }
    }

    SECTION("the description of an error has its location, type and number")
    {
        const Error error{ErrorCode::ConfigInvalidValue, "\"x\" is not a number",
                          SourceLocation{"10-base.ini", 7, "limits.body"}};
        REQUIRE(describe(error)
                == "10-base.ini:7: limits.body: \"x\" is not a number (config_invalid_value, 404)");
    }
}

TEST_CASE("rendezvous hashing")
{
    std::vector<VmId> vms;
    for (int i = 0; i < 8; ++i) {
        vms.emplace_back("vm" + std::to_string(i));
    }

    SECTION("distributes keys evenly over nodes")
    {
        std::map<VmId, int> counts;
        for (int i = 0; i < 8000; ++i) {
            ++counts[*rendezvousFirst("key" + std::to_string(i), vms)];
        }
        for (const auto &[vm, count] : counts) {
            INFO(vm);
            REQUIRE(count > 850);
            REQUIRE(count < 1150);
        }

        SECTION("and reassigns only the keys of a removed node")
        {
            std::vector<VmId> remaining(vms.begin(), vms.end() - 1);
            for (int i = 0; i < 1000; ++i) {
                const std::string key = "key" + std::to_string(i);
                const VmId first = *rendezvousFirst(key, vms);
                if (first != vms.back()) {
                    REQUIRE(*rendezvousFirst(key, remaining) == first);
                }
                REQUIRE(rendezvousRank(key, vms).front() == first);
            }
        }
    }

    SECTION("returns nothing without nodes")
    {
        REQUIRE_FALSE(rendezvousFirst("key", std::vector<VmId>{}).has_value());
    }
}
