#ifndef BALSAMPORT_PROGRAMS_GATEWAY_SETTINGS_H
#define BALSAMPORT_PROGRAMS_GATEWAY_SETTINGS_H

#include <balsamport/core/settings.h>
#include <balsamport/http/http_server.h>
#include <balsamport/wire/key_files.h>

#include <string>

namespace balsamport {

/// @brief The settings of one gateway.
struct GatewaySettings
{
    VmId vm;
    DataCentreId dataCentre;
    std::string controllerEndpoint; ///< tcp://IP:PORT
    KeyFileSettings keys;
    HttpServerSettings http;
    std::uint32_t maxInProgress = 0;
    Millis drainDelay; ///< From SIGTERM until the socket may close, for the balancer to notice.
    Millis drainTimeout; ///< Longest wait for requests in progress.
};

/// @return the settings that may stand in the INI file
[[nodiscard]] boost::program_options::options_description gatewayOptions();

/// @brief Reads the checked settings.
/// @return SettingInvalid, or what reading the key files gave
[[nodiscard]] Result<GatewaySettings>
readGatewaySettings(const boost::program_options::variables_map &values);

} // namespace balsamport

#endif
