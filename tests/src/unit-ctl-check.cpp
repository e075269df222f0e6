#include <balsamport/config/validate.h>
#include <balsamport/tools/config_diff.h>
#include <balsamport/tools/status_table.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace balsamport;

namespace {

const std::string sourceDir = BALSAMPORT_SOURCE_DIR;

std::vector<SourceFile> exampleFolder(const std::string &name)
{
    return readConfigFolder(sourceDir + "/examples/" + name).value();
}

std::vector<SourceFile> withOverride(const std::string &name)
{
    std::vector<SourceFile> files = exampleFolder(name);
    const std::vector<SourceFile> more = exampleFolder(name + "/month-end");
    files.insert(files.end(), more.begin(), more.end());
    return files;
}

/// A mistake in a separate file, and the expected error.
struct Mistake
{
    std::string content;
    ErrorCode code;
    std::uint32_t line; ///< Line of the fault.
    std::string key; ///< A part of the error's key or detail.
    std::string detail; ///< A part of the detail: the value or the expected form.
};

const std::string engine = "data-centre = odense\nbase = citrus-8b\n";

/// Twenty typical mistakes of operators.
std::vector<Mistake> mistakes()
{
    using enum ErrorCode;
    return {
            {"[backend-servr x1]\naddress = 10.1.9.1:1\n", ConfigUnknownSection, 1, "backend-servr",
             "no such kind"},
            {"[route r1]\ntarget = burn-plan@3\npriorty = 1\n", ConfigUnknownKey, 3, "priorty",
             "expected one of"},
            {"[route r2]\ntarget = burn-plan@9\n", ConfigUnknownReference, 2, "target",
             "burn-plan@9"},
            {"[route r3]\ntarget = burnplan@3\n", ConfigUnknownReference, 2, "target",
             "burnplan@3"},
            {"[route r4]\ntarget = burn-plan\n", ConfigInvalidValue, 2, "target",
             "ADAPTER@VERSION"},
            {"[route r5]\npriority = 1\n", ConfigMissingKey, 1, "target", "either"},
            {"[route r6]\ntargets = burn-plan@3:0\n", ConfigInvalidValue, 2, "targets", "above 0"},
            {"[route r7]\ntarget = burn-plan@3\npriority = high\n", ConfigInvalidValue, 3,
             "priority", "\"high\""},
            {"[adapter a1]\nversions = 1\n", ConfigMissingKey, 1, "base", "must be given"},
            {"[adapter a2]\nbase = citrus-8b\nversions = 2,1\n", ConfigInvalidValue, 3, "versions",
             "\"2,1\""},
            {"[adapter a3]\nbase = citrus-8b\nversions = 1\nbytes = 50M\n", ConfigInvalidValue, 4,
             "bytes", "\"50M\""},
            {"[adapter-range kit-]\nfirst = 9\nlast = 3\nbase = citrus-8b\nversions = 1\n",
             ConfigInvalidValue, 3, "last", "\"3\""},
            {"[backend-server x2]\naddress = engine.example\n" + engine, ConfigInvalidValue, 2,
             "address", "IP:PORT"},
            {"[backend-server x3]\naddress = 10.1.1.10:8000\n" + engine, ConfigDuplicate, 2,
             "address", "no other backend server"},
            {"[backend-server x4]\naddress = 10.1.9.4:1\ndata-centre = nowhere\nbase = citrus-8b\n",
             ConfigUnknownReference, 3, "data-centre", "\"nowhere\""},
            {"[backend-server x5]\naddress = 10.1.9.5:1\n" + engine + "slots = 0\n",
             ConfigInvalidValue, 5, "slots", "from 1"},
            {"[backend-server x6]\naddress = 10.1.9.6:1\n" + engine + "leaving = yes\n",
             ConfigInvalidValue, 5, "leaving", "true or false"},
            {"[service s1]\nnon-repeatable = post /bookings\n", ConfigInvalidValue, 2,
             "non-repeatable", "METHOD"},
            {"[caller c1]\nclass = member\nkey-sha256 = secret\n", ConfigInvalidValue, 3,
             "key-sha256", "64 hexadecimal digits"},
            {"[limits]\nweight-percent = 120\n", ConfigInvalidValue, 2, "weight-percent",
             "from 0 to 100"},
    };
}

std::string fileName(std::size_t index)
{
    return "80-mistake-" + std::to_string(index) + ".ini";
}

bool names(const Error &error, const Mistake &mistake, const std::string &file)
{
    const std::string text = error.location.key + " " + error.detail;
    return error.code == mistake.code && error.location.file == file
            && error.location.line == mistake.line && text.find(mistake.key) != std::string::npos
            && text.find(mistake.detail) != std::string::npos;
}

} // namespace

