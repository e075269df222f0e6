#include <balsamport/core/http_status.h>
#include <balsamport/tools/response_check.h>

#include <rapidjson/document.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace balsamport {

namespace {

constexpr std::string_view sseDataPrefix = "data: ";
constexpr std::string_view streamEndMarker = "[DONE]";

/// The text of a response and how it ended.
struct CompletionText
{
    std::string text;
    std::string model;
    bool finished = false;
    bool failed = false;
    bool malformed = false;
};

bool parse(const std::string &text, rapidjson::Document &document)
{
    return !document.Parse(text.c_str(), text.size()).HasParseError() && document.IsObject();
}

std::string memberText(const rapidjson::Value &object, const char *name)
{
    const auto found = object.FindMember(name);
    return found != object.MemberEnd() && found->value.IsString() ? found->value.GetString() : "";
}

bool hasTypedError(const rapidjson::Value &document)
{
    const auto error = document.FindMember("error");
    return error != document.MemberEnd() && error->value.IsObject()
            && !memberText(error->value, "type").empty();
}

/// Returns the text of the first choice, from a message, a delta or a plain text.
std::string choiceText(const rapidjson::Value &choice)
{
    for (const char *name : {"message", "delta"}) {
        const auto found = choice.FindMember(name);
        if (found != choice.MemberEnd() && found->value.IsObject()) {
            return memberText(found->value, "content");
        }
    }
    return memberText(choice, "text");
}

void addChoices(const rapidjson::Document &document, CompletionText &completion)
{
    const auto choices = document.FindMember("choices");
    if (choices == document.MemberEnd() || !choices->value.IsArray() || choices->value.Empty()
        || !choices->value[0].IsObject()) {
        completion.malformed = true;
        return;
    }
    completion.text += choiceText(choices->value[0]);
    completion.model = memberText(document, "model");
    const bool stopped = !memberText(choices->value[0], "finish_reason").empty();
    completion.finished = completion.finished || stopped;
}

CompletionText parseComplete(const std::string &body)
{
    CompletionText completion;
    rapidjson::Document document;
    if (!parse(body, document)) {
        completion.malformed = true;
        return completion;
    }
    addChoices(document, completion);
    return completion;
}

CompletionText parseStream(const std::string &body)
{
    CompletionText completion;
    bool hasEndMark = false;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(sseDataPrefix)) {
            continue;
        }
        const std::string data = line.substr(sseDataPrefix.size());
        if (data == streamEndMarker) {
            hasEndMark = true;
            continue;
        }
        rapidjson::Document document;
        if (!parse(data, document)) {
            // A last line without its end is a truncated response, not a malformed one.
            completion.malformed = !lines.eof();
        } else if (hasTypedError(document)) {
            completion.failed = true;
        } else {
            addChoices(document, completion);
        }
    }
    completion.finished = completion.finished && hasEndMark;
    return completion;
}

std::vector<std::string> splitWords(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

bool endsWithAny(const std::string &text, const std::vector<std::string> &endings)
{
    return std::any_of(endings.begin(), endings.end(),
                       [&text](const std::string &ending) { return text.ends_with("/" + ending); });
}

ResponseVerdict checkWords(const ExpectedCompletion &expected,
                           const std::vector<std::string> &words)
{
    constexpr std::size_t headerWords = 2;
    for (std::size_t i = 0; i < words.size(); ++i) {
        const bool isExpected = i == 0 ? endsWithAny(words[i], expected.model.servedBy)
                : i == 1               ? words[i].starts_with(expected.requestId)
                                       : words[i] == "t" + std::to_string(i - headerWords);
        if (isExpected) {
            continue;
        }
        const bool isRepeat = i > 0
                && std::find(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(i),
                             words[i])
                        != words.begin() + static_cast<std::ptrdiff_t>(i);
        return isRepeat ? ResponseVerdict::Duplicated : ResponseVerdict::Wrong;
    }
    if (words.size() > expected.tokens) {
        return ResponseVerdict::Duplicated;
    }
    return words.size() < expected.tokens ? ResponseVerdict::Truncated : ResponseVerdict::Good;
}

std::optional<ResponseVerdict> checkStatus(const ObservedResponse &received)
{
    if (received.status == 0) {
        return ResponseVerdict::NoResponse;
    }
    if (!httpstatus::isError(received.status)) {
        return std::nullopt;
    }
    rapidjson::Document document;
    const bool hasType = parse(received.body, document) && hasTypedError(document);
    if (hasType) {
        return ResponseVerdict::Refused;
    }
    return received.ended ? ResponseVerdict::Malformed : ResponseVerdict::Truncated;
}

} // namespace

std::string_view verdictName(ResponseVerdict verdict) noexcept
{
    constexpr std::array<std::string_view, 8> names{"good",  "refused", "failed",  "no-answer",
                                                    "wrong", "cut",     "doubled", "malformed"};
    return names.at(static_cast<std::size_t>(verdict));
}

bool isViolation(ResponseVerdict verdict) noexcept
{
    return verdict >= ResponseVerdict::Wrong;
}

ResponseVerdict checkCompletion(const ExpectedCompletion &expected,
                                const ObservedResponse &received)
{
    if (const auto verdict = checkStatus(received)) {
        return *verdict;
    }
    const CompletionText completion
            = expected.stream ? parseStream(received.body) : parseComplete(received.body);
    if (completion.failed) {
        return ResponseVerdict::Failed;
    }
    if (completion.malformed) {
        return received.ended ? ResponseVerdict::Malformed : ResponseVerdict::Truncated;
    }
    const ResponseVerdict verdict = checkWords(expected, splitWords(completion.text));
    const bool isComplete = received.ended && completion.finished;
    return verdict == ResponseVerdict::Good && !isComplete ? ResponseVerdict::Truncated : verdict;
}

ResponseVerdict checkBooking(const std::string &key, const ObservedResponse &received)
{
    if (const auto verdict = checkStatus(received)) {
        return *verdict;
    }
    rapidjson::Document document;
    if (!received.ended || !parse(received.body, document)) {
        return received.ended ? ResponseVerdict::Malformed : ResponseVerdict::Truncated;
    }
    return memberText(document, "key") == key ? ResponseVerdict::Good : ResponseVerdict::Wrong;
}

Result<void> addLedger(std::string_view json, Ledger &ledger)
{
    rapidjson::Document document;
    const Error noRuns{ErrorCode::InvalidJson, "the ledger has no \"runs\"", SourceLocation{}};
    if (!parse(std::string(json), document)) {
        return noRuns;
    }
    const rapidjson::Value &root = document;
    const auto runs = root.FindMember("runs");
    if (runs == root.MemberEnd() || !runs->value.IsObject()) {
        return noRuns;
    }
    for (const auto &run : runs->value.GetObject()) {
        ledger[run.name.GetString()] += run.value.IsUint64() ? run.value.GetUint64() : 0;
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

LedgerFaults checkLedger(const std::map<std::string, BookingRecord> &records, const Ledger &ledger)
{
    LedgerFaults faults;
    for (const auto &[key, record] : records) {
        const auto found = ledger.find(key);
        const std::uint64_t runs = found == ledger.end() ? 0 : found->second;
        faults.ranTwice += runs > 1 ? 1 : 0;
        faults.ranThoughReportedNotRun += runs > 0 && record.reportedNotRun ? 1 : 0;
        faults.missingThoughReportedRan += runs == 0 && record.reportedRan ? 1 : 0;
    }
    return faults;
}

} // namespace balsamport
