/// @file
/// The load tool: sends an open-loop load to gateways and checks every response.

#include "load_run.h"
#include "load_settings.h"

#include <balsamport/core/log.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace balsamport;

bool writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream stream(path);
    stream << text;
    stream.close();
    return !stream.fail();
}

bool writeReport(const std::string &folder, const LoadReport &report)
{
    const std::filesystem::path path(folder);
    std::error_code failure;
    std::filesystem::create_directories(path, failure);
    return writeFile(path / "report.json", reportAsJson(report))
            && writeFile(path / "load.dat", reportAsPlotData(report))
            && writeFile(path / "load.gp", plotScript("load.dat", "load.svg"));
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = loadOptions();
    const auto command = readProgramSettings(argc, argv, options);
    if (const auto code = handleProgramAction(
                "balsamport-load",
                "Sends an open-loop load to gateways, checks every answer and the booking ledgers, "
                "and exits with 1 where a caller saw a wrong, cut or doubled answer.",
                command, options)) {
        return *code;
    }
    const auto settings = readLoadSettings(command.value().values);
    if (!settings) {
        std::cerr << "balsamport-load: " << describe(settings.error()) << "\n";
        return exitcode::usage;
    }
    startLogging("balsamport-load", 1);
    const LoadReport report = runLoad(settings.value());
    std::cout << reportAsTable(report);
    const std::string &output = settings.value().output;
    if (!output.empty() && !writeReport(output, report)) {
        std::cerr << "balsamport-load: the report cannot be written to " << output << "\n";
        return exitcode::failure;
    }
    const bool ledgerMissing = !settings.value().ledgers.empty() && !report.ledgerRead;
    return report.violations() == 0 && !ledgerMissing ? exitcode::success : exitcode::failure;
}
