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

/// Orders for an adapter this long before a request was decided may be its load. Source: a load
/// takes 250 ms, in proportion longer where more than the store's share are under way.
constexpr Millis orderLookBack{10'000};

/// Beliefs that only the newest line tells, and whether they are about one server.
struct BeliefKind
{
    const char *event;
    const char *group; ///< Of lines with one group, the newest holds.
    bool ofServer;
};

constexpr std::array<BeliefKind, 17> beliefKinds{{
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

const BeliefKind *beliefKindOf(const std::string &event)
{
    const auto *const found
            = std::find_if(beliefKinds.begin(), beliefKinds.end(),
                           [&event](const BeliefKind &kind) { return event == kind.event; });
    return found == beliefKinds.end() ? nullptr : found;
}

std::string asText(const rapidjson::Value &value)
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

/// Lines that only the daemon which answers the caller writes.
bool isOfAnsweringDaemon(const LogLine &line)
{
    static const std::set<std::string> events{
            "place",   "sent",  "served",        "refused",     "failed",
            "not_run", "retry", "server_failed", "send_failed", "stream_broken"};
    return events.count(line.event) != 0;
}

/// When the request came, as far as a line of the answering daemon tells.
std::optional<Millis> arrivalIn(const LogLine &line)
{
    for (const char *name : {"since_arrival_ms", "waited_ms", "took_ms"}) {
        if (const auto since = millisOf(line, name)) {
            return line.at - *since;
        }
    }
    return std::nullopt;
}

Millis arrivalOf(const std::vector<LogLine> &own)
{
    Millis arrival = own.front().at;
    for (const LogLine &line : own) {
        arrival = std::min(arrival, arrivalIn(line).value_or(line.at));
    }
    return arrival;
}

/// The smallest shift that puts each question to an owner between arrival and verdict.
Millis shiftOf(const VmId &owner, const std::vector<LogLine> &asked,
               const std::vector<LogLine> &own, Millis arrival)
{
    std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    std::map<std::string, std::vector<Millis>> verdicts; // By server, in order.
    for (const LogLine &line : own) {
        if (line.event == "place") {
            verdicts[valueOf(line, "server")].push_back(line.at);
        }
    }
    std::map<std::string, std::size_t> used;
    for (const LogLine &line : asked) {
        if (line.vm != owner) {
            continue;
        }
        lowest = std::max(lowest, (arrival - line.at).count());
        const std::string server = valueOf(line, "server");
        const std::vector<Millis> &back = verdicts[server];
        const std::size_t turn = used[server]++;
        if (turn < back.size()) {
            highest = std::min(highest, (back[turn] - line.at).count());
        }
    }
    return Millis(lowest > highest ? lowest : std::clamp<std::int64_t>(0, lowest, highest));
}

/// Beliefs of the daemons that took part: the newest of each kind, and those that changed
/// meanwhile.
std::vector<TimelineStep> beliefsOf(const std::vector<TimelineStep> &all, const std::set<VmId> &vms,
                                    const std::set<std::string> &servers, Millis from, Millis to)
{
    std::map<std::tuple<VmId, std::string, std::string>, TimelineStep> newest;
    std::vector<TimelineStep> chosen;
    for (const TimelineStep &step : all) {
        const BeliefKind *const kind = beliefKindOf(step.line.event);
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

bool isOrderFor(const LogLine &line, const std::set<std::string> &servers,
                const std::string &adapter)
{
    return line.event == "order" && !adapter.empty() && valueOf(line, "adapter") == adapter
            && servers.count(valueOf(line, "server")) != 0;
}

const TimelineStep *lastOf(const std::vector<TimelineStep> &steps, std::string_view event)
{
    const auto found
            = std::find_if(steps.rbegin(), steps.rend(), [event](const TimelineStep &step) {
                  return !step.belief && step.line.event == event;
              });
    return found == steps.rend() ? nullptr : &*found;
}

void findRefusal(const RequestTimeline &timeline, std::vector<std::string> &findings)
{
    const TimelineStep *const refused = lastOf(timeline.steps, "refused");
    if (refused == nullptr) {
        return;
    }
    findings.push_back(
            fmt::format("refused with {} ({}) after {} ms, {} engines asked, {} sends",
                        valueOf(refused->line, "status"), valueOf(refused->line, "error"),
                        valueOf(refused->line, "took_ms"), valueOf(refused->line, "asks"),
                        valueOf(refused->line, "sends")));
    for (const TimelineStep &step : timeline.steps) {
        const std::string server = valueOf(step.line, "server");
        if (step.line.event == "place_asked" && valueOf(step.line, "orders_allowed") == "false") {
            findings.push_back(fmt::format("{}: its owner {} might not order it yet, so it could "
                                           "load nothing",
                                           server, step.line.vm.str()));
        } else if (step.line.event == "place_asked") {
            findings.push_back(fmt::format(
                    "{}: {} places in use, {} waiting, {} running, {} ms expected", server,
                    valueOf(step.line, "places"), valueOf(step.line, "waiting"),
                    valueOf(step.line, "running"), valueOf(step.line, "expected_wait_ms")));
        } else if (step.line.event == "place" && valueOf(step.line, "verdict") == "not_owner") {
            findings.push_back(
                    fmt::format("{}: the daemon that was asked does not own it", server));
        }
    }
}

void findFailedSends(const RequestTimeline &timeline, std::vector<std::string> &findings)
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
    const TimelineStep *const failed = lastOf(timeline.steps, "failed");
    if (failed != nullptr) {
        findings.push_back(fmt::format("answered {} ({}): it may have run, or no send was left",
                                       valueOf(failed->line, "status"),
                                       valueOf(failed->line, "error")));
    }
}

/// Names the wait of a request that was served, and the load that it waited for.
void findWait(const RequestTimeline &timeline, std::vector<std::string> &findings)
{
    const TimelineStep *const sent = lastOf(timeline.steps, "sent");
    if (sent == nullptr || lastOf(timeline.steps, "served") == nullptr) {
        return;
    }
    const std::string server = valueOf(sent->line, "server");
    findings.push_back(fmt::format("waited {} ms for its place on {}, first piece after {} ms, "
                                   "longest pause {} ms",
                                   valueOf(sent->line, "waited_ms"), server,
                                   valueOf(lastOf(timeline.steps, "served")->line, "first_ms"),
                                   valueOf(lastOf(timeline.steps, "served")->line, "gap_ms")));
    Millis began;
    bool loading = false;
    for (const TimelineStep &step : timeline.steps) {
        if (step.line.event != "order" || valueOf(step.line, "server") != server
            || valueOf(step.line, "kind") != "load_adapter" || step.at > sent->at) {
            continue;
        }
        if (valueOf(step.line, "outcome") == "accepted" && !loading) {
            began = step.at;
            loading = true;
        } else if (valueOf(step.line, "outcome") == "already_holds" && loading) {
            findings.push_back(fmt::format("its adapter {} was loaded meanwhile, in {} ms",
                                           valueOf(step.line, "adapter"),
                                           (step.at - began).count()));
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
        return Error{ErrorCode::MessageInvalid, "a log line is no JSON object"};
    }
    LogLine line;
    bool hasTime = false;
    const rapidjson::Value &object = document;
    for (auto member = object.MemberBegin(); member != object.MemberEnd(); ++member) {
        const std::string name = asText(member->name);
        if (name == "at" && member->value.IsInt64()) {
            line.at = Millis(member->value.GetInt64());
            hasTime = true;
        } else if (name == "node") {
            line.vm = VmId(asText(member->value));
        } else if (name == "event") {
            line.event = asText(member->value);
        } else {
            line.values.emplace(name, asText(member->value));
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
    std::vector<LogLine> own;
    std::vector<LogLine> asked;
    for (const LogLine &line : lines) {
        if (valueOf(line, "request") == request.str()) {
            (isOfAnsweringDaemon(line) ? own : asked).push_back(line);
        }
    }
    if (own.empty() && asked.empty()) {
        return Error{ErrorCode::UnknownPath, "no line names request " + request.str()};
    }
    RequestTimeline timeline;
    timeline.request = request;
    timeline.respondingVm = own.empty() ? VmId(valueOf(asked.front(), "from")) : own.front().vm;
    const Millis arrival = arrivalOf(own.empty() ? asked : own);
    const Millis end = own.empty() ? asked.back().at : own.back().at;

    std::set<VmId> vms{timeline.respondingVm};
    std::set<std::string> servers;
    std::string adapter;
    for (const std::vector<LogLine> *part : {&own, &asked}) {
        for (const LogLine &line : *part) {
            vms.insert(line.vm);
            servers.insert(valueOf(line, "server"));
            adapter = adapter.empty() ? valueOf(line, "adapter") : adapter;
        }
    }
    servers.erase(std::string());
    for (const VmId &vm : vms) {
        if (vm != timeline.respondingVm) {
            timeline.clockOffsets[vm] = shiftOf(vm, asked, own, arrival);
        }
    }
    std::vector<TimelineStep> all;
    for (LogLine &line : lines) {
        const auto shift = timeline.clockOffsets.find(line.vm);
        const Millis at = shift == timeline.clockOffsets.end() ? line.at : line.at + shift->second;
        all.push_back(TimelineStep{at, false, std::move(line)});
    }
    for (const TimelineStep &step : all) {
        const bool order = vms.count(step.line.vm) != 0 && isOrderFor(step.line, servers, adapter)
                && step.at > arrival - orderLookBack && step.at <= end;
        if (order || valueOf(step.line, "request") == request.str()) {
            timeline.steps.push_back(step);
        }
    }
    for (TimelineStep &step : beliefsOf(all, vms, servers, arrival, end)) {
        step.belief = true;
        timeline.steps.push_back(std::move(step));
    }
    std::stable_sort(timeline.steps.begin(), timeline.steps.end(),
                     [](const TimelineStep &a, const TimelineStep &b) { return a.at < b.at; });
    findRefusal(timeline, timeline.findings);
    findFailedSends(timeline, timeline.findings);
    findWait(timeline, timeline.findings);
    return timeline;
}

std::string timelineAsText(const RequestTimeline &timeline)
{
    std::string text = fmt::format("request {} at {}\n", timeline.request.str(),
                                   timeline.respondingVm.str());
    for (const auto &[vm, shift] : timeline.clockOffsets) {
        if (shift.count() != 0) {
            text += fmt::format("clock of {} moved by {} ms\n", vm.str(), shift.count());
        }
    }
    std::vector<LogLine> own;
    for (const TimelineStep &step : timeline.steps) {
        if (!step.belief && step.line.vm == timeline.respondingVm
            && isOfAnsweringDaemon(step.line)) {
            own.push_back(step.line);
        }
    }
    const Millis arrival = own.empty() ? timeline.steps.front().at : arrivalOf(own);
    for (const TimelineStep &step : timeline.steps) {
        text += fmt::format("{:>9} ms  {}{} {}", (step.at - arrival).count(),
                            step.belief ? "belief  " : "", step.line.vm.str(), step.line.event);
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
