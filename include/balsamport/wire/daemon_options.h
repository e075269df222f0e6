#ifndef BALSAMPORT_WIRE_DAEMON_OPTIONS_H
#define BALSAMPORT_WIRE_DAEMON_OPTIONS_H

#include <balsamport/core/error.h>
#include <balsamport/wire/key_files.h>

#include <boost/program_options.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Adds the settings that gateway and controller share: `vm.id`, `vm.data-centre` and
/// `keys.*`.
void addDaemonOptions(boost::program_options::options_description &options);

/// @brief Reads the `keys.*` settings.
[[nodiscard]] KeyFileSettings
keyFileSettingsFrom(const boost::program_options::variables_map &values);

/// @brief Splits a list at its commas; blanks around items and empty items are left out.
[[nodiscard]] std::vector<std::string> splitSettingList(const std::string &text);

/// @return whether a text has the form tcp://IP:PORT
[[nodiscard]] bool isEndpoint(std::string_view text) noexcept;

/// @return SettingInvalid with the key, the value and what was expected
[[nodiscard]] Error invalidSettingError(const char *key, const std::string &value,
                                        const char *expected);

} // namespace balsamport

#endif
