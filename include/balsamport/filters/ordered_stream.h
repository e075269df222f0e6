#ifndef BALSAMPORT_FILTERS_ORDERED_STREAM_H
#define BALSAMPORT_FILTERS_ORDERED_STREAM_H

#include <balsamport/filters/sse_parser.h>
#include <balsamport/policy/stream_reorder_buffer.h>

#include <cstdint>
#include <string>

namespace balsamport {

/// @brief Joins the chunks of one response that arrive over several connections in turn, in order
/// and without duplicates.
///
/// A chunk without a number gets the number after its predecessor's. Not thread-safe.
class OrderedStream
{
public:
    /// @brief Continues with a new connection; the chunks passed on so far are kept.
    /// @param nextNumber number of the first chunk that is expected on the new connection
    void reconnect(std::uint64_t nextNumber);

    /// @brief Parses bytes received on the connection.
    /// @return the text for the caller; BadResponse for a chunk that cannot be parsed,
    /// AnswerIncomplete for one that contradicts a chunk passed on before
    [[nodiscard]] Result<std::string> feed(std::string_view bytes);

    /// @return the number of the next chunk to pass on
    [[nodiscard]] std::uint64_t next() const noexcept { return this->reorderBuffer.next(); }

    /// @return true once the last event has been passed on
    [[nodiscard]] bool isComplete() const noexcept { return this->reorderBuffer.isComplete(); }

private:
    [[nodiscard]] Result<void> processEvent(const SseEvent &event, std::string &text);

    SseParser parser;
    StreamReorderBuffer reorderBuffer;
    std::uint64_t expected = 0; ///< Number of the next chunk on this connection.
};

} // namespace balsamport

#endif
