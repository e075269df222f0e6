#include "commands.h"

#include "controllers.h"

#include <balsamport/config/validate.h>
#include <balsamport/tools/config_diff.h>

#include <iostream>

namespace balsamport::ctl {

namespace {

int printFaults(const std::vector<Error> &errors)
{
    for (const Error &error : errors) {
        std::cout << describe(error) << "\n";
    }
    std::cout << errors.size() << " faults\n";
    return exitcode::failure;
}

int printDrain(const CommandLine &line, bool draining)
{
    if (line.arguments.size() < 2) {
        return printUsage("drain|undrain DIR BACKEND-SERVER|DATA-CENTRE...");
    }
    const auto files = readConfigFolder(line.arguments.front());
    if (files.has_error()) {
        return printError(files.error());
    }
    const RevisionValidation acceptance = validateRevision(ConfigRevision(1), files.value());
    if (!acceptance.isAccepted()) {
        return printFaults(acceptance.errors);
    }
    const std::vector<std::string> names(line.arguments.begin() + 1, line.arguments.end());
    const Result<std::string> text = drainOverride(*acceptance.snapshot, names, draining);
    if (text.has_error()) {
        return printError(text.error());
    }
    std::cout << text.value();
    return exitcode::success;
}

} // namespace

int printUsage(const char *text)
{
    std::cerr << "usage: balsamportctl " << text << "\n";
    return exitcode::usage;
}

int printError(const Error &error)
{
    std::cerr << "balsamportctl: " << describe(error) << "\n";
    return exitcode::usage;
}

int check(const CommandLine &line)
{
    if (line.arguments.size() != 1) {
        return printUsage("check DIR");
    }
    const auto files = readConfigFolder(line.arguments.front());
    if (files.has_error()) {
        return printError(files.error());
    }
    const RevisionValidation acceptance = validateRevision(ConfigRevision(1), files.value());
    if (!acceptance.isAccepted()) {
        return printFaults(acceptance.errors);
    }
    const Snapshot &snapshot = *acceptance.snapshot;
    std::cout << "accepted: " << files.value().size() << " files, "
              << snapshot.backendServers.size() << " backend servers, " << snapshot.routes.size()
              << " routes, " << snapshot.services.size() << " services\n";
    return exitcode::success;
}

int merge(const CommandLine &line)
{
    if (line.arguments.size() != 1) {
        return printUsage("merge DIR");
    }
    const auto files = readConfigFolder(line.arguments.front());
    if (files.has_error()) {
        return printError(files.error());
    }
    const MergedConfig merged = mergeFiles(files.value());
    if (!merged.errors.empty()) {
        return printFaults(merged.errors);
    }
    std::cout << mergeAsText(merged);
    return exitcode::success;
}

int diff(const CommandLine &line)
{
    const bool againstFleet = line.arguments.size() == 1 && !line.endpoints.empty();
    if (!againstFleet && line.arguments.size() != 2) {
        return printUsage(
                "diff DIR1 DIR2, or diff DIR --endpoint tcp://IP:PORT for the running fleet");
    }
    const auto before = againstFleet ? pullConfig(line) : readConfigFolder(line.arguments.front());
    const auto after = readConfigFolder(line.arguments.back());
    if (before.has_error() || after.has_error()) {
        return printError(before.has_error() ? before.error() : after.error());
    }
    const MergedConfig previous = mergeFiles(before.value());
    const MergedConfig current = mergeFiles(after.value());
    if (!previous.errors.empty() || !current.errors.empty()) {
        printFaults(previous.errors.empty() ? current.errors : previous.errors);
        return exitcode::usage;
    }
    const std::vector<ConfigChange> changes = diffConfigs(previous, current);
    std::cout << diffAsText(changes) << changes.size() << " changes\n";
    return changes.empty() ? exitcode::success : exitcode::failure;
}

int drain(const CommandLine &line)
{
    return printDrain(line, true);
}

int undrain(const CommandLine &line)
{
    return printDrain(line, false);
}

} // namespace balsamport::ctl
