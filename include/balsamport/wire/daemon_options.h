#ifndef BALSAMPORT_WIRE_DAEMON_OPTIONS_H
#define BALSAMPORT_WIRE_DAEMON_OPTIONS_H

#include <balsamport/core/error.h>
#include <balsamport/wire/key_files.h>

#include <boost/program_options.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Adds the common settings of gateway and controller: `vm.id`, `vm.data-centre` and
/// `keys.*`.
void addDaemonOptions(boost::program_options::options_description &options);

/// @brief Reads the settings `keys.*`.
[[nodiscard]] KeyFileSettings
keyFileSettingsFrom(const boost::program_options::variables_map &values);

/// @brief Splits a list at commas; removes blanks around items, and empty items.
[[nodiscard]] std::vector<std::string> splitSettingList(const std::string &text);

/// @return true if a text has the form tcp://IP:PORT; the address itself is not checked
[[nodiscard]] bool isEndpoint(std::string_view text) noexcept;

/// @return SettingInvalid with the key, the value and the expected format
[[nodiscard]] Error invalidSettingError(const char *key, const std::string &value,
                                        const char *expected);

} // namespace balsamport

#endif
