#include "section_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace balsamport {

namespace {

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string_view> splitList(std::string_view text)
{
    std::vector<std::string_view> items;
    while (!trim(text).empty()) {
        const std::size_t comma = text.find(',');
        items.push_back(trim(text.substr(0, comma)));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return items;
}

template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

bool isName(std::string_view text)
{
    constexpr std::string_view punctuation = "-_.:";
    const auto isNameCharacter = [punctuation](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0
                || punctuation.find(c) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    return port && *port != 0
            && text.substr(0, colon).find_first_not_of("0123456789abcdefABCDEF.:[]")
            == std::string_view::npos;
}

bool isSha256(std::string_view text)
{
    constexpr std::size_t sha256Digits = 64;
    return text.size() == sha256Digits
            && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::optional<ParsedTarget> parseTarget(std::string_view text)
{
    ParsedTarget target;
    const std::size_t at = text.find('@');
    if (at == std::string_view::npos || !isName(text.substr(0, at))) {
        return std::nullopt;
    }
    target.adapter = std::string(text.substr(0, at));
    std::string_view rest = text.substr(at + 1);
    const std::size_t colon = rest.find(':');
    if (colon != std::string_view::npos) {
        const auto share = parseNumber<std::uint32_t>(rest.substr(colon + 1));
        constexpr std::uint32_t maxShare = 1'000'000;
        if (!share || *share > maxShare) {
            return std::nullopt;
        }
        target.share = *share;
        rest = rest.substr(0, colon);
    }
    const auto version = parseNumber<std::uint64_t>(rest);
    if (!version || *version == 0) {
        return std::nullopt;
    }
    target.version = *version;
    return target;
}

bool isCall(std::string_view text)
{
    const std::size_t blank = text.find(' ');
    const std::string_view method = text.substr(0, blank);
    const bool isUpperCase = std::all_of(method.begin(), method.end(), [](char c) {
        return std::isupper(static_cast<unsigned char>(c)) != 0;
    });
    if (method.empty() || !isUpperCase) {
        return false;
    }
    return blank == std::string_view::npos || trim(text.substr(blank)).front() == '/';
}

bool hasValidFormat(ValueKind kind, std::string_view text)
{
    switch (kind) {
    case ValueKind::Name:
        return isName(text);
    case ValueKind::Boolean:
        return text == "true" || text == "false";
    case ValueKind::Address:
        return isAddress(text);
    case ValueKind::Sha256:
        return isSha256(text);
    case ValueKind::BackendKind:
        return text == "engine" || text == "service";
    default:
        return !text.empty();
    }
}

} // namespace

SectionReader::SectionReader(const MergedSection &mergedSection, const SectionSchema &sectionSchema,
                             std::vector<Error> &errorList)
    : section(mergedSection)
    , schema(sectionSchema)
    , errors(errorList)
{
    this->checkKeys();
}

void SectionReader::checkKeys()
{
    for (const auto &[key, value] : this->section.values) {
        if (findKeySchema(this->schema, key) == nullptr) {
            std::string knownKeys;
            for (const KeySchema &known : this->schema.keys) {
                knownKeys += (knownKeys.empty() ? "" : ", ") + std::string(known.key);
            }
            this->errors.push_back(Error{ErrorCode::ConfigUnknownKey,
                                         "there is no such key; expected one of " + knownKeys,
                                         value.origin});
        }
    }
    for (const KeySchema &key : this->schema.keys) {
        if (key.required && !this->has(key.key)) {
            SourceLocation location = this->section.origin;
            location.key = std::string(key.key);
            this->errors.push_back(Error{ErrorCode::ConfigMissingKey,
                                         "must be given; expected " + describeExpected(key),
                                         location});
        }
    }
}

bool SectionReader::has(std::string_view key) const
{
    return this->section.values.count(std::string(key)) != 0;
}

SourceLocation SectionReader::locationOf(std::string_view key) const
{
    const auto found = this->section.values.find(std::string(key));
    return found == this->section.values.end() ? this->section.origin : found->second.origin;
}

void SectionReader::report(ErrorCode code, std::string_view key, const std::string &expected)
{
    const auto found = this->section.values.find(std::string(key));
    const std::string value = found == this->section.values.end() ? "" : found->second.text;
    this->errors.push_back(Error{code, "\"" + value + "\" is not valid; expected " + expected,
                                 this->locationOf(key)});
}

std::string SectionReader::text(std::string_view key)
{
    const KeySchema &keySchema = *findKeySchema(this->schema, key);
    const auto found = this->section.values.find(std::string(key));
    if (found == this->section.values.end()) {
        return std::string(keySchema.defaultText);
    }
    if (!hasValidFormat(keySchema.kind, found->second.text)) {
        this->report(ErrorCode::ConfigInvalidValue, key, describeExpected(keySchema));
        return std::string(keySchema.defaultText);
    }
    return found->second.text;
}

std::int64_t SectionReader::integer(std::string_view key)
{
    const KeySchema &keySchema = *findKeySchema(this->schema, key);
    const std::int64_t defaultNumber
            = parseNumber<std::int64_t>(keySchema.defaultText).value_or(keySchema.minimum);
    const auto found = this->section.values.find(std::string(key));
    if (found == this->section.values.end()) {
        return defaultNumber;
    }
    const auto number = parseNumber<std::int64_t>(found->second.text);
    if (!number || *number < keySchema.minimum || *number > keySchema.maximum) {
        this->report(ErrorCode::ConfigInvalidValue, key, describeExpected(keySchema));
        return defaultNumber;
    }
    return *number;
}

bool SectionReader::boolean(std::string_view key)
{
    return this->text(key) == "true";
}

std::vector<std::uint64_t> SectionReader::versions(std::string_view key)
{
    std::vector<std::uint64_t> list;
    const std::string value = this->text(key);
    for (const std::string_view item : splitList(value)) {
        const auto version = parseNumber<std::uint64_t>(item);
        if (!version || *version == 0 || (!list.empty() && *version <= list.back())) {
            this->report(ErrorCode::ConfigInvalidValue, key,
                         describeExpected(*findKeySchema(this->schema, key)));
            return {};
        }
        list.push_back(*version);
    }
    return list;
}

std::vector<ParsedTarget> SectionReader::targets(std::string_view key)
{
    std::vector<ParsedTarget> list;
    const std::string value = this->text(key);
    for (const std::string_view item : splitList(value)) {
        const auto target = parseTarget(item);
        if (!target) {
            this->report(ErrorCode::ConfigInvalidValue, key,
                         describeExpected(*findKeySchema(this->schema, key)));
            return {};
        }
        list.push_back(*target);
    }
    return list;
}

std::vector<std::string> SectionReader::calls(std::string_view key)
{
    std::vector<std::string> list;
    const std::string value = this->text(key);
    for (const std::string_view item : splitList(value)) {
        if (!isCall(item)) {
            this->report(ErrorCode::ConfigInvalidValue, key,
                         describeExpected(*findKeySchema(this->schema, key)));
            return {};
        }
        list.emplace_back(item);
    }
    return list;
}

} // namespace balsamport
