/// @file
/// The controller daemon: configuration, membership, ownership, grants and claims of one VM.

#include "controller_daemon.h"
#include "controller_settings.h"

#include <balsamport/core/log.h>
#include <balsamport/core/stop_signal.h>

#include <iostream>

int main(int argc, char **argv)
{
    using namespace balsamport;
    const auto options = controllerOptions();
    const auto command = readProgramSettings(argc, argv, options);
    // --check validates the values of the settings as well as their syntax.
    const bool hasSettings = command
            && (command.value().action == ProgramAction::Run
                || command.value().action == ProgramAction::Check);
    const Result<ControllerSettings> settings = hasSettings
            ? readControllerSettings(command.value().values)
            : Result<ControllerSettings>(ControllerSettings());
    if (!settings) {
        std::cerr << "balsamport-controller: " << describe(settings.error()) << '\n';
        return exitcode::usage;
    }
    if (const auto code = handleProgramAction(
                "balsamport-controller",
                "Keeps configuration, membership, ownership, grants and claims of one VM.", command,
                options)) {
        return *code;
    }
    const auto keys = readCurveKeys(settings.value().keys);
    if (!keys) {
        std::cerr << "balsamport-controller: " << describe(keys.error()) << '\n';
        return exitcode::usage;
    }
    startLogging("balsamport-controller");
    StopSignal stop;
    auto daemon = ControllerDaemon::start(settings.value());
    if (!daemon) {
        LOG(ERROR) << logprefix::daemon << describe(daemon.error());
        return exitcode::failure;
    }
    stop.wait();
    daemon.value()->drain();
    return exitcode::success;
}
