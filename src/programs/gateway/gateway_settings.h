#ifndef BALSAMPORT_PROGRAMS_GATEWAY_SETTINGS_H
#define BALSAMPORT_PROGRAMS_GATEWAY_SETTINGS_H

#include <balsamport/core/settings.h>
#include <balsamport/http/http_server.h>
#include <balsamport/wire/key_files.h>

#include <string>

namespace balsamport {

/// @brief Settings of the gateway daemon.
struct GatewaySettings
{
    VmId vm;
    DataCentreId dataCentre;
    std::string controllerEndpoint; ///< tcp://IP:PORT
    KeyFileSettings keys;
    HttpServerSettings http;
    std::uint32_t maxInProgress = 0;
    Millis drainDelay; ///< From SIGTERM until the socket may close; the load balancer notices
                       ///< meanwhile.
    Millis drainTimeout; ///< Longest wait for requests in progress after SIGTERM.
};

/// @return the descriptions of the settings, for --help and the INI file
[[nodiscard]] boost::program_options::options_description gatewayOptions();

/// @brief Converts and validates the settings.
/// @return SettingInvalid where a value has the wrong form
[[nodiscard]] Result<GatewaySettings>
readGatewaySettings(const boost::program_options::variables_map &values);

} // namespace balsamport

#endif
