#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>
#include <balsamport/core/rendezvous.h>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace balsamport;

TEST_CASE("the vocabulary of the core")
{
    SECTION("a clock in milliseconds")
    {
        REQUIRE(Millis(2) + Millis(3) == Millis(5));
        REQUIRE(monotonicNow() <= monotonicNow());

        SECTION("the wall clock counts from 1970")
        {
            REQUIRE(wallNow() > Millis(1'600'000'000'000));
        }
    }

    SECTION("an adapter version")
    {
        const AdapterRef ref{BaseModelId("citrus-8b"), AdapterId("burn-plan"), AdapterVersion(3)};
        REQUIRE(ref.str() == "citrus-8b/burn-plan@3");

        SECTION("hashes apart from another version")
        {
            const AdapterRef other{ref.base, ref.adapter, AdapterVersion(4)};
            REQUIRE(hashOf(ref) != hashOf(other));
            REQUIRE(ref < other);
        }
    }

    SECTION("a failure names its kind, number and place")
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

    SECTION("is even over the nodes")
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

        SECTION("and moves only the keys of a node that goes")
        {
            std::vector<VmId> fewer(vms.begin(), vms.end() - 1);
            for (int i = 0; i < 1000; ++i) {
                const std::string key = "key" + std::to_string(i);
                const VmId before = *rendezvousFirst(key, vms);
                if (before != vms.back()) {
                    REQUIRE(*rendezvousFirst(key, fewer) == before);
                }
                REQUIRE(rendezvousRank(key, vms).front() == before);
            }
        }
    }

    SECTION("gives nothing for no nodes")
    {
        REQUIRE_FALSE(rendezvousFirst("key", std::vector<VmId>{}).has_value());
    }
}
