#include <balsamport/edge/event_splitter.h>

#include <algorithm>
#include <charconv>
#include <optional>

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

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
    if (read.ec != std::errc() || read.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

bool follows(std::string_view id, std::string_view previousId)
{
    const auto number = parseNumber(id);
    const auto previous = parseNumber(previousId);
    return number && previous ? *number > *previous : id != previousId;
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
    const std::optional<std::string_view> id = idOf(event);
    if (id && !splitter.lastId.empty() && !follows(*id, splitter.lastId)) {
        splitter.outOfOrder = true;
        return false;
    }
    if (id) {
        splitter.lastId = std::string(*id);
    }
    splitter.lastEventHasId = id.has_value() || (isComment(event) && isResumable(splitter));
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
