#include <balsamport/core/ini_lines.h>

namespace balsamport {

namespace {

std::string_view trim(std::string_view text) noexcept
{
    constexpr std::string_view blanks = " \t\r";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

std::uint32_t findIniLine(std::string_view text, std::string_view section,
                          std::string_view key) noexcept
{
    std::uint32_t number = 0;
    std::string_view current;
    while (!text.empty()) {
        ++number;
        const std::size_t end = text.find('\n');
        const std::string_view line = trim(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (line.size() >= 2 && line.front() == '[' && line.back() == ']') {
            current = trim(line.substr(1, line.size() - 2));
            if (current == section && key.empty()) {
                return number;
            }
            continue;
        }
        if (current == section && !key.empty() && trim(line.substr(0, line.find('='))) == key) {
            return number;
        }
    }
    return 0;
}

} // namespace balsamport
