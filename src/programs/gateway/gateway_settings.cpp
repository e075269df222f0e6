#include "gateway_settings.h"

#include <balsamport/wire/daemon_options.h>

namespace po = boost::program_options;

namespace balsamport {

namespace {

constexpr std::uint32_t defaultThreads = 2;
constexpr std::uint32_t defaultInProgress = 4'096;
constexpr std::uint32_t defaultConnections = 8'192;
constexpr std::uint32_t defaultReadTimeoutMs = 10'000;
constexpr std::uint32_t defaultDrainDelayMs = 1'000;
constexpr std::uint32_t defaultDrainTimeoutMs = 120'000;

Millis millisOf(const po::variables_map &values, const char *name)
{
    return Millis(values[name].as<std::uint32_t>());
}

} // namespace

po::options_description gatewayOptions()
{
    po::options_description options("Settings");
    addDaemonOptions(options);
    auto add = options.add_options();
    add("gateway.listen", po::value<std::string>()->required(),
        "IP:PORT on which callers are served");
    add("gateway.threads", po::value<std::uint32_t>()->default_value(defaultThreads),
        "threads that serve callers");
    add("gateway.max-requests", po::value<std::uint32_t>()->default_value(defaultInProgress),
        "requests in progress at once");
    add("gateway.max-connections", po::value<std::uint32_t>()->default_value(defaultConnections),
        "open connections of callers at once");
    add("gateway.max-body-bytes", po::value<std::uint64_t>()->default_value(1'048'576),
        "largest body that is read at all; the configuration may set a lower limit");
    add("gateway.read-timeout-ms", po::value<std::uint32_t>()->default_value(defaultReadTimeoutMs),
        "time for a request to come in, and for an idle connection");
    add("gateway.leave-delay-ms", po::value<std::uint32_t>()->default_value(defaultDrainDelayMs),
        "time after SIGTERM in which /health answers 503 before the socket may close");
    add("gateway.leave-limit-ms", po::value<std::uint32_t>()->default_value(defaultDrainTimeoutMs),
        "longest wait for requests in progress after SIGTERM");
    add("controller.endpoint", po::value<std::string>()->required(),
        "tcp://IP:PORT of this VM's controller");
    add("tls.certificate", po::value<std::string>()->default_value(""),
        "PEM file with the certificate shown to callers; empty for plain HTTP");
    add("tls.key", po::value<std::string>()->default_value(""),
        "PEM file with the certificate's key, mode 0600");
    return options;
}

Result<GatewaySettings> readGatewaySettings(const po::variables_map &values)
{
    GatewaySettings settings;
    settings.vm = VmId(values["vm.id"].as<std::string>());
    settings.dataCentre = DataCentreId(values["vm.data-centre"].as<std::string>());
    settings.controllerEndpoint = values["controller.endpoint"].as<std::string>();
    if (!isEndpoint(settings.controllerEndpoint)) {
        return invalidSettingError("controller.endpoint", settings.controllerEndpoint,
                                   "tcp://IP:PORT");
    }
    settings.http.address = values["gateway.listen"].as<std::string>();
    if (settings.http.address.find(':') == std::string::npos) {
        return invalidSettingError("gateway.listen", settings.http.address, "IP:PORT");
    }
    settings.http.threads = values["gateway.threads"].as<std::uint32_t>();
    if (settings.http.threads == 0) {
        return invalidSettingError("gateway.threads", "0", "at least 1");
    }
    settings.http.maxBodyBytes = values["gateway.max-body-bytes"].as<std::uint64_t>();
    settings.http.maxConnections = values["gateway.max-connections"].as<std::uint32_t>();
    settings.http.readTimeout = millisOf(values, "gateway.read-timeout-ms");
    settings.http.tlsCertificateFile = values["tls.certificate"].as<std::string>();
    settings.http.tlsKeyFile = values["tls.key"].as<std::string>();
    settings.keys = keyFileSettingsFrom(values);
    settings.maxInProgress = values["gateway.max-requests"].as<std::uint32_t>();
    settings.drainDelay = millisOf(values, "gateway.leave-delay-ms");
    settings.drainTimeout = millisOf(values, "gateway.leave-limit-ms");
    return settings;
}

} // namespace balsamport
