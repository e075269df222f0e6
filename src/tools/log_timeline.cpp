#include <balsamport/tools/log_timeline.h>

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace balsamport {

namespace {

/// Commands for an adapter that were sent up to this long before a request's arrival may be its
/// load. Source: a load takes 250 ms, and proportionally longer where more loads run at once than
/// the store can serve.
constexpr Millis loadCommandLookBack{10'000};

/// Events that report a state which the daemon assumes until a newer event of the same group.
struct AssumptionKind
{
    const char *event;
    const char *group; ///< The newest line of a group supersedes the earlier ones.
    bool ofServer; ///< The state concerns one server, which the line names.
};

constexpr std::array<AssumptionKind, 17> assumptionKinds{{
        {"config_in_force", "config", false},
        {"store_lost", "store", false},
        {"store_back", "store", false},
        {"store_history_lost", "store", false},
        {"paused", "paused", false},
        {"stopping", "stopping", false},
        {"peer_silent", "peer", false},
        {"log_dropped", "log", false},
        {"server_seen", "listing", true},
        {"server_missing", "listing", true},
        {"server_gone", "listing", true},
        {"engine_owned", "owner", true},
        {"engine_given_up", "owner", true},
        {"orders_allowed", "orders", true},
        {"orders_doubted", "orders", true},
        {"engine_order_count", "orders", true},
        {"engine_restarted", "orders", true},
}};

const AssumptionKind *findAssumptionKind(const std::string &event)
{
    const auto *const found
            = std::find_if(assumptionKinds.begin(), assumptionKinds.end(),
                           [&event](const AssumptionKind &kind) { return event == kind.event; });
    return found == assumptionKinds.end() ? nullptr : found;
}

std::string toText(const rapidjson::Value &value)
{
    if (value.IsString()) {
        return std::string(value.GetString(), value.GetStringLength());
    }
    if (value.IsInt64()) {
        return std::to_string(value.GetInt64());
    }
    if (value.IsBool()) {
        return value.GetBool() ? "true" : "false";
    }
    return std::string();
}

std::string valueOf(const LogLine &line, const char *name)
{
    const auto found = line.values.find(name);
    return found == line.values.end() ? std::string() : found->second;
}

std::optional<Millis> millisOf(const LogLine &line, const char *name)
{
    const std::string text = valueOf(line, name);
    std::int64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || read.ec != std::errc()) {
        return std::nullopt;
    }
    return Millis(number);
}

/// Returns whether only the daemon that serves the caller writes lines of this event.
bool isOfServingDaemon(const LogLine &line)
{
    static const std::set<std::string> events{
            "place",   "sent",  "served",        "refused",     "failed",
            "not_run", "retry", "server_failed", "send_failed", "stream_broken"};
    return events.count(line.event) != 0;
}

/// Derives the request's arrival from a line's elapsed time; empty where the line has none.
std::optional<Millis> arrivalFrom(const LogLine &line)
{
    for (const char *name : {"since_arrival_ms", "waited_ms", "took_ms"}) {
        if (const auto since = millisOf(line, name)) {
            return line.at - *since;
        }
    }
    return std::nullopt;
}

Millis arrivalOf(const std::vector<LogLine> &servingLines)
{
    Millis arrival = servingLines.front().at;
    for (const LogLine &line : servingLines) {
        arrival = std::min(arrival, arrivalFrom(line).value_or(line.at));
    }
    return arrival;
}

/// Returns the offset of an owner's clock, smallest in magnitude, that puts each grant request
/// between the request's arrival and the owner's verdict. Where none does, no grant request may
/// precede the arrival.
Millis clockOffsetOf(const VmId &owner, const std::vector<LogLine> &ownerLines,
                     const std::vector<LogLine> &servingLines, Millis arrival)
{
    std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    std::map<std::string, std::vector<Millis>> verdicts; // By server, in time order.
    for (const LogLine &line : servingLines) {
        if (line.event == "place") {
            verdicts[valueOf(line, "server")].push_back(line.at);
        }
    }
    std::map<std::string, std::size_t> grantRequestCounts;
    for (const LogLine &line : ownerLines) {
        if (line.vm != owner) {
            continue;
        }
        lowest = std::max(lowest, (arrival - line.at).count());
        const std::string server = valueOf(line, "server");
        const std::vector<Millis> &serverVerdicts = verdicts[server];
        const std::size_t grantRequestIndex = grantRequestCounts[server]++;
        if (grantRequestIndex < serverVerdicts.size()) {
            highest = std::min(highest, (serverVerdicts[grantRequestIndex] - line.at).count());
        }
    }
    return Millis(lowest > highest ? lowest : std::clamp<std::int64_t>(0, lowest, highest));
}

/// Returns what the participating daemons assumed: the newest line of each group up to `from`, and
/// all lines after it up to `to`.
std::vector<TimelineStep> assumptionsDuring(const std::vector<TimelineStep> &all,
                                            const std::set<VmId> &vms,
                                            const std::set<std::string> &servers, Millis from,
                                            Millis to)
{
    std::map<std::tuple<VmId, std::string, std::string>, TimelineStep> newest;
    std::vector<TimelineStep> chosen;
    for (const TimelineStep &step : all) {
        const AssumptionKind *const kind = findAssumptionKind(step.line.event);
        const std::string server = valueOf(step.line, "server");
        if (kind == nullptr || vms.count(step.line.vm) == 0 || step.at > to
            || (kind->ofServer && servers.count(server) == 0)) {
            continue;
        }
        if (step.at > from) {
            chosen.push_back(step);
        } else {
            newest.insert_or_assign({step.line.vm, kind->group, server}, step);
        }
    }
    for (const auto &[key, step] : newest) {
        chosen.push_back(step);
    }
    return chosen;
}

bool isCommandFor(const LogLine &line, const std::set<std::string> &servers,
                  const std::string &adapter)
{
    return line.event == "order" && !adapter.empty() && valueOf(line, "adapter") == adapter
            && servers.count(valueOf(line, "server")) != 0;
}

const TimelineStep *findLast(const std::vector<TimelineStep> &steps, std::string_view event)
{
    const auto found
            = std::find_if(steps.rbegin(), steps.rend(), [event](const TimelineStep &step) {
                  return !step.isAssumption && step.line.event == event;
              });
    return found == steps.rend() ? nullptr : &*found;
}

void addRefusalFindings(const RequestTimeline &timeline, std::vector<std::string> &findings)
{
    const TimelineStep *const refused = findLast(timeline.steps, "refused");
    if (refused == nullptr) {
        return;
    }
    findings.push_back(
            fmt::format("refused with {} ({}) after {} ms, {} engines queried, {} sends",
                        valueOf(refused->line, "status"), valueOf(refused->line, "error"),
                        valueOf(refused->line, "took_ms"), valueOf(refused->line, "asks"),
                        valueOf(refused->line, "sends")));
    for (const TimelineStep &step : timeline.steps) {
        const std::string server = valueOf(step.line, "server");
        if (step.line.event == "place_asked" && valueOf(step.line, "orders_allowed") == "false") {
            findings.push_back(fmt::format("{}: its owner {} was not yet allowed to send it "
                                           "commands, so no load could start",
                                           server, step.line.vm.str()));
        } else if (step.line.event == "place_asked") {
            findings.push_back(fmt::format(
                    "{}: {} adapter slots in use, {} waiting, {} running, {} ms expected", server,
                    valueOf(step.line, "places"), valueOf(step.line, "waiting"),
                    valueOf(step.line, "running"), valueOf(step.line, "expected_wait_ms")));
        } else if (step.line.event == "place" && valueOf(step.line, "verdict") == "not_owner") {
            findings.push_back(fmt::format("{}: the queried daemon does not own it", server));
        }
    }
}

void addFailedSendFindings(const RequestTimeline &timeline, std::vector<std::string> &findings)
{
    for (const TimelineStep &step : timeline.steps) {
        if (step.line.event == "send_failed") {
            findings.push_back(fmt::format("{} after {} ms at {}", valueOf(step.line, "error"),
                                           valueOf(step.line, "after_ms"),
                                           valueOf(step.line, "server")));
        } else if (step.line.event == "retry" && valueOf(step.line, "allowed") == "false") {
            findings.push_back("the shared retry budget allowed no further send");
        }
    }
    const TimelineStep *const failed = findLast(timeline.steps, "failed");
    if (failed != nullptr) {
        findings.push_back(
                fmt::format("responded with {} ({}): it may have run, or no further send was left",
                            valueOf(failed->line, "status"), valueOf(failed->line, "error")));
    }
}

/// Adds the wait of a request that was served, and the adapter load that it waited for.
void addWaitFindings(const RequestTimeline &timeline, std::vector<std::string> &findings)
{
    const TimelineStep *const sent = findLast(timeline.steps, "sent");
    if (sent == nullptr || findLast(timeline.steps, "served") == nullptr) {
        return;
    }
    const std::string server = valueOf(sent->line, "server");
    findings.push_back(fmt::format("waited {} ms for its grant on {}, first chunk after {} ms, "
                                   "longest token gap {} ms",
                                   valueOf(sent->line, "waited_ms"), server,
                                   valueOf(findLast(timeline.steps, "served")->line, "first_ms"),
                                   valueOf(findLast(timeline.steps, "served")->line, "gap_ms")));
    Millis loadStarted;
    bool loading = false;
    for (const TimelineStep &step : timeline.steps) {
        if (step.line.event != "order" || valueOf(step.line, "server") != server
            || valueOf(step.line, "kind") != "load_adapter" || step.at > sent->at) {
            continue;
        }
        if (valueOf(step.line, "outcome") == "accepted" && !loading) {
            loadStarted = step.at;
            loading = true;
        } else if (valueOf(step.line, "outcome") == "already_holds" && loading) {
            findings.push_back(fmt::format("its adapter {} was loaded while it waited, in {} ms",
                                           valueOf(step.line, "adapter"),
                                           (step.at - loadStarted).count()));
            loading = false;
        }
    }
}

} // namespace

Result<LogLine> parseLogLine(std::string_view text)
{
    rapidjson::Document document;
    document.Parse(text.data(), text.size());
    if (document.HasParseError() || !document.IsObject()) {
        return Error{ErrorCode::MessageInvalid, "a log line is not a JSON object"};
    }
    LogLine line;
    bool hasTime = false;
    const rapidjson::Value &object = document;
    for (auto member = object.MemberBegin(); member != object.MemberEnd(); ++member) {
        const std::string name = toText(member->name);
        if (name == "at" && member->value.IsInt64()) {
            line.at = Millis(member->value.GetInt64());
            hasTime = true;
        } else if (name == "node") {
            line.vm = VmId(toText(member->value));
        } else if (name == "event") {
            line.event = toText(member->value);
        } else {
            line.values.emplace(name, toText(member->value));
        }
    }
    if (!hasTime || line.vm.str().empty() || line.event.empty()) {
        return Error{ErrorCode::MessageInvalid, "a log line lacks at, node or event"};
    }
    return line;
}

Result<RequestTimeline> buildTimeline(std::vector<LogLine> lines, const RequestId &request)
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.at < b.at; });
    std::vector<LogLine> servingLines;
    std::vector<LogLine> ownerLines;
    for (const LogLine &line : lines) {
        if (valueOf(line, "request") == request.str()) {
            (isOfServingDaemon(line) ? servingLines : ownerLines).push_back(line);
        }
    }
    if (servingLines.empty() && ownerLines.empty()) {
        return Error{ErrorCode::UnknownPath, "no line names request " + request.str()};
    }
    RequestTimeline timeline;
    timeline.request = request;
    timeline.servingVm = servingLines.empty() ? VmId(valueOf(ownerLines.front(), "from"))
                                              : servingLines.front().vm;
    const Millis arrival = arrivalOf(servingLines.empty() ? ownerLines : servingLines);
    const Millis end = servingLines.empty() ? ownerLines.back().at : servingLines.back().at;

    std::set<VmId> vms{timeline.servingVm};
    std::set<std::string> servers;
    std::string adapter;
    for (const std::vector<LogLine> *part : {&servingLines, &ownerLines}) {
        for (const LogLine &line : *part) {
            vms.insert(line.vm);
            servers.insert(valueOf(line, "server"));
            adapter = adapter.empty() ? valueOf(line, "adapter") : adapter;
        }
    }
    servers.erase(std::string());
    for (const VmId &vm : vms) {
        if (vm != timeline.servingVm) {
            timeline.clockOffsets[vm] = clockOffsetOf(vm, ownerLines, servingLines, arrival);
        }
    }
    std::vector<TimelineStep> all;
    for (LogLine &line : lines) {
        const auto shift = timeline.clockOffsets.find(line.vm);
        const Millis at = shift == timeline.clockOffsets.end() ? line.at : line.at + shift->second;
        all.push_back(TimelineStep{at, false, std::move(line)});
    }
    for (const TimelineStep &step : all) {
        const bool isCommand = vms.count(step.line.vm) != 0
                && isCommandFor(step.line, servers, adapter)
                && step.at > arrival - loadCommandLookBack && step.at <= end;
        if (isCommand || valueOf(step.line, "request") == request.str()) {
            timeline.steps.push_back(step);
        }
    }
    for (TimelineStep &step : assumptionsDuring(all, vms, servers, arrival, end)) {
        step.isAssumption = true;
        timeline.steps.push_back(std::move(step));
    }
    std::stable_sort(timeline.steps.begin(), timeline.steps.end(),
                     [](const TimelineStep &a, const TimelineStep &b) { return a.at < b.at; });
    addRefusalFindings(timeline, timeline.findings);
    addFailedSendFindings(timeline, timeline.findings);
    addWaitFindings(timeline, timeline.findings);
    return timeline;
}

