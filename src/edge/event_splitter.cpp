#include <balsamport/edge/event_splitter.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view idField = "id:";

void noteId(EventSplitter &splitter, std::string_view event)
{
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
        splitter.lastId = std::string(line);
    }
}

} // namespace

std::string splitEvents(EventSplitter &splitter, std::string_view piece)
{
    // What was pending has no end of an event, but may have its first byte.
    const std::size_t before = splitter.pending.size();
    const std::size_t from = before - std::min(before, eventEnd.size() - 1);
    splitter.pending += piece;
    const std::size_t end = std::string_view(splitter.pending).substr(from).rfind(eventEnd);
    if (end == std::string::npos) {
        return std::string();
    }
    std::string whole = splitter.pending.substr(0, from + end + eventEnd.size());
    splitter.pending.erase(0, whole.size());
    std::string_view rest = whole;
    while (!rest.empty()) {
        const std::size_t next = rest.find(eventEnd);
        noteId(splitter, rest.substr(0, next));
        ++splitter.eventCount;
        rest.remove_prefix(next == std::string_view::npos ? rest.size() : next + eventEnd.size());
    }
    return whole;
}

} // namespace balsamport
