#include <balsamport/tools/status_table.h>

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <map>
#include <set>

namespace balsamport {

namespace {

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

/// Returns each backend server's status as its effective owner reports it, or as the first
/// controller that knows it does where none is its owner.
std::map<std::string, wire::ServerStatus> serversOf(const std::vector<ControllerStatus> &fleet)
{
    std::map<std::string, wire::ServerStatus> servers;
    for (const ControllerStatus &controller : fleet) {
        if (controller.reply.has_error()) {
            continue;
        }
        for (const wire::ServerStatus &server : controller.reply.value().servers()) {
            const auto known = servers.find(server.backend_server());
            if (known == servers.end() || (server.effective() && !known->second.effective())) {
                servers[server.backend_server()] = server;
            }
        }
    }
    return servers;
}

std::string vmRow(const ControllerStatus &controller)
{
    if (controller.reply.has_error()) {
        return fmt::format("{:<12}{}\n", "?",
                           controller.endpoint + ": " + describe(controller.reply.error()));
    }
    const wire::StatusReply &reply = controller.reply.value();
    return fmt::format("{:<12}{:<12}{:>9} {:016x}{:>9}{:>10}{:>10}{:>9}{:>8}{:>9}{:>12}{:>7}\n",
                       reply.instance().vm(), reply.data_centre(), reply.config_revision(),
                       reply.config_digest(), reply.config_age_ms(), yesNo(reply.view_confirmed()),
                       yesNo(reply.platform_reachable()), yesNo(reply.leaving()),
                       reply.claims_held(), reply.suspects(), reply.quarantined(),
                       reply.loads_started());
}

/// Plain services have no slots.
std::string slotsText(const wire::ServerStatus &server)
{
    return server.slots() == 0 ? "-" : fmt::format("{}/{}", server.resident(), server.slots());
}

std::string serverRow(const std::string &id, const wire::ServerStatus &server)
{
    return fmt::format("{:<22}{:<12}{:>10}{:>16}{:>9}{:>9}{:>8}{:>7}{:>9}{:>11}\n", id,
                       server.owner_vm().empty() ? "none" : server.owner_vm(),
                       yesNo(server.effective()), server.fencing(), slotsText(server),
                       server.running(), server.queued(), server.loads_in_flight(),
                       yesNo(server.leaving()), yesNo(server.reachable()));
}

void warnOfController(const ControllerStatus &controller, std::vector<std::string> &warnings)
{
    if (controller.reply.has_error()) {
        warnings.push_back(controller.endpoint
                           + " does not respond: " + describe(controller.reply.error()));
        return;
    }
    const wire::StatusReply &reply = controller.reply.value();
    const std::string &vm = reply.instance().vm();
    if (!reply.view_confirmed()) {
        warnings.push_back(vm + " has no confirmed view of its data centre");
    }
    if (!reply.platform_reachable()) {
        warnings.push_back(vm + " does not reach the platform");
    }
    if (!reply.last_refused().empty()) {
        warnings.push_back(vm + " refused a configuration revision: " + reply.last_refused());
    }
    if (reply.quarantined() > 0) {
        warnings.push_back(fmt::format("{} refuses {} requests that crash backend servers", vm,
                                       reply.quarantined()));
    }
}

void warnOfRevisions(const std::vector<ControllerStatus> &fleet, std::vector<std::string> &warnings)
{
    std::set<std::pair<std::uint64_t, std::uint64_t>> revisions;
    for (const ControllerStatus &controller : fleet) {
        if (controller.reply.has_value()) {
            const wire::StatusReply &reply = controller.reply.value();
            revisions.emplace(reply.config_revision(), reply.config_digest());
        }
    }
    if (revisions.size() > 1) {
        warnings.push_back(
                fmt::format("the controllers hold {} different configurations", revisions.size()));
    }
}

void warnOfOwners(const std::vector<ControllerStatus> &fleet, std::vector<std::string> &warnings)
{
    std::map<std::string, std::uint32_t> owners;
    for (const ControllerStatus &controller : fleet) {
        if (controller.reply.has_error()) {
            continue;
        }
        for (const wire::ServerStatus &server : controller.reply.value().servers()) {
            owners[server.backend_server()] += server.effective() ? 1 : 0;
        }
    }
    const bool allResponded = std::all_of(fleet.begin(), fleet.end(), [](const auto &controller) {
        return controller.reply.has_value();
    });
    for (const auto &[server, count] : owners) {
        if (count > 1) {
            warnings.push_back(
                    fmt::format("{} controllers report that they own {}", count, server));
        } else if (count == 0 && allResponded) {
            warnings.push_back("no controller may send commands to " + server + " now");
        }
    }
}

} // namespace

std::vector<std::string> statusWarnings(const std::vector<ControllerStatus> &fleet)
{
    std::vector<std::string> warnings;
    for (const ControllerStatus &controller : fleet) {
        warnOfController(controller, warnings);
    }
    warnOfRevisions(fleet, warnings);
    warnOfOwners(fleet, warnings);
    return warnings;
}

std::string statusAsTable(const std::vector<ControllerStatus> &fleet)
{
    std::string text
            = fmt::format("{:<12}{:<12}{:>9} {:<16}{:>9}{:>10}{:>10}{:>9}{:>8}{:>9}{:>12}"
                          "{:>7}\n",
                          "vm", "data centre", "revision", "digest", "age ms", "confirmed",
                          "platform", "leaving", "claims", "suspects", "quarantined", "loads");
    for (const ControllerStatus &controller : fleet) {
        text += vmRow(controller);
    }
    text += fmt::format("\n{:<22}{:<12}{:>10}{:>16}{:>9}{:>9}{:>8}{:>7}{:>9}{:>11}\n",
                        "backend server", "owner", "effective", "fencing", "slots", "running",
                        "queued", "loads", "leaving", "reachable");
    for (const auto &[id, server] : serversOf(fleet)) {
        text += serverRow(id, server);
    }
    text += "\n";
    for (const ControllerStatus &controller : fleet) {
        if (controller.reply.has_value()) {
            const wire::StatusReply &reply = controller.reply.value();
            text += fmt::format("{}: {} platform calls, {} bytes sent, {} received\n",
                                reply.instance().vm(), reply.platform_calls(),
                                reply.wire_bytes_sent(), reply.wire_bytes_received());
        }
    }
    for (const std::string &warning : statusWarnings(fleet)) {
        text += "WARNING: " + warning + "\n";
    }
    return text;
}

std::string statusAsJson(const std::vector<ControllerStatus> &fleet)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string text = "[";
    for (const ControllerStatus &controller : fleet) {
        text += text.size() > 1 ? ",\n" : "\n";
        std::string body;
        const bool written = controller.reply.has_value()
                && google::protobuf::util::MessageToJsonString(controller.reply.value(), &body,
                                                               options)
                           .ok();
        const std::string_view field = written ? "status" : "error";
        if (!written) {
            const auto code = controller.reply.has_error() ? controller.reply.error().code
                                                           : ErrorCode::MessageInvalid;
            body = fmt::format("\"{}\"", errorName(code));
        }
        text += fmt::format(R"({{"endpoint":"{}","{}":{}}})", controller.endpoint, field, body);
    }
    return text + "\n]\n";
}

} // namespace balsamport
