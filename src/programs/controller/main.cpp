/// @file
/// The controller daemon: configuration, membership, ownership, grants and claims of one VM.

#include "controller_daemon.h"
#include "controller_settings.h"

#include <balsamport/core/log.h>

#include <asio.hpp>

#include <csignal>
#include <iostream>

namespace {

/// Blocks until SIGTERM or SIGINT.
void waitForStop(asio::io_context &context)
{
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([](const asio::error_code & /*error*/, int /*number*/) {});
    context.run();
}

} // namespace

int main(int argc, char **argv)
{
    using namespace balsamport;
    const auto options = controllerOptions();
    const auto command = readProgramSettings(argc, argv, options);
    if (const auto code = finishUnlessRunning(
                "balsamport-controller",
                "Keeps configuration, membership, ownership, grants and claims of one VM.", command,
                options)) {
        return *code;
    }
    const auto settings = readControllerSettings(command.value().values);
    if (!settings) {
        std::cerr << "balsamport-controller: " << describe(settings.error()) << '\n';
        return exitcode::usage;
    }
    const auto keys = readCurveKeys(settings.value().keys);
    if (!keys) {
        std::cerr << "balsamport-controller: " << describe(keys.error()) << '\n';
        return exitcode::usage;
    }
    startLogging("balsamport-controller");
    asio::io_context context{1};
    auto daemon = ControllerDaemon::start(settings.value());
    if (!daemon) {
        LOG(ERROR) << logprefix::daemon << describe(daemon.error());
        return exitcode::failure;
    }
    waitForStop(context);
    daemon.value()->leave();
    return exitcode::success;
}
