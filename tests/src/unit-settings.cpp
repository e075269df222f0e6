// Guards against programs that start with misspelled, invalid or missing settings, and against
// errors that do not name the file, line and key.

#include <balsamport/core/settings.h>

#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdio>
#include <fstream>

using namespace balsamport;
namespace po = boost::program_options;

namespace {

po::options_description exampleSettings()
{
    po::options_description settings;
    settings.add_options()("vm.id", po::value<std::string>()->required(), "name of this VM")(
            "limits.threads", po::value<int>()->default_value(2), "a number of threads");
    return settings;
}

Result<ProgramSettings> read(std::vector<const char *> arguments)
{
    arguments.insert(arguments.begin(), "program");
    return readProgramSettings(static_cast<int>(arguments.size()), arguments.data(),
                               exampleSettings());
}

/// A settings file that is removed on destruction.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : path("settings-test-" + std::to_string(getpid()) + ".ini")
    {
        std::ofstream(this->path) << text;
    }
    ~TemporaryFile() { std::remove(this->path.c_str()); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string path;
};

} // namespace

TEST_CASE("settings of a program")
{
    SECTION("are set by --set, and have defaults otherwise")
    {
        const auto result = read({"--set", "vm.id=vm1"});
        REQUIRE(result.has_value());
        REQUIRE(result.value().values["vm.id"].as<std::string>() == "vm1");
        REQUIRE(result.value().values["limits.threads"].as<int>() == 2);
    }

    SECTION("are read from a file, and --set overrides the file")
    {
        const TemporaryFile file("[vm]\nid = vm1\n\n[limits]\nthreads = 5\n");
        const auto result = read({"--config", file.path.c_str(), "--set", "limits.threads=7"});
        REQUIRE(result.has_value());
        REQUIRE(result.value().values["vm.id"].as<std::string>() == "vm1");
        REQUIRE(result.value().values["limits.threads"].as<int>() == 7);
    }

    SECTION("an unknown key yields an error with file, line and key")
    {
        const TemporaryFile file("[vm]\nid = vm1\ncolour = blue\n");
        const auto result = read({"--config", file.path.c_str()});
        REQUIRE(result.has_error());
        REQUIRE(result.error()
                == Error{ErrorCode::SettingUnknown, "there is no such setting",
                         SourceLocation{file.path, 3, "vm.colour"}});
    }

    SECTION("an invalid value yields an error with the expected format")
    {
        const TemporaryFile file("[vm]\nid = vm1\n[limits]\nthreads = many\n");
        const auto result = read({"--config", file.path.c_str()});
        REQUIRE(result.has_error());
        REQUIRE(result.error().code == ErrorCode::SettingInvalid);
        REQUIRE(result.error().location.line == 4);
        REQUIRE(result.error().detail == "\"many\" is not valid; expected: a number of threads");
    }

    SECTION("a missing required setting yields an error with its key")
    {
        const auto result = read({});
        REQUIRE(result.has_error());
        REQUIRE(result.error().code == ErrorCode::SettingMissing);
        REQUIRE(result.error().location.key == "vm.id");
    }

    SECTION("--help needs no settings, and --check validates them")
    {
        REQUIRE(read({"--help"}).value().action == ProgramAction::Help);
        REQUIRE(read({"--check"}).has_error());
        REQUIRE(read({"--check", "--set", "vm.id=a"}).value().action == ProgramAction::Check);
    }
}
