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
    std::uint32_t lineNumber = 0;
    std::string_view currentSection;
    while (!text.empty()) {
        ++lineNumber;
        const std::size_t end = text.find('\n');
        const std::string_view line = trim(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        if (line.size() >= 2 && line.front() == '[' && line.back() == ']') {
            currentSection = trim(line.substr(1, line.size() - 2));
            if (currentSection == section && key.empty()) {
                return lineNumber;
            }
            continue;
        }
        if (currentSection == section && !key.empty()
            && trim(line.substr(0, line.find('='))) == key) {
            return lineNumber;
        }
    }
    return 0;
}

} // namespace balsamport
