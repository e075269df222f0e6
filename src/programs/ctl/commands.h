#ifndef BALSAMPORT_CTL_COMMANDS_H
#define BALSAMPORT_CTL_COMMANDS_H

#include <balsamport/core/clock.h>
#include <balsamport/core/settings.h>

#include <string>
#include <vector>

namespace balsamport::ctl {

/// @brief Arguments and options of a command.
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

/// @brief Prints the usage of a command on standard error.
/// @return the exit code of a wrong command line
int printUsage(const char *text);

/// @brief Prints an error that keeps a command from running on standard error.
/// @return the exit code of a wrong command or file
int printError(const Error &error);

/// @brief Checks a configuration folder and prints every fault.
/// @return failure where the folder has faults
[[nodiscard]] int check(const CommandLine &line);

/// @brief Prints the merged configuration of a folder with the origin of every value.
[[nodiscard]] int merge(const CommandLine &line);

/// @brief Prints what differs between two folders, or between the running fleet and a folder.
/// @return failure where something differs
[[nodiscard]] int diff(const CommandLine &line);

/// @brief Prints the state of all controllers.
/// @return failure where there is a warning
[[nodiscard]] int status(const CommandLine &line);

/// @brief Prints the candidates for an adapter or a request as each controller ranks them; or, from
/// the logs of daemons, the timeline of a request.
/// @return failure where no controller explained, or no log line names the request
[[nodiscard]] int explain(const CommandLine &line);

/// @brief Prints an override file that drains backend servers.
[[nodiscard]] int drain(const CommandLine &line);

/// @brief Prints an override file that ends the drain of backend servers.
[[nodiscard]] int undrain(const CommandLine &line);

} // namespace balsamport::ctl

#endif
