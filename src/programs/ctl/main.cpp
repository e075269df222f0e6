/// @file
/// The operators' tool. It only reads and prints; it changes nothing in the fleet or in files.

#include "commands.h"

#include <balsamport/core/log.h>

#include <iostream>
#include <map>

namespace po = boost::program_options;

namespace {

using namespace balsamport;
using namespace balsamport::ctl;

constexpr std::uint32_t defaultTimeoutMs = 2'000;

struct Command
{
    int (*run)(const CommandLine &line);
    const char *help;
};

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> all{
            {"check", {check, "check DIR: print every fault of a folder"}},
            {"merge", {merge, "merge DIR: print the merged folder, each value with its origin"}},
            {"diff", {diff, "diff DIR1 DIR2, or diff DIR --endpoint ...: print what would change"}},
            {"status", {status, "status --endpoint ... [--json]: print the state of the fleet"}},
            {"explain",
             {explain,
              "explain NAME --endpoint ...: print why a request goes where; "
              "explain REQUEST-ID --log FILE ...: print what happened to it"}},
            {"drain", {drain, "drain DIR NAME...: print an override that empties backend servers"}},
            {"undrain", {undrain, "undrain DIR NAME...: print an override that fills them again"}},
    };
    return all;
}

std::string purpose()
{
    std::string text = "Checks configuration folders and looks at a running fleet.\n\nCommands\n";
    for (const auto &[name, command] : commands()) {
        text += std::string("  ") + command.help + "\n";
    }
    return text
            + "\nExit codes: 0 all is well; 1 faults, differences or warnings; 2 the command or "
              "a file is wrong";
}

po::options_description options()
{
    po::options_description options("Options of commands");
    auto add = options.add_options();
    add("endpoint", po::value<std::vector<std::string>>()->composing(),
        "tcp://IP:PORT of a controller; may be repeated");
    add("json", po::bool_switch(), "print JSON");
    add("log", po::value<std::vector<std::string>>()->composing(),
        "file with the log of a daemon, or - for standard input; may be repeated");
    return options;
}

po::options_description settings()
{
    po::options_description settings;
    auto add = settings.add_options();
    add("ctl.timeout-ms", po::value<std::uint32_t>()->default_value(defaultTimeoutMs),
        "longest wait for a controller");
    add("keys.public", po::value<std::string>()->default_value(""),
        "file with the fleet's public key; empty for plain text");
    add("keys.secret", po::value<std::string>()->default_value(""),
        "file with the fleet's secret key; empty for plain text");
    return settings;
}

CommandLine commandLine(const ProgramSettings &program)
{
    CommandLine line;
    line.arguments.assign(program.arguments.begin() + 1, program.arguments.end());
    if (program.values.count("endpoint") != 0) {
        line.endpoints = program.values["endpoint"].as<std::vector<std::string>>();
    }
    if (program.values.count("log") != 0) {
        line.logFiles = program.values["log"].as<std::vector<std::string>>();
    }
    line.json = program.values["json"].as<bool>();
    line.timeout = Millis(program.values["ctl.timeout-ms"].as<std::uint32_t>());
    line.publicKeyFile = program.values["keys.public"].as<std::string>();
    line.secretKeyFile = program.values["keys.secret"].as<std::string>();
    return line;
}

} // namespace

int main(int argc, char **argv)
{
    const auto program = readProgramSettings(argc, argv, settings(), options());
    if (const auto code
        = handleProgramAction("balsamportctl", purpose(), program, settings(), options())) {
        return *code;
    }
    const std::vector<std::string> &words = program.value().arguments;
    const auto found = words.empty() ? commands().end() : commands().find(words.front());
    if (found == commands().end()) {
        std::cerr << "balsamportctl: expected a command; see --help\n";
        return exitcode::usage;
    }
    startLogging("balsamportctl", 2);
    return found->second.run(commandLine(program.value()));
}
