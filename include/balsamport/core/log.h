#ifndef BALSAMPORT_CORE_LOG_H
#define BALSAMPORT_CORE_LOG_H

#include <glog/logging.h>

#include <string_view>

namespace balsamport {

/// Prefixes of log lines by component. Format of a line: `prefix: Short sentence. key=value ...`.
namespace logprefix {
constexpr std::string_view config = "config: ";
constexpr std::string_view member = "member: ";
constexpr std::string_view owner = "owner: ";
constexpr std::string_view route = "route: ";
constexpr std::string_view grant = "grant: ";
constexpr std::string_view load = "load: ";
constexpr std::string_view claim = "claim: ";
constexpr std::string_view retry = "retry: ";
constexpr std::string_view suspect = "suspect: ";
constexpr std::string_view http = "http: ";
constexpr std::string_view wire = "wire: ";
constexpr std::string_view daemon = "daemon: ";
constexpr std::string_view standin = "standin: ";
} // namespace logprefix

/// @brief Starts logging to standard error. Creates no log files.
/// @param program name of the program, with static lifetime
/// @param minimumLevel 0 info, 1 warning, 2 error
void startLogging(const char *program, int minimumLevel = 0);

} // namespace balsamport

#endif
