/// @file
/// The gateway daemon: serves callers on one VM.

#include "gateway_daemon.h"
#include "gateway_settings.h"

#include <balsamport/core/log.h>

#include <asio.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

/// Blocks until SIGTERM or SIGINT.
void waitForStop()
{
    asio::io_context context{1};
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const asio::error_code & /*error*/, int /*number*/) {});
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace balsamport;
    const auto options = gatewayOptions();
    const auto command = readProgramSettings(argc, argv, options);
    // --check covers the settings' meaning as well as their form.
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
    if (const auto code = finishUnlessRunning("balsamport-gateway",
                                              "Serves callers: routes requests to backend servers.",
                                              command, options)) {
        return *code;
    }
    startLogging("balsamport-gateway");
    auto daemon = GatewayDaemon::start(settings.value());
    if (!daemon) {
        LOG(ERROR) << logprefix::daemon << describe(daemon.error());
        return exitcode::failure;
    }
    waitForStop();
    if (!daemon.value()->leave()) {
        // Requests still use all parts, so none can be taken down in order.
        google::FlushLogFiles(google::GLOG_INFO);
        std::_Exit(exitcode::failure);
    }
    return exitcode::success;
}
