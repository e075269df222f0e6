#ifndef BALSAMPORT_LOAD_SETTINGS_H
#define BALSAMPORT_LOAD_SETTINGS_H

#include <balsamport/core/settings.h>
#include <balsamport/tools/workload.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief Where the load goes, what it is, and where the report is written.
struct LoadSettings
{
    WorkloadSettings workload;
    std::vector<std::string> gateways; ///< IP:PORT
    std::vector<std::string> engines; ///< IP:PORT; asked for their batch fill.
    std::vector<std::string> ledgers; ///< IP:PORT of the replicas of the booking service.
    std::string service; ///< Name of the booking service.
    std::string apiKey; ///< Empty for none.
    std::string output; ///< Folder of the report; empty for none.
    Millis timeout{60'000};
};

[[nodiscard]] boost::program_options::options_description loadOptions();

/// @return SettingInvalid where a value does not make sense
[[nodiscard]] Result<LoadSettings>
readLoadSettings(const boost::program_options::variables_map &values);

} // namespace balsamport

#endif
