#ifndef BALSAMPORT_FILTERS_ORDERING_H
#define BALSAMPORT_FILTERS_ORDERING_H

#include <balsamport/filters/sse_parser.h>

#include <cstdint>
#include <string>

namespace balsamport {

/// @brief Puts the chunks of a stream in order, over any number of broken connections.
///
/// Chunk 0 comes first and each chunk is passed on once. A chunk without a number takes the next
/// one. Not thread-safe.
class OrderedStream
{
public:
    /// @brief Starts over with a new connection; what was passed on stays.
    void reconnect();

    /// @brief Takes a piece from the connection.
    /// @return the text for the caller; BadResponse for a gap or an event that is too long
    [[nodiscard]] Result<std::string> feed(std::string_view piece);

    /// @return chunks passed on so far
    [[nodiscard]] std::uint64_t chunks() const noexcept { return this->next; }

    /// @return true once the last event has been passed on
    [[nodiscard]] bool isComplete() const noexcept { return this->complete; }

private:
    SseParser parser;
    std::uint64_t next = 0;
    bool complete = false;
};

} // namespace balsamport

#endif
