#include <balsamport/tools/config_diff.h>

#include <fmt/format.h>

#include <set>

namespace balsamport {

namespace {

std::optional<std::string> findText(const std::map<std::string, MergedValue> &values,
                                    const std::string &key)
{
    const auto found = values.find(key);
    return found == values.end() ? std::nullopt : std::optional<std::string>(found->second.text);
}

template<typename T>
std::set<std::string> keysOfBoth(const std::map<std::string, T> &a,
                                 const std::map<std::string, T> &b)
{
    std::set<std::string> keys;
    for (const auto &[key, value] : a) {
        keys.insert(key);
    }
    for (const auto &[key, value] : b) {
        keys.insert(key);
    }
    return keys;
}

void diffSection(const std::string &title, const MergedSection &before, const MergedSection &after,
                 std::vector<ConfigChange> &changes)
{
    for (const std::string &key : keysOfBoth(before.values, after.values)) {
        ConfigChange change{
                title, key, findText(before.values, key), findText(after.values, key), {}};
        if (change.before == change.after) {
            continue;
        }
        const auto &values = change.after ? after.values : before.values;
        change.origin = values.at(key).origin;
        changes.push_back(std::move(change));
    }
}

std::string locationText(const SourceLocation &origin)
{
    return fmt::format("{}:{}", origin.file, origin.line);
}

std::string formatChange(const ConfigChange &change)
{
    const std::string name
            = "[" + change.section + "]" + (change.key.empty() ? "" : " " + change.key + ":");
    if (change.before && change.after) {
        return fmt::format("~ {} {} -> {} ({})\n", name, *change.before, *change.after,
                           locationText(change.origin));
    }
    const std::string &value = change.after ? *change.after : *change.before;
    return fmt::format("{} {}{}{} ({})\n", change.after ? "+" : "-", name, value.empty() ? "" : " ",
                       value, locationText(change.origin));
}

std::optional<std::vector<BackendServerId>> resolveServers(const Snapshot &snapshot,
                                                           const std::string &name)
{
    if (snapshot.backendServers.contains(BackendServerId(name))) {
        return std::vector{BackendServerId(name)};
    }
    if (!snapshot.dataCentres.contains(DataCentreId(name))) {
        return std::nullopt;
    }
    std::vector<BackendServerId> servers;
    for (const auto &[id, server] : snapshot.backendServers) {
        if (server.dataCentre == DataCentreId(name)) {
            servers.push_back(id);
        }
    }
    return servers;
}

} // namespace

std::vector<ConfigChange> diffConfigs(const MergedConfig &before, const MergedConfig &after)
{
    std::vector<ConfigChange> changes;
    const MergedSection none;
    for (const std::string &title : keysOfBoth(before.sections, after.sections)) {
        const auto previous = before.sections.find(title);
        const auto current = after.sections.find(title);
        const bool isAdded = previous == before.sections.end();
        const bool isRemoved = current == after.sections.end();
        if (isAdded) {
            changes.push_back(ConfigChange{title, "", std::nullopt, "", current->second.origin});
        } else if (isRemoved) {
            changes.push_back(ConfigChange{title, "", "", std::nullopt, previous->second.origin});
            continue;
        }
        diffSection(title, isAdded ? none : previous->second, current->second, changes);
    }
    return changes;
}

std::string diffAsText(const std::vector<ConfigChange> &changes)
{
    std::string text;
    for (const ConfigChange &change : changes) {
        text += formatChange(change);
    }
    return text;
}

std::string mergeAsText(const MergedConfig &merged)
{
    std::string text;
    for (const auto &[title, section] : merged.sections) {
        text += fmt::format("[{}]\n", title);
        for (const auto &[key, value] : section.values) {
            text += fmt::format("; {}\n{} = {}\n", locationText(value.origin), key, value.text);
        }
        text += "\n";
    }
    return text;
}

Result<std::string> drainOverride(const Snapshot &snapshot, const std::vector<std::string> &names,
                                  bool draining)
{
    std::set<BackendServerId> servers;
    for (const std::string &name : names) {
        const auto found = resolveServers(snapshot, name);
        if (!found) {
            return Error{ErrorCode::ConfigUnknownReference,
                         "\"" + name + "\" is neither a backend server nor a data centre",
                         SourceLocation{}};
        }
        servers.insert(found->begin(), found->end());
    }
    std::string text = "; Put this file into the folder, last in the order of names.\n";
    for (const BackendServerId &id : servers) {
        text += fmt::format("[backend-server {}]\nleaving = {}\n\n", id.str(), draining);
    }
    return text;
}

} // namespace balsamport
