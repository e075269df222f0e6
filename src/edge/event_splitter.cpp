#include <balsamport/edge/event_splitter.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::string_view eventTerminator = "\n\n";
constexpr std::string_view idField = "id:";

void recordLastId(EventSplitter &splitter, std::string_view event)
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
    std::string_view rest = complete;
    while (!rest.empty()) {
        const std::size_t next = rest.find(eventTerminator);
        recordLastId(splitter, rest.substr(0, next));
        ++splitter.eventCount;
        rest.remove_prefix(next == std::string_view::npos ? rest.size()
                                                          : next + eventTerminator.size());
    }
    return complete;
}

} // namespace balsamport
