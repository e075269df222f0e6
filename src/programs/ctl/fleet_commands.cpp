#include "commands.h"

#include "controllers.h"

#include <balsamport/tools/log_timeline.h>
#include <balsamport/tools/status_table.h>

#include <fstream>
#include <iostream>
#include <utility>

namespace balsamport::ctl {

namespace {

Result<wire::StatusReply> statusIn(const Result<wire::Envelope> &reply)
{
    if (reply.has_error()) {
        return reply.error();
    }
    if (!reply.value().has_status_reply()) {
        return Error{ErrorCode::MessageInvalid, "the response holds no status", SourceLocation{}};
    }
    return reply.value().status_reply();
}

/// @return true where the controller explained
bool printExplanation(const std::string &endpoint, const Result<wire::Envelope> &reply)
{
    std::cout << endpoint << "\n";
    if (reply.has_error()) {
        std::cout << "  no response: " << describe(reply.error()) << "\n";
        return false;
    }
    const wire::ExplainReply &explanation = reply.value().explain_reply();
    for (const std::string &step : explanation.steps()) {
        std::cout << "  " << step << "\n";
    }
    if (explanation.error_code() != 0) {
        std::cout << "  " << errorName(static_cast<ErrorCode>(explanation.error_code())) << "\n";
        return false;
    }
    return true;
}

/// Reads the event lines of a log and counts other lines, such as the output of a crash.
void readLog(std::istream &stream, std::vector<LogLine> &lines, std::size_t &ignored)
{
    std::string text;
    while (std::getline(stream, text)) {
        Result<LogLine> line = parseLogLine(text);
        if (line.has_value()) {
            lines.push_back(std::move(line).value());
        } else {
            ++ignored;
        }
    }
}

int explainFromLogs(const CommandLine &line)
{
    std::vector<LogLine> lines;
    std::size_t ignored = 0;
    for (const std::string &name : line.logFiles) {
        if (name == "-") {
            readLog(std::cin, lines, ignored);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            return printError(Error{ErrorCode::SettingFileUnreadable, "cannot read the log",
                                    SourceLocation{name, 0, ""}});
        }
        readLog(file, lines, ignored);
    }
    if (ignored > 0) {
        std::cerr << ignored << " lines are not events and were ignored\n";
    }
    const Result<RequestTimeline> timeline
            = buildTimeline(std::move(lines), RequestId(line.arguments.front()));
    if (timeline.has_error()) {
        std::cerr << describe(timeline.error()) << '\n';
        return exitcode::failure;
    }
    std::cout << timelineAsText(timeline.value());
    return exitcode::success;
}

} // namespace

int status(const CommandLine &line)
{
    if (line.endpoints.empty() || !line.arguments.empty()) {
        return printUsage("status --endpoint tcp://IP:PORT... [--json]");
    }
    wire::Envelope message;
    message.mutable_status_request();
    const auto replies = queryControllers(line, message);
    if (replies.has_error()) {
        return printError(replies.error());
    }
    std::vector<ControllerStatus> fleet;
    for (std::size_t i = 0; i < line.endpoints.size(); ++i) {
        fleet.push_back(ControllerStatus{line.endpoints[i], statusIn(replies.value()[i])});
    }
    std::cout << (line.json ? statusAsJson(fleet) : statusAsTable(fleet));
    return statusWarnings(fleet).empty() ? exitcode::success : exitcode::failure;
}

int explain(const CommandLine &line)
{
    if (!line.logFiles.empty() && line.endpoints.empty() && line.arguments.size() == 1) {
        return explainFromLogs(line);
    }
    if (line.endpoints.empty() || line.arguments.size() != 1) {
        return printUsage("explain ADAPTER|ALIAS|REQUEST-ID --endpoint tcp://IP:PORT..., or "
                          "explain REQUEST-ID --log FILE...");
    }
    wire::Envelope message;
    wire::ExplainRequest &request = *message.mutable_explain_request();
    request.set_adapter(line.arguments.front());
    request.set_request_id(line.arguments.front());
    const auto replies = queryControllers(line, message);
    if (replies.has_error()) {
        return printError(replies.error());
    }
    bool explained = false;
    for (std::size_t i = 0; i < line.endpoints.size(); ++i) {
        explained = printExplanation(line.endpoints[i], replies.value()[i]) || explained;
    }
    return explained ? exitcode::success : exitcode::failure;
}

} // namespace balsamport::ctl
