#ifndef BALSAMPORT_CTL_COMMANDS_H
#define BALSAMPORT_CTL_COMMANDS_H

#include <balsamport/core/clock.h>
#include <balsamport/core/settings.h>

#include <string>
#include <vector>

namespace balsamport::ctl {

/// @brief What the command line gave to a command.
struct CommandLine
{
    std::vector<std::string> arguments; ///< After the command's name.
    std::vector<std::string> endpoints; ///< tcp://IP:PORT of controllers.
    std::vector<std::string> logFiles; ///< "-" is standard input.
    bool json = false;
    Millis timeout{2'000};
    std::string publicKeyFile;
    std::string secretKeyFile;
};

/// @brief Prints how a command is written, on standard error.
/// @return the exit code of a wrong command line
int printUsage(const char *text);

/// @brief Prints a fault that keeps a command from running, on standard error.
/// @return the exit code of a wrong command or file
int printError(const Error &error);

/// @brief Checks a folder, and prints every fault.
/// @return failure where it has any
[[nodiscard]] int check(const CommandLine &line);

/// @brief Prints the merged folder with the origin of every value.
[[nodiscard]] int merge(const CommandLine &line);

/// @brief Prints what differs between two folders, or between the running fleet and a folder.
/// @return failure where something differs
[[nodiscard]] int diff(const CommandLine &line);

/// @brief Prints the state of all controllers.
/// @return failure where there is a warning
[[nodiscard]] int status(const CommandLine &line);

/// @brief Prints why an adapter or a request goes where it goes, as each controller sees it; or,
/// from the logs of daemons, what happened to a request.
/// @return failure where no controller could explain, or no line names the request
[[nodiscard]] int explain(const CommandLine &line);

/// @brief Prints an override file that makes backend servers leave.
[[nodiscard]] int drain(const CommandLine &line);

/// @brief Prints an override file that makes backend servers stay.
[[nodiscard]] int undrain(const CommandLine &line);

} // namespace balsamport::ctl

#endif
