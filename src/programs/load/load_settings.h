#ifndef BALSAMPORT_LOAD_SETTINGS_H
#define BALSAMPORT_LOAD_SETTINGS_H

#include <balsamport/core/settings.h>
#include <balsamport/tools/workload.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief Settings of a run of the load tool: targets, workload and report.
struct LoadSettings
{
    WorkloadSettings workload;
    std::vector<std::string> gateways; ///< IP:PORT
    std::vector<std::string> engines; ///< IP:PORT; their batch fill is sampled.
    std::vector<std::string> ledgers; ///< IP:PORT of the replicas of the booking service.
    std::string service; ///< Name of the booking service.
    std::string apiKey; ///< Empty for none.
    std::string output; ///< Folder of the report; empty for none.
    Millis timeout{60'000}; ///< Of each request.
};

/// @return the descriptions of the settings, for --help and the INI file
[[nodiscard]] boost::program_options::options_description loadOptions();

/// @brief Converts and validates the settings.
/// @return SettingInvalid where a value is missing or out of range
[[nodiscard]] Result<LoadSettings>
readLoadSettings(const boost::program_options::variables_map &values);

} // namespace balsamport

#endif
