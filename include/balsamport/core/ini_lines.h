#ifndef BALSAMPORT_CORE_INI_LINES_H
#define BALSAMPORT_CORE_INI_LINES_H

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief Finds the line of a key in the text of an INI file, for error messages.
/// @param section empty for keys before the first section
/// @param key empty for the header of the section
/// @return the line, counted from 1; 0 if there is none
/// @complexity linear in the length of the text
[[nodiscard]] std::uint32_t findIniLine(std::string_view text, std::string_view section,
                                        std::string_view key) noexcept;

} // namespace balsamport

#endif
