#include <balsamport/filters/model_name.h>

#include <charconv>

namespace balsamport {

namespace {

/// Parses a decimal number without sign or leading zero; nothing where the text is anything else.
std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
    if (!isNumber || (text.size() > 1 && text.front() == '0')) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::optional<ModelName> parseModelName(std::string_view text)
{
    const std::size_t at = text.rfind('@');
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto version = parseNumber(text.substr(at + 1));
    std::string_view name = text.substr(0, at);
    BaseModelId base;
    const std::size_t slash = name.find('/');
    if (slash != std::string_view::npos) {
        base = BaseModelId(name.substr(0, slash));
        name.remove_prefix(slash + 1);
        if (base.empty()) {
            return std::nullopt;
        }
    }
    if (!version || name.empty()) {
        return std::nullopt;
    }
    return ModelName{base, AdapterId(name), AdapterVersion(*version)};
}

} // namespace balsamport
