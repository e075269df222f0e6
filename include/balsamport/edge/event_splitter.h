#ifndef BALSAMPORT_EDGE_EVENT_SPLITTER_H
#define BALSAMPORT_EDGE_EVENT_SPLITTER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief Cuts a stream of server-sent events into whole events.
///
/// A backend server may break off in the middle of one; a caller then has only whole events, and
/// the stream can go on after the last of them.
struct EventSplitter
{
    std::string pending; ///< The beginning of an event.
    std::string lastId; ///< Of the last whole event.
    std::uint32_t eventCount = 0; ///< Whole events so far.

    bool operator==(const EventSplitter &) const = default;
};

/// Longest event that is waited for; events of tokens have some hundred bytes.
constexpr std::size_t maxEventBytes = 256 * 1024;

/// @return true where the stream's next event is longer than any real one
[[nodiscard]] inline bool isOverlong(const EventSplitter &splitter) noexcept
{
    return splitter.pending.size() > maxEventBytes;
}

/// @brief Takes a piece of the stream.
/// @return the whole events that are complete now; empty where none is
/// @complexity linear in the piece, and in what was pending where an event is complete
[[nodiscard]] std::string splitEvents(EventSplitter &splitter, std::string_view piece);

} // namespace balsamport

#endif
