#include <balsamport/edge/event_splitter.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace balsamport {

namespace {

constexpr std::string_view eventTerminator = "\n\n";
constexpr std::string_view idField = "id:";

/// @return the value of the last id field of an event
std::optional<std::string_view> idOf(std::string_view event)
{
    std::optional<std::string_view> id;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (line.substr(0, idField.size()) != idField) {
            continue;
        }
        line.remove_prefix(idField.size());
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        id = line;
    }
    return id;
}

bool isDecimal(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char digit) {
        return digit >= '0' && digit <= '9';
    });
}

bool follows(std::string_view id, std::string_view previousId)
{
    if (!isDecimal(id) || !isDecimal(previousId)) {
        return id != previousId;
    }
    id.remove_prefix(std::min(id.find_first_not_of('0'), id.size()));
    previousId.remove_prefix(std::min(previousId.find_first_not_of('0'), previousId.size()));
    return std::pair(id.size(), id) > std::pair(previousId.size(), previousId);
}

/// A comment, such as a keep-alive, is no event for the caller.
bool isComment(std::string_view event)
{
    constexpr char commentMark = ':';
    while (!event.empty()) {
        if (event.front() != commentMark) {
            return false;
        }
        const std::size_t end = event.find('\n');
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    }
    return true;
}

/// @return false if the event is out of order
bool recordEvent(EventSplitter &splitter, std::string_view event)
{
    if (isComment(event)) {
        splitter.lastEventHasId = isResumable(splitter);
        ++splitter.eventCount;
        return true;
    }
    // An empty id names no event that a stream could be resumed after.
    std::optional<std::string_view> id = idOf(event);
    if (id && id->empty()) {
        id.reset();
    }
    const bool repeats = id ? !splitter.lastId.empty() && !follows(*id, splitter.lastId)
                            : splitter.resumed && !splitter.lastId.empty();
    if (repeats) {
        splitter.outOfOrder = true;
        return false;
    }
    if (id) {
        splitter.lastId = std::string(*id);
    }
    splitter.lastEventHasId = id.has_value();
    splitter.resumed = false;
    ++splitter.eventCount;
    return true;
}

} // namespace

std::string splitEvents(EventSplitter &splitter, std::string_view chunk)
{
    // The pending bytes contain no event terminator, but may end with its first byte.
    const std::size_t pendingBytes = splitter.pending.size();
    const std::size_t from = pendingBytes - std::min(pendingBytes, eventTerminator.size() - 1);
    splitter.pending += chunk;
    const std::size_t end = std::string_view(splitter.pending).substr(from).rfind(eventTerminator);
    if (end == std::string::npos) {
        return std::string();
    }
    std::string complete = splitter.pending.substr(0, from + end + eventTerminator.size());
    splitter.pending.erase(0, complete.size());
    std::size_t accepted = 0;
    while (accepted < complete.size()) {
        const std::size_t next = complete.find(eventTerminator, accepted);
        if (next == std::string::npos) { // A further blank line.
            accepted = complete.size();
            break;
        }
        if (!recordEvent(splitter, std::string_view(complete).substr(accepted, next - accepted))) {
            break;
        }
        accepted = next + eventTerminator.size();
    }
    complete.resize(accepted);
    return complete;
}

} // namespace balsamport
