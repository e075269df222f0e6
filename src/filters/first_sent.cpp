#include <balsamport/filters/first_sent.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>

namespace balsamport {

namespace {

constexpr std::size_t httpDateLength = 29; // Sun, 06 Nov 1994 08:49:37 GMT
constexpr std::size_t uuidLength = 36;
constexpr std::size_t uuidTimeDigits = 12;

std::optional<int> parseDigits(std::string_view text, int base = 10) noexcept
{
    int number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, base);
    const bool whole = parsed.ec == std::errc() && parsed.ptr == end && text.front() != '-';
    return whole ? std::optional<int>(number) : std::nullopt;
}

std::optional<unsigned> parseMonth(std::string_view text) noexcept
{
    constexpr std::array<std::string_view, 12> months{"Jan", "Feb", "Mar", "Apr", "May", "Jun",
                                                      "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"};
    const auto *const found = std::find(months.begin(), months.end(), text);
    if (found == months.end()) {
        return std::nullopt;
    }
    return static_cast<unsigned>(found - months.begin()) + 1;
}

bool hasDateMarks(std::string_view text) noexcept
{
    return text.size() == httpDateLength && text.substr(3, 2) == ", " && text[7] == ' '
            && text[11] == ' ' && text[16] == ' ' && text[19] == ':' && text[22] == ':'
            && text.substr(25) == " GMT";
}

bool isHexDigit(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool isUuid(std::string_view text) noexcept
{
    if (text.size() != uuidLength) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? text[i] != '-' : !isHexDigit(text[i])) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<Millis> parseHttpDate(std::string_view text) noexcept
{
    using namespace std::chrono;
    if (!hasDateMarks(text)) {
        return std::nullopt;
    }
    const auto dayNumber = parseDigits(text.substr(5, 2));
    const auto monthNumber = parseMonth(text.substr(8, 3));
    const auto yearNumber = parseDigits(text.substr(12, 4));
    const auto hour = parseDigits(text.substr(17, 2));
    const auto minute = parseDigits(text.substr(20, 2));
    const auto second = parseDigits(text.substr(23, 2));
    if (!dayNumber || !monthNumber || !yearNumber || !hour || !minute || !second) {
        return std::nullopt;
    }
    const year_month_day date{year(*yearNumber), month(*monthNumber),
                              day(static_cast<unsigned>(*dayNumber))};
    constexpr int lastHour = 23;
    constexpr int lastMinute = 59;
    constexpr int leapSecond = 60;
    if (!date.ok() || *hour > lastHour || *minute > lastMinute || *second > leapSecond) {
        return std::nullopt;
    }
    const auto time = sys_days(date) + hours(*hour) + minutes(*minute) + seconds(*second);
    return Millis(duration_cast<milliseconds>(time.time_since_epoch()).count());
}

std::optional<Millis> parseUuid7Time(std::string_view text) noexcept
{
    constexpr std::size_t versionAt = 14;
    constexpr std::size_t dashAt = 8;
    if (!isUuid(text) || text[versionAt] != '7') {
        return std::nullopt;
    }
    std::array<char, uuidTimeDigits> digits{};
    std::copy_n(text.begin(), dashAt, digits.begin());
    std::copy_n(text.begin() + dashAt + 1, uuidTimeDigits - dashAt, digits.begin() + dashAt);
    std::int64_t millis = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), millis, 16);
    return Millis(millis);
}

} // namespace balsamport
