#ifndef BALSAMPORT_CORE_SETTINGS_H
#define BALSAMPORT_CORE_SETTINGS_H

#include <balsamport/core/error.h>

#include <boost/program_options.hpp>

#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// Exit codes of every program.
namespace exitcode {
constexpr int success = 0;
constexpr int failure = 1; ///< The program ran and failed.
constexpr int usage = 2; ///< The command line or a setting is invalid.
} // namespace exitcode

/// @brief Action that the command line requests.
enum class ProgramAction : std::uint8_t {
    Run,
    Check, ///< --check: validate the settings and exit.
    Help,
    Version,
};

/// @brief The validated command line and settings of a program.
struct ProgramSettings
{
    ProgramAction action = ProgramAction::Run;
    boost::program_options::variables_map values; ///< Settings are named `section.key`.
    std::vector<std::string> arguments; ///< Positional arguments.
};

/// @brief Reads --help, --version, --config FILE, --set KEY=VALUE, --check and an INI file.
/// @param settings settings of the program, named `section.key`, with defaults and help texts
/// @param options further options of the command line, which the INI file cannot set
/// @return SettingUnknown, SettingInvalid, SettingMissing or SettingFileUnreadable; an error in a
/// file has its file, line and key
///
/// Example:
/// `settings.add_options()("vm.id", po::value<std::string>()->required(), "name of this VM");`
[[nodiscard]] Result<ProgramSettings>
readProgramSettings(int argc, const char *const *argv,
                    const boost::program_options::options_description &settings,
                    const boost::program_options::options_description &options = {});

/// @brief Executes --help, --version and --check, or reports an invalid setting on standard error.
/// @return the exit code if the program must exit; nothing if it must run
[[nodiscard]] std::optional<int>
handleProgramAction(const std::string &program, const std::string &purpose,
                    const Result<ProgramSettings> &result,
                    const boost::program_options::options_description &settings,
                    const boost::program_options::options_description &options = {});

} // namespace balsamport

#endif
