#ifndef BALSAMPORT_FILTERS_ORDERING_H
#define BALSAMPORT_FILTERS_ORDERING_H

#include <balsamport/filters/sse_parser.h>
#include <balsamport/policy/stream_reorder_buffer.h>

#include <cstdint>
#include <string>

namespace balsamport {

/// @brief Reads the chunks of an answer from one connection after another, in order and each once.
///
/// A chunk without a number takes the one after its predecessor. Not thread-safe.
class OrderedStream
{
public:
    /// @brief Goes on with a new connection; what was passed on stays.
    /// @param next number of the first chunk that is awaited there
    void reconnect(std::uint64_t next);

    /// @brief Takes a piece from the connection.
    /// @return the text for the caller; BadResponse for a chunk that cannot be read,
    /// AnswerIncomplete for one that contradicts what was passed on
    [[nodiscard]] Result<std::string> feed(std::string_view piece);

    /// @return the number of the next chunk to pass on
    [[nodiscard]] std::uint64_t next() const noexcept { return this->order.next(); }

    /// @return true once the last event has been passed on
    [[nodiscard]] bool isComplete() const noexcept { return this->order.isComplete(); }

private:
    [[nodiscard]] Result<void> take(const SseEvent &event, std::string &text);

    SseParser parser;
    StreamReorderBuffer order;
    std::uint64_t expected = 0; ///< On this connection.
};

} // namespace balsamport

#endif
