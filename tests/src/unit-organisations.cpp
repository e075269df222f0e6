#include <balsamport/edge/organisations.h>

#include <catch2/catch.hpp>

#include <string>

using namespace balsamport;

TEST_CASE("organisations are known by their keys")
{
    Organisations known;
    addOrganisation(known, Organisation{OrganisationId("growers"), 0}, {"key-a", "key-b", ""});
    addOrganisation(known, Organisation{OrganisationId("hirers"), std::nullopt}, {"key-c"});

    SECTION("each key names its organisation")
    {
        REQUIRE(findOrganisation(known, "key-a")->id == OrganisationId("growers"));
        REQUIRE(findOrganisation(known, "key-b")->id == OrganisationId("growers"));
        REQUIRE(findOrganisation(known, "key-c")->id == OrganisationId("hirers"));
    }

    SECTION("a missing or unknown key names none, nor does a part of one or more than one")
    {
        for (const char *key : {"", "key", "key-", "key-aa", "KEY-A", " key-a", "key-a "}) {
            REQUIRE(findOrganisation(known, key) == nullptr);
        }
        REQUIRE(findOrganisation(known, std::string_view("key-a\0", 6)) == nullptr);
    }

    SECTION("a key that a newer configuration does not list names none")
    {
        Organisations newer;
        addOrganisation(newer, Organisation{OrganisationId("growers"), 0}, {"key-b"});
        REQUIRE(findOrganisation(newer, "key-a") == nullptr);
        REQUIRE(findOrganisation(newer, "key-b") != nullptr);
    }

    SECTION("a key of two organisations stays with the first")
    {
        addOrganisation(known, Organisation{OrganisationId("late"), std::nullopt}, {"key-a"});
        REQUIRE(findOrganisation(known, "key-a")->id == OrganisationId("growers"));
    }

    SECTION("no key is kept as text")
    {
        for (const auto &[hash, bucket] : known.keys) {
            for (const Organisations::KeyEntry &held : bucket) {
                const std::string bytes(held.digest.begin(), held.digest.end());
                REQUIRE(bytes.find("key") == std::string::npos);
            }
        }
    }
}
