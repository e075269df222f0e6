#include <balsamport/core/http_status.h>
#include <balsamport/tools/response_check.h>

#include <rapidjson/document.h>

#include <algorithm>
#include <array>
#include <sstream>

namespace balsamport {

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view endMark = "[DONE]";

/// The text of an answer and how it ended.
struct AnswerText
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

/// The text of the first choice, in whichever form the API gives it.
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

void addChoices(const rapidjson::Document &document, AnswerText &answer)
{
    const auto choices = document.FindMember("choices");
    if (choices == document.MemberEnd() || !choices->value.IsArray() || choices->value.Empty()
        || !choices->value[0].IsObject()) {
        answer.malformed = true;
        return;
    }
    answer.text += choiceText(choices->value[0]);
    answer.model = memberText(document, "model");
    const bool stopped = !memberText(choices->value[0], "finish_reason").empty();
    answer.finished = answer.finished || stopped;
}

AnswerText readWhole(const std::string &body)
{
    AnswerText answer;
    rapidjson::Document document;
    if (!parse(body, document)) {
        answer.malformed = true;
        return answer;
    }
    addChoices(document, answer);
    return answer;
}

AnswerText readStream(const std::string &body)
{
    AnswerText answer;
    bool sawEndMark = false;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(dataPrefix)) {
            continue;
        }
        const std::string data = line.substr(dataPrefix.size());
        if (data == endMark) {
            sawEndMark = true;
            continue;
        }
        rapidjson::Document document;
        if (!parse(data, document)) {
            // A line that broke off is a cut, not another kind of answer.
            answer.malformed = !lines.eof();
        } else if (hasTypedError(document)) {
            answer.failed = true;
        } else {
            addChoices(document, answer);
        }
    }
    answer.finished = answer.finished && sawEndMark;
    return answer;
}

std::vector<std::string> wordsOf(const std::string &text)
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
    constexpr std::size_t namedWords = 2;
    for (std::size_t i = 0; i < words.size(); ++i) {
        const bool right = i == 0 ? endsWithAny(words[i], expected.model.servedBy)
                : i == 1          ? words[i].starts_with(expected.requestId)
                                  : words[i] == "t" + std::to_string(i - namedWords);
        if (right) {
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
    const bool typed = parse(received.body, document) && hasTypedError(document);
    if (typed) {
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
    const AnswerText answer
            = expected.stream ? readStream(received.body) : readWhole(received.body);
    if (answer.failed) {
        return ResponseVerdict::Failed;
    }
    if (answer.malformed) {
        return received.ended ? ResponseVerdict::Malformed : ResponseVerdict::Truncated;
    }
    const ResponseVerdict verdict = checkWords(expected, wordsOf(answer.text));
    const bool whole = received.ended && answer.finished;
    return verdict == ResponseVerdict::Good && !whole ? ResponseVerdict::Truncated : verdict;
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
    const Error noRuns{ErrorCode::InvalidJson, "the ledger has no \"runs\"", Place{}};
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
