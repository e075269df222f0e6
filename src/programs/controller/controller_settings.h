#ifndef BALSAMPORT_PROGRAMS_CONTROLLER_SETTINGS_H
#define BALSAMPORT_PROGRAMS_CONTROLLER_SETTINGS_H

#include <balsamport/core/clock.h>
#include <balsamport/core/settings.h>
#include <balsamport/policy/members.h>
#include <balsamport/wire/key_files.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief Settings of the controller daemon.
struct ControllerSettings
{
    Member self; ///< The incarnation is set when the daemon starts.
    std::string platformAddress; ///< IP:PORT
    std::vector<std::string> peerEndpoints; ///< Seed nodes: queried before any member is known.
    KeyFileSettings keys;
    Millis drainWait; ///< Time after SIGTERM in which other VMs take over.

    bool operator==(const ControllerSettings &) const = default;
};

/// @return the descriptions of the settings, for --help and the INI file
[[nodiscard]] boost::program_options::options_description controllerOptions();

/// @return SettingInvalid where a value has the wrong form
[[nodiscard]] Result<ControllerSettings>
readControllerSettings(const boost::program_options::variables_map &values);

} // namespace balsamport

#endif
