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
constexpr int usage = 2; ///< The command line or a setting is wrong.
} // namespace exitcode

/// @brief What the command line asks for.
enum class ProgramAction : std::uint8_t {
    Run,
    Check, ///< --check: the settings are right; do not start.
    Help,
    Version,
};

/// @brief The checked command line and settings of a program.
struct ProgramSettings
{
    ProgramAction action = ProgramAction::Run;
    boost::program_options::variables_map values; ///< Settings are named `section.key`.
    std::vector<std::string> arguments; ///< Positional arguments.
};

/// @brief Reads --help, --version, --config FILE, --set KEY=VALUE, --check and an INI file.
/// @param settings the program's settings, named `section.key`, with defaults and help texts
/// @param options the program's further command line options; they cannot stand in the INI file
/// @return SettingUnknown, SettingInvalid, SettingMissing or SettingFileUnreadable, with file,
/// line and key where the fault stands in a file
/// Example:
/// `settings.add_options()("vm.id", po::value<std::string>()->required(), "name of this VM");`
[[nodiscard]] Result<ProgramSettings>
readProgramSettings(int argc, const char *const *argv,
                    const boost::program_options::options_description &settings,
                    const boost::program_options::options_description &options = {});

/// @brief Answers --help, --version and --check, or reports a wrong setting on standard error.
/// @return the exit code where the program must end; nothing where it must run
[[nodiscard]] std::optional<int>
handleProgramAction(const std::string &program, const std::string &purpose,
                    const Result<ProgramSettings> &result,
                    const boost::program_options::options_description &settings,
                    const boost::program_options::options_description &options = {});

} // namespace balsamport

#endif
