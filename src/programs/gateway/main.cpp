/// @file
/// The gateway daemon: serves callers on one VM.

#include "gateway_daemon.h"
#include "gateway_settings.h"

#include <balsamport/core/log.h>
#include <balsamport/core/stop_signal.h>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace balsamport;
    const auto options = gatewayOptions();
    const auto command = readProgramSettings(argc, argv, options);
    // --check validates the values of the settings as well as their syntax.
    const bool hasSettings = command
            && (command.value().action == ProgramAction::Run
                || command.value().action == ProgramAction::Check);
    const Result<GatewaySettings> settings = hasSettings
            ? readGatewaySettings(command.value().values)
            : Result<GatewaySettings>(GatewaySettings());
    if (!settings) {
        std::cerr << "balsamport-gateway: " << describe(settings.error()) << '\n';
        return exitcode::usage;
    }
    if (const auto code = handleProgramAction("balsamport-gateway",
                                              "Serves callers: routes requests to backend servers.",
                                              command, options)) {
        return *code;
    }
    startLogging("balsamport-gateway");
    StopSignal stop;
    auto daemon = GatewayDaemon::start(settings.value());
    if (!daemon) {
        LOG(ERROR) << logprefix::daemon << describe(daemon.error());
        return exitcode::failure;
    }
    stop.wait();
    if (!daemon.value()->drain()) {
        // Requests in progress still use all components, so that destructors can't run safely.
        google::FlushLogFiles(google::GLOG_INFO);
        std::_Exit(exitcode::failure);
    }
    return exitcode::success;
}
