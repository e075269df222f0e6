// Guards against configuration that VMs interpret differently, that is applied in part, or that is
// refused without the file and line of the error, and against a manual that lacks keys.

#include <balsamport/config/schema.h>
#include <balsamport/config/validate.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <fixed_seed.h>
#include <fstream>
#include <sstream>

using namespace balsamport;

namespace {

const std::string baseText = R"(; the base of the fleet
[data-centre north]
region = jutland
has-weight-store = true

[backend-server e1]
address = 127.0.0.1:24001
data-centre = north
base = citrus-8b

[adapter burn-plan]
base = citrus-8b
versions = 1,2,3
bytes = 1000000

[adapter-range member-]
first = 1
last = 32000
base = citrus-8b
versions = 1

[route burn]
targets = burn-plan@2:90, burn-plan@3:10

[caller-class members]
weight = 3

[service lots]
non-repeatable = POST /bookings, POST /deposits

[limits]
handover-wait = 4000
)";

SourceFile baseFile()
{
    return SourceFile{"10-base.ini", baseText};
}

RevisionValidation validate(const std::vector<SourceFile> &files)
{
    return validateRevision(ConfigRevision(7), files);
}

bool hasError(const RevisionValidation &result, ErrorCode code, const std::string &file,
              std::uint32_t line, const std::string &text)
{
    return std::any_of(result.errors.begin(), result.errors.end(), [&](const Error &error) {
        return error.code == code && error.location.file == file && error.location.line == line
                && error.detail.find(text) != std::string::npos;
    });
}

} // namespace