// Operators correct a configuration from the printed errors. A check that stops at the first error,
// names the wrong line or reports consequences of another error would mislead them.

TEST_CASE("the example folders")
{
    for (const std::string name : {"frostlys", "torrent", "demo/config"}) {
        SECTION("are accepted: " + name)
        {
            REQUIRE(validateRevision(ConfigRevision(1), exampleFolder(name)).errors.empty());
        }
    }

    SECTION("are accepted with their month-end overrides, which change values")
    {
        for (const std::string name : {"frostlys", "torrent"}) {
            REQUIRE(validateRevision(ConfigRevision(1), withOverride(name)).errors.empty());
            REQUIRE_FALSE(
                    diffConfigs(mergeFiles(exampleFolder(name)), mergeFiles(withOverride(name)))
                            .empty());
        }
    }

    SECTION("have the sizes of today: 9 engines, 3 booking replicas, about 3,000 adapters")
    {
        for (const std::string name : {"frostlys", "torrent"}) {
            const auto accepted = validateRevision(ConfigRevision(1), exampleFolder(name));
            std::size_t engines = 0;
            for (const auto &[id, server] : accepted.snapshot->backendServers) {
                engines += server.kind == BackendServerKind::Engine ? 1 : 0;
            }
            REQUIRE(engines == 9);
            REQUIRE(accepted.snapshot->backendServers.size() == 12);
            std::uint32_t adapters = static_cast<std::uint32_t>(accepted.snapshot->adapters.size());
            for (const auto &[prefix, range] : accepted.snapshot->adapterRanges) {
                adapters += range.last - range.first + 1;
            }
            REQUIRE(adapters >= 2'900);
            REQUIRE(adapters <= 3'100);
        }
    }
}

TEST_CASE("a folder with twenty mistakes")
{
    std::vector<SourceFile> files = exampleFolder("frostlys");
    const std::vector<Mistake> injected = mistakes();
    REQUIRE(injected.size() == 20);
    for (std::size_t i = 0; i < injected.size(); ++i) {
        files.push_back(SourceFile{fileName(i), injected[i].content});
    }
    const RevisionValidation acceptance = validateRevision(ConfigRevision(1), files);

    SECTION("is refused")
    {
        REQUIRE_FALSE(acceptance.isAccepted());
    }

    SECTION("reports each of them in one run with file, line, key and value")
    {
        for (std::size_t i = 0; i < injected.size(); ++i) {
            INFO(injected[i].content);
            const bool named = std::any_of(
                    acceptance.errors.begin(), acceptance.errors.end(),
                    [&](const Error &error) { return names(error, injected[i], fileName(i)); });
            CHECK(named);
        }
    }

    SECTION("reports no other errors")
    {
        for (const Error &error : acceptance.errors) {
            INFO(describe(error));
            CHECK(error.location.file.starts_with("80-mistake-"));
        }
        CHECK(acceptance.errors.size() == injected.size());
    }
}

TEST_CASE("a file with several errors of syntax and of content")
{
    std::vector<SourceFile> files = exampleFolder("frostlys");
    files.push_back(SourceFile{"80-mistakes.ini",
                               "[route a]\n"
                               "target burn-plan@3\n"
                               "target = burn-plan@3\n"
                               "priority = high\n"
                               "priority = 1\n"
                               "= 5\n"
                               "[limits]\n"
                               "weight-percent = 120\n"});
    const RevisionValidation acceptance = validateRevision(ConfigRevision(1), files);
    std::vector<std::uint32_t> lines;
    for (const Error &error : acceptance.errors) {
        REQUIRE(error.location.file == "80-mistakes.ini");
        lines.push_back(error.location.line);
    }

    SECTION("reports all of them with their lines")
    {
        REQUIRE(lines == std::vector<std::uint32_t>{2, 4, 5, 6, 8});
    }
}

TEST_CASE("a file with a broken section line")
{
    std::vector<SourceFile> files = exampleFolder("frostlys");
    files.push_back(SourceFile{"80-mistakes.ini",
                               "[limits]\nweight-percent = 10\n"
                               "[route a\ntarget = burn-plan@3\n"});

    SECTION("reports only that line, and not the keys after it")
    {
        const RevisionValidation acceptance = validateRevision(ConfigRevision(1), files);
        REQUIRE(acceptance.errors.size() == 1);
        REQUIRE(acceptance.errors.front().location.line == 3);
        REQUIRE(acceptance.errors.front().code == ErrorCode::ConfigSyntax);
    }
}

TEST_CASE("comparing two folders")
{
    const MergedConfig before = mergeFiles({{"1.ini",
                                             "[route a]\ntarget = x@1\npriority = 1\n"
                                             "[service s]\ntimeout-ms = 5\n"}});

    SECTION("finds no changes where the same values are in other files")
    {
        const MergedConfig after = mergeFiles({{"1.ini", "[service s]\ntimeout-ms = 5\n"},
                                               {"2.ini", "[route a]\npriority = 1\n"},
                                               {"3.ini", "[route a]\ntarget = x@1\n"}});
        REQUIRE(diffConfigs(before, after).empty());
    }

    SECTION("lists changed, added and removed values with their source locations")
    {
        const MergedConfig after
                = mergeFiles({{"1.ini", "[route a]\ntarget = x@1\n"},
                              {"9.ini", "[route a]\ntarget = x@2\n[route b]\ntarget = y@1\n"}});
        REQUIRE(diffAsText(diffConfigs(before, after))
                == "- [route a] priority: 1 (1.ini:3)\n"
                   "~ [route a] target: x@1 -> x@2 (9.ini:2)\n"
                   "+ [route b] (9.ini:3)\n"
                   "+ [route b] target: y@1 (9.ini:4)\n"
                   "- [service s] (1.ini:4)\n");
    }
}

TEST_CASE("draining")
{
    const RevisionValidation before
            = validateRevision(ConfigRevision(1), exampleFolder("frostlys"));

    SECTION("a data centre gives an override that drains all its backend servers and no others")
    {
        const auto text = drainOverride(*before.snapshot, {"aalborg"}, true);
        REQUIRE(text.has_value());
        std::vector<SourceFile> files = exampleFolder("frostlys");
        files.push_back(SourceFile{"95-drain.ini", text.value()});
        const RevisionValidation after = validateRevision(ConfigRevision(2), files);
        REQUIRE(after.errors.empty());
        for (const auto &[id, server] : after.snapshot->backendServers) {
            REQUIRE(server.draining == (server.dataCentre == DataCentreId("aalborg")));
        }
    }

    SECTION("an unknown name gives ConfigUnknownReference")
    {
        const auto text = drainOverride(*before.snapshot, {"aalborg", "engine-x"}, true);
        REQUIRE(text.has_error());
        REQUIRE(text.error().code == ErrorCode::ConfigUnknownReference);
        REQUIRE(text.error().detail.find("engine-x") != std::string::npos);
    }
}

TEST_CASE("the fleet's status")
{
    wire::StatusReply reply;
    reply.mutable_instance()->set_vm("vm1");
    reply.set_config_revision(7);
    reply.set_view_confirmed(true);
    reply.set_platform_reachable(true);
    wire::ServerStatus &server = *reply.add_servers();
    server.set_backend_server("e1");
    server.set_owner_vm("vm1");
    server.set_effective(true);
    std::vector<ControllerStatus> fleet{{"tcp://1", reply}, {"tcp://2", reply}};
    fleet[1].reply.value().mutable_instance()->set_vm("vm2");
    fleet[1].reply.value().mutable_servers(0)->set_effective(false);

    SECTION("has no warning where all controllers agree")
    {
        REQUIRE(statusWarnings(fleet).empty());
        REQUIRE(statusAsTable(fleet).find("vm2") != std::string::npos);
    }

    SECTION("warns of two owners and of no owner")
    {
        fleet[1].reply.value().mutable_servers(0)->set_effective(true);
        REQUIRE(statusWarnings(fleet)
                == std::vector<std::string>{"2 controllers report that they own e1"});
        for (ControllerStatus &controller : fleet) {
            controller.reply.value().mutable_servers(0)->set_effective(false);
        }
        REQUIRE(statusWarnings(fleet)
                == std::vector<std::string>{"no controller may send commands to e1 now"});
    }

    SECTION("warns of revisions that differ")
    {
        fleet[1].reply.value().set_config_revision(6);
        REQUIRE(statusWarnings(fleet)
                == std::vector<std::string>{"the controllers hold 2 different configurations"});
    }

    SECTION("warns of a controller that does not respond, and reports the error in JSON")
    {
        fleet[1].reply = Error{ErrorCode::Timeout, "no response", SourceLocation{}};
        REQUIRE(statusWarnings(fleet).size() == 1);
        REQUIRE(statusAsJson(fleet).find(R"("endpoint":"tcp://2","error":"timeout")")
                != std::string::npos);
    }
}