std::string timelineAsText(const RequestTimeline &timeline)
{
    std::string text
            = fmt::format("request {} at {}\n", timeline.request.str(), timeline.servingVm.str());
    for (const auto &[vm, shift] : timeline.clockOffsets) {
        if (shift.count() != 0) {
            text += fmt::format("clock of {} moved by {} ms\n", vm.str(), shift.count());
        }
    }
    std::vector<LogLine> servingLines;
    for (const TimelineStep &step : timeline.steps) {
        if (!step.isAssumption && step.line.vm == timeline.servingVm
            && isOfServingDaemon(step.line)) {
            servingLines.push_back(step.line);
        }
    }
    const Millis arrival
            = servingLines.empty() ? timeline.steps.front().at : arrivalOf(servingLines);
    for (const TimelineStep &step : timeline.steps) {
        text += fmt::format("{:>9} ms  {}{} {}", (step.at - arrival).count(),
                            step.isAssumption ? "belief  " : "", step.line.vm.str(),
                            step.line.event);
        for (const auto &[name, value] : step.line.values) {
            text += name == "request" ? std::string() : fmt::format(" {}={}", name, value);
        }
        text += '\n';
    }
    text += "findings\n";
    for (const std::string &finding : timeline.findings) {
        text += "  " + finding + "\n";
    }
    return text;
}

} // namespace balsamport
