#include "controller_settings.h"

#include <sstream>

namespace po = boost::program_options;

namespace balsamport {

namespace {

constexpr std::uint32_t defaultLeaveWaitMs = 6'000;
constexpr std::string_view tcpPrefix = "tcp://";

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        const std::size_t first = item.find_first_not_of(' ');
        if (first != std::string::npos) {
            items.push_back(item.substr(first, item.find_last_not_of(' ') - first + 1));
        }
    }
    return items;
}

Error wrong(const char *name, const std::string &value, const char *expected)
{
    return {ErrorCode::SettingInvalid, "\"" + value + "\" is not valid; expected: " + expected,
            Place{"", 0, name}};
}

bool isEndpoint(const std::string &text)
{
    return text.rfind(tcpPrefix, 0) == 0 && text.find(':', tcpPrefix.size()) != std::string::npos;
}

} // namespace

po::options_description controllerOptions()
{
    po::options_description options("Settings");
    auto add = options.add_options();
    add("vm.id", po::value<std::string>()->required(), "name of this VM");
    add("vm.data-centre", po::value<std::string>()->required(), "data centre of this VM");
    add("vm.gateway-address", po::value<std::string>()->required(), "IP:PORT of this VM's gateway");
    add("controller.endpoint", po::value<std::string>()->required(),
        "tcp://IP:PORT on which gateways and other controllers are served");
    add("controller.leave-wait-ms", po::value<std::uint32_t>()->default_value(defaultLeaveWaitMs),
        "time after SIGTERM in which other VMs take over");
    add("platform.address", po::value<std::string>()->required(), "IP:PORT of the platform");
    add("peers.endpoints", po::value<std::string>()->default_value(""),
        "controllers to ask before any member is known; separated by commas");
    add("keys.public", po::value<std::string>()->default_value(""),
        "file with the fleet's public CURVE key; empty for plain text");
    add("keys.secret", po::value<std::string>()->default_value(""),
        "file with the fleet's secret CURVE key, mode 0600");
    add("keys.accepted", po::value<std::string>()->default_value(""),
        "files with further public keys, while keys are rotated; separated by commas");
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
    settings.peerEndpoints = splitList(values["peers.endpoints"].as<std::string>());
    settings.keys.publicFile = values["keys.public"].as<std::string>();
    settings.keys.secretFile = values["keys.secret"].as<std::string>();
    settings.keys.acceptedFiles = splitList(values["keys.accepted"].as<std::string>());
    settings.leaveWait = Millis(values["controller.leave-wait-ms"].as<std::uint32_t>());
    if (!isEndpoint(settings.self.controllerEndpoint)) {
        return wrong("controller.endpoint", settings.self.controllerEndpoint, "tcp://IP:PORT");
    }
    if (settings.platformAddress.find(':') == std::string::npos) {
        return wrong("platform.address", settings.platformAddress, "IP:PORT");
    }
    for (const std::string &endpoint : settings.peerEndpoints) {
        if (!isEndpoint(endpoint)) {
            return wrong("peers.endpoints", endpoint, "tcp://IP:PORT, separated by commas");
        }
    }
    return settings;
}

} // namespace balsamport
