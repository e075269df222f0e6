#include <balsamport/edge/organisations.h>

#include <catch2/catch.hpp>

#include <string>

using namespace balsamport;

TEST_CASE("organisations are found by their keys")
{
    Organisations organisations;
    addOrganisation(organisations, Organisation{OrganisationId("growers"), 0},
                    {"key-a", "key-b", ""});
    addOrganisation(organisations, Organisation{OrganisationId("hirers"), std::nullopt}, {"key-c"});

    SECTION("each key yields its organisation")
    {
        REQUIRE(findOrganisation(organisations, "key-a")->id == OrganisationId("growers"));
        REQUIRE(findOrganisation(organisations, "key-b")->id == OrganisationId("growers"));
        REQUIRE(findOrganisation(organisations, "key-c")->id == OrganisationId("hirers"));
    }

    SECTION("an empty, unknown, partial or extended key yields none")
    {
        for (const char *key : {"", "key", "key-", "key-aa", "KEY-A", " key-a", "key-a "}) {
            REQUIRE(findOrganisation(organisations, key) == nullptr);
        }
        REQUIRE(findOrganisation(organisations, std::string_view("key-a\0", 6)) == nullptr);
    }

    SECTION("a key that a newer configuration no longer lists yields none")
    {
        Organisations newer;
        addOrganisation(newer, Organisation{OrganisationId("growers"), 0}, {"key-b"});
        REQUIRE(findOrganisation(newer, "key-a") == nullptr);
        REQUIRE(findOrganisation(newer, "key-b") != nullptr);
    }

    SECTION("a key of two organisations yields the first one")
    {
        addOrganisation(organisations, Organisation{OrganisationId("late"), std::nullopt},
                        {"key-a"});
        REQUIRE(findOrganisation(organisations, "key-a")->id == OrganisationId("growers"));
    }

    SECTION("no key is stored as text")
    {
        for (const auto &[hash, bucket] : organisations.keys) {
            for (const Organisations::KeyEntry &entry : bucket) {
                const std::string bytes(entry.digest.begin(), entry.digest.end());
                REQUIRE(bytes.find("key") == std::string::npos);
            }
        }
    }
}
