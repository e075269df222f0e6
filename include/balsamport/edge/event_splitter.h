#ifndef BALSAMPORT_EDGE_EVENT_SPLITTER_H
#define BALSAMPORT_EDGE_EVENT_SPLITTER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief Splits a stream of server-sent events into complete events.
///
/// A connection to a backend server may break in the middle of an event. The caller then has only
/// complete events, and the stream can resume after the last of them.
struct EventSplitter
{
    std::string pending; ///< The beginning of an incomplete event.
    std::string lastId; ///< Of the last complete event that has one.
    std::uint32_t eventCount = 0; ///< Complete events so far.
    bool lastEventHasId = false;
    bool resumed = false; ///< No event has followed since the stream was resumed.
    bool outOfOrder = false; ///< An event repeated an id or had a lower one than the event before.

    bool operator==(const EventSplitter &) const = default;
};

/// Longest event that is buffered; events of tokens have a few hundred bytes.
constexpr std::size_t maxEventBytes = 256 * 1024;

/// @return true if the incomplete event exceeds maxEventBytes
[[nodiscard]] inline bool isOverlong(const EventSplitter &splitter) noexcept
{
    return splitter.pending.size() > maxEventBytes;
}

/// @return true if a server can be asked for the events after the last complete one
[[nodiscard]] inline bool isResumable(const EventSplitter &splitter) noexcept
{
    return splitter.eventCount == 0 || splitter.lastEventHasId;
}

/// @brief Appends a chunk of the stream and removes the complete events.
///
/// An event whose id is not greater than the one before sets `outOfOrder`; it and the events after
/// it are dropped. Ids that are not decimal numbers are only compared for equality.
/// @return the events that are now complete; empty if there is none
/// @complexity linear in the chunk, and in the pending bytes if an event is complete
[[nodiscard]] std::string splitEvents(EventSplitter &splitter, std::string_view chunk);

} // namespace balsamport

#endif
