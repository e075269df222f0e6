#ifndef BALSAMPORT_FILTERS_FIRST_SENT_H
#define BALSAMPORT_FILTERS_FIRST_SENT_H

#include <balsamport/core/clock.h>

#include <optional>
#include <string_view>

namespace balsamport {

/// @brief Reads an HTTP date such as `Sun, 06 Nov 1994 08:49:37 GMT`.
/// @return wall clock time; nothing where the text is no such date
[[nodiscard]] std::optional<Millis> parseHttpDate(std::string_view text) noexcept;

/// @brief Reads the time that a UUID of version 7 carries.
/// @return wall clock time; nothing where the text is no such UUID
[[nodiscard]] std::optional<Millis> parseUuid7Time(std::string_view text) noexcept;

} // namespace balsamport

#endif
