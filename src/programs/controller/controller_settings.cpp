#include "controller_settings.h"

#include <balsamport/wire/daemon_options.h>

namespace po = boost::program_options;

namespace balsamport {

namespace {

constexpr std::uint32_t defaultDrainWaitMs = 6'000;

} // namespace

po::options_description controllerOptions()
{
    po::options_description options("Settings");
    addDaemonOptions(options);
    auto add = options.add_options();
    add("vm.gateway-address", po::value<std::string>()->required(), "IP:PORT of this VM's gateway");
    add("controller.endpoint", po::value<std::string>()->required(),
        "tcp://IP:PORT on which gateways and other controllers are served");
    add("controller.leave-wait-ms", po::value<std::uint32_t>()->default_value(defaultDrainWaitMs),
        "time after SIGTERM in which other VMs take over");
    add("platform.address", po::value<std::string>()->required(), "IP:PORT of the platform");
    add("peers.endpoints", po::value<std::string>()->default_value(""),
        "controllers to ask before any member is known; separated by commas");
    return options;
}

Result<ControllerSettings> readControllerSettings(const po::variables_map &values)
{
    ControllerSettings settings;
    settings.self.instance.vm = VmId(values["vm.id"].as<std::string>());
    settings.self.dataCentre = DataCentreId(values["vm.data-centre"].as<std::string>());
    settings.self.gatewayAddress = values["vm.gateway-address"].as<std::string>();
    settings.self.controllerEndpoint = values["controller.endpoint"].as<std::string>();
    settings.platformAddress = values["platform.address"].as<std::string>();
    settings.peerEndpoints = splitSettingList(values["peers.endpoints"].as<std::string>());
    settings.keys = keyFileSettingsFrom(values);
    settings.drainWait = Millis(values["controller.leave-wait-ms"].as<std::uint32_t>());
    if (!isEndpoint(settings.self.controllerEndpoint)) {
        return invalidSettingError("controller.endpoint", settings.self.controllerEndpoint,
                                   "tcp://IP:PORT");
    }
    if (settings.platformAddress.find(':') == std::string::npos) {
        return invalidSettingError("platform.address", settings.platformAddress, "IP:PORT");
    }
    for (const std::string &endpoint : settings.peerEndpoints) {
        if (!isEndpoint(endpoint)) {
            return invalidSettingError("peers.endpoints", endpoint,
                                       "tcp://IP:PORT, separated by commas");
        }
    }
    return settings;
}

} // namespace balsamport