TEST_CASE("a valid folder yields a snapshot")
{
    const RevisionValidation base = validate({baseFile()});
    for (const Error &error : base.errors) {
        UNSCOPED_INFO(describe(error));
    }
    REQUIRE(base.isAccepted());
    const Snapshot &snapshot = *base.snapshot;

    SECTION("with its values and defaults")
    {
        REQUIRE(snapshot.revision == ConfigRevision(7));
        REQUIRE(snapshot.backendServers.at(BackendServerId("e1")).adapterSlots == 8);
        REQUIRE(snapshot.routes.at("burn").targets.size() == 2);
        REQUIRE(snapshot.routes.at("burn").targets[0].share == 90);
        REQUIRE(snapshot.routes.at("burn").targets[0].adapter.str() == "citrus-8b/burn-plan@2");
        REQUIRE(snapshot.services.at(ServiceId("lots")).nonRepeatable.size() == 2);
        REQUIRE(snapshot.limits.handoverWait == Millis(4000));
    }

    SECTION("with the adapters of a declared range")
    {
        REQUIRE(snapshot.findAdapter(AdapterId("member-32000")).has_value());
        REQUIRE_FALSE(snapshot.findAdapter(AdapterId("member-32001")).has_value());
    }

    SECTION("with defaults that equal those of the schema")
    {
        const std::string text = "[data-centre a]\nregion = r\n[limits]\n";
        const RevisionValidation implicitDefaults = validate({{"a.ini", text}});
        REQUIRE(implicitDefaults.isAccepted());
        std::string explicitText = text;
        for (const KeySchema &key : findSectionSchema("limits")->keys) {
            explicitText += std::string(key.key) + " = " + std::string(key.defaultText) + "\n";
        }
        const RevisionValidation explicitDefaults = validate({{"a.ini", explicitText}});
        REQUIRE(explicitDefaults.isAccepted());
        REQUIRE(explicitDefaults.snapshot->limits == LimitsConfig());
        REQUIRE(implicitDefaults.snapshot->limits == LimitsConfig());
    }

    SECTION("an override file replaces single keys, and its removal restores the base")
    {
        const SourceFile override{"90-month-end.ini",
                                  "[limits]\nrequest-timeout = 90000\n[adapter burn-plan]\nbytes = "
                                  "5\n"};
        const RevisionValidation monthEnd = validate({override, baseFile()});
        REQUIRE(monthEnd.isAccepted());
        REQUIRE(monthEnd.snapshot->limits.requestTimeout == Millis(90'000));
        REQUIRE(monthEnd.snapshot->limits.handoverWait == Millis(4000));
        REQUIRE(monthEnd.snapshot->adapters.at(AdapterId("burn-plan")).bytes == 5);
        REQUIRE(monthEnd.snapshot->adapters.at(AdapterId("burn-plan")).versions.size() == 3);
        REQUIRE(*validate({baseFile()}).snapshot == snapshot);

        SECTION("and every value has the location of the file that sets it")
        {
            const MergedConfig merged = mergeFiles({override, baseFile()});
            const MergedSection &adapter = merged.sections.at("adapter burn-plan");
            REQUIRE(adapter.values.at("bytes").origin.file == "90-month-end.ini");
            REQUIRE(adapter.values.at("bytes").origin.line == 4);
            REQUIRE(adapter.values.at("versions").origin.file == "10-base.ini");
            REQUIRE(adapter.values.at("versions").origin.line == 13);
        }
    }
}

TEST_CASE("an invalid revision is refused entirely")
{
    SECTION("with all errors, each with file, line, value and expected format")
    {
        const RevisionValidation result = validate({baseFile(),
                                                    {"20-faulty.ini",
                                                     "[backend-server e2]\n"
                                                     "address = nowhere\n"
                                                     "data-centre = south\n"
                                                     "base = citrus-8b\n"
                                                     "slots = 0\n"
                                                     "colour = red\n"
                                                     "[route frost]\n"
                                                     "target = burn-plan@9\n"
                                                     "[weather w]\n"
                                                     "wind = 3\n"
                                                     "[caller c]\n"
                                                     "class = members\n"}});
        REQUIRE_FALSE(result.isAccepted());
        const std::string file = "20-faulty.ini";
        REQUIRE(hasError(result, ErrorCode::ConfigInvalidValue, file, 2, "\"nowhere\""));
        REQUIRE(hasError(result, ErrorCode::ConfigUnknownReference, file, 3, "\"south\""));
        REQUIRE(hasError(result, ErrorCode::ConfigInvalidValue, file, 5, "from 1 to 4096"));
        REQUIRE(hasError(result, ErrorCode::ConfigUnknownKey, file, 6, "no such key"));
        REQUIRE(hasError(result, ErrorCode::ConfigUnknownReference, file, 8, "burn-plan@9"));
        REQUIRE(hasError(result, ErrorCode::ConfigUnknownSection, file, 9, "no such kind"));
        REQUIRE(hasError(result, ErrorCode::ConfigMissingKey, file, 11, "64 hexadecimal"));
        REQUIRE(result.errors.size() == 7);
    }

    SECTION("for a syntax error, with its line")
    {
        const RevisionValidation result
                = validate({baseFile(), {"b.ini", "[limits]\n\nno equals sign\n"}});
        REQUIRE(hasError(result, ErrorCode::ConfigSyntax, "b.ini", 3, ""));
    }

    SECTION("for a duplicate key in a file")
    {
        const RevisionValidation result
                = validate({baseFile(), {"b.ini", "[limits]\nbody-bytes = 1\nbody-bytes = 2\n"}});
        REQUIRE(hasError(result, ErrorCode::ConfigDuplicate, "b.ini", 3, "duplicate"));
    }

    SECTION("for two backend servers with the same address")
    {
        const RevisionValidation result
                = validate({baseFile(),
                            {"b.ini",
                             "[backend-server e2]\naddress = 127.0.0.1:24001\n"
                             "data-centre = north\nbase = citrus-8b\n"}});
        REQUIRE(hasError(result, ErrorCode::ConfigDuplicate, "b.ini", 2, "127.0.0.1:24001"));
    }

    SECTION("for a handover wait that is not longer than the view lifetime")
    {
        const RevisionValidation result
                = validate({baseFile(), {"b.ini", "[limits]\nhandover-wait = 1000\n"}});
        REQUIRE(hasError(result, ErrorCode::ConfigInvalidValue, "b.ini", 2, "view-lifetime"));
    }

    SECTION("for a file above the size limit of the platform")
    {
        const RevisionValidation result
                = validate({baseFile(), {"b.ini", std::string(maxFileBytes + 1, ';')}});
        REQUIRE(hasError(result, ErrorCode::ConfigTooLarge, "b.ini", 0, "1048576"));
    }

    SECTION("if the folder is empty, which a broken platform may report")
    {
        REQUIRE_FALSE(validate({}).isAccepted());
    }
}

TEST_CASE("every VM reaches the same decision")
{
    const bool isOrderIndependent = rc::check("the order of the files does not matter", [] {
        std::vector<SourceFile> files = {baseFile()};
        const int extra = *rc::gen::inRange(0, 5);
        for (int i = 0; i < extra; ++i) {
            files.push_back({std::to_string(*rc::gen::inRange(0, 10'000)) + "-x.ini",
                             "[limits]\ngather-time = "
                                     + std::to_string(*rc::gen::inRange(0, 20'000)) + "\n"});
        }
        const RevisionValidation before = validate(files);
        std::reverse(files.begin(), files.end());
        const RevisionValidation after = validate(files);
        RC_ASSERT(before.isAccepted() == after.isAccepted());
        RC_ASSERT(before.errors == after.errors);
        if (before.isAccepted()) {
            RC_ASSERT(*before.snapshot == *after.snapshot);
        }
    });
    REQUIRE(isOrderIndependent);

    const bool isTotal = rc::check("any text is accepted or refused with a typed error", [] {
        const auto text = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string("[]=;\n ab@:,-1limts")));
        const RevisionValidation result = validate({baseFile(), {"x.ini", text}});
        RC_ASSERT(result.isAccepted() == result.errors.empty());
    });
    REQUIRE(isTotal);
}

TEST_CASE("docs/CONFIGURATION.md contains the current schema")
{
    std::ifstream stream(std::string(BALSAMPORT_SOURCE_DIR) + "/docs/CONFIGURATION.md");
    std::ostringstream text;
    text << stream.rdbuf();
    const std::string begin = "<!-- schema: begin -->\n";
    const std::size_t beginAt = text.str().find(begin);
    const std::size_t endAt = text.str().find("<!-- schema: end -->");
    REQUIRE(beginAt != std::string::npos);
    REQUIRE(endAt != std::string::npos);
    const std::size_t start = beginAt + begin.size();
    REQUIRE(text.str().substr(start, endAt - start) == schemaAsMarkdown());
}
