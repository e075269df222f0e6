#include <balsamport/policy/claim_key.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace balsamport {

namespace {

constexpr std::string_view ticketPrefix = "ticket.";
constexpr std::size_t uuidLength = 36;
constexpr std::int64_t millisPerSecond = 1000;
constexpr std::int64_t secondsPerDay = 86'400;

std::optional<std::uint64_t> parseHex(std::string_view text)
{
    std::uint64_t number = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number, 16);
    if (text.empty() || result.ec != std::errc() || result.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::int64_t> parseDecimal(std::string_view text)
{
    std::int64_t number = 0;
    if (text.empty()
        || !std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; })) {
        return std::nullopt;
    }
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

bool isHexDigit(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

bool hasUuidFormat(std::string_view text)
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

/// Returns the days from 1970-01-01 to a date of the Gregorian calendar.
std::int64_t daysFromCivil(std::int64_t year, std::int64_t month, std::int64_t day)
{
    const std::int64_t y = month <= 2 ? year - 1 : year;
    const std::int64_t era = y / 400;
    const std::int64_t yearOfEra = y - era * 400;
    const std::int64_t monthFromMarch = month > 2 ? month - 3 : month + 9;
    const std::int64_t dayOfYear = (153 * monthFromMarch + 2) / 5 + day - 1;
    const std::int64_t dayOfEra = yearOfEra * 365 + yearOfEra / 4 - yearOfEra / 100 + dayOfYear;
    return era * 146'097 + dayOfEra - 719'468;
}

std::optional<std::int64_t> parseMonth(std::string_view name)
{
    constexpr auto months = std::to_array<std::string_view>(
            {"Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"});
    const auto found = std::find(months.begin(), months.end(), name);
    if (found == months.end()) {
        return std::nullopt;
    }
    return found - months.begin() + 1;
}

Error invalidDate(std::string_view value)
{
    return Error{ErrorCode::InvalidHeader,
                 "\"" + std::string(value) + "\" is not a date as in HTTP"};
}

} // namespace

RequestKey formatTicket(const Ticket &ticket)
{
    std::array<char, 48> numbers{};
    std::snprintf(numbers.data(), numbers.size(), ".%llx.%llx",
                  static_cast<unsigned long long>(ticket.witness.incarnation.number()),
                  static_cast<unsigned long long>(ticket.number));
    return RequestKey(std::string(ticketPrefix) + ticket.witness.vm.str() + numbers.data());
}

std::optional<Ticket> parseTicket(std::string_view key)
{
    if (!key.starts_with(ticketPrefix)) {
        return std::nullopt;
    }
    const std::size_t numberDot = key.rfind('.');
    const std::size_t incarnationDot = key.rfind('.', numberDot - 1);
    if (incarnationDot == std::string_view::npos || incarnationDot <= ticketPrefix.size()) {
        return std::nullopt;
    }
    const auto incarnation
            = parseHex(key.substr(incarnationDot + 1, numberDot - incarnationDot - 1));
    const auto number = parseHex(key.substr(numberDot + 1));
    if (!incarnation || !number) {
        return std::nullopt;
    }
    const std::string_view vm
            = key.substr(ticketPrefix.size(), incarnationDot - ticketPrefix.size());
    return Ticket{{VmId(vm), Incarnation(*incarnation)}, *number};
}

std::optional<Millis> uuid7Time(std::string_view key)
{
    constexpr std::size_t versionDigit = 14;
    if (!hasUuidFormat(key) || key[versionDigit] != '7') {
        return std::nullopt;
    }
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    return Millis(static_cast<std::int64_t>(parseHex(digits).value_or(0)));
}

Result<Millis> parseFirstSent(std::string_view value)
{
    constexpr std::size_t dateLength = 29;
    if (value.size() != dateLength || value[3] != ',' || value[4] != ' ' || value[7] != ' '
        || value[11] != ' ' || value[16] != ' ' || value[19] != ':' || value[22] != ':'
        || value.substr(25) != " GMT") {
        return invalidDate(value);
    }
    const auto day = parseDecimal(value.substr(5, 2));
    const auto month = parseMonth(value.substr(8, 3));
    const auto year = parseDecimal(value.substr(12, 4));
    const auto hour = parseDecimal(value.substr(17, 2));
    const auto minute = parseDecimal(value.substr(20, 2));
    const auto second = parseDecimal(value.substr(23, 2));
    if (!day || !month || !year || !hour || !minute || !second) {
        return invalidDate(value);
    }
    if (*year < 1970 || *day < 1 || *day > 31 || *hour > 23 || *minute > 59 || *second > 60) {
        return invalidDate(value);
    }
    const std::int64_t days = daysFromCivil(*year, *month, *day);
    const std::int64_t seconds = days * secondsPerDay + *hour * 3600 + *minute * 60 + *second;
    return Millis(seconds * millisPerSecond);
}

Result<RequestKey> checkKey(std::string_view key)
{
    if (key.empty()) {
        return Error{ErrorCode::KeyMissing, "Idempotency-Key is missing"};
    }
    const bool visible
            = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (key.size() > maxKeyBytes || !visible) {
        return Error{ErrorCode::KeyInvalid, "Idempotency-Key must be 1 to 255 visible characters"};
    }
    return RequestKey(key);
}

std::optional<Millis> firstSentOf(std::string_view key, std::optional<Millis> header)
{
    if (const auto inKey = uuid7Time(key)) {
        return inKey;
    }
    return header;
}

RequestKey scopedKey(const CallerId &caller, const RequestKey &key)
{
    if (caller.empty()) {
        return key;
    }
    return RequestKey(std::to_string(caller.str().size()) + ":" + caller.str() + "/" + key.str());
}

} // namespace balsamport
