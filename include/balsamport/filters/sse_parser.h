#ifndef BALSAMPORT_FILTERS_SSE_PARSER_H
#define BALSAMPORT_FILTERS_SSE_PARSER_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief One event of a server-sent event stream.
struct SseEvent
{
    std::optional<std::uint64_t> id; ///< Nothing where it has none, or one that is not a number.
    std::string data; ///< Data lines, joined by newlines.

    bool operator==(const SseEvent &) const = default;
};

/// @brief Splits a byte stream into server-sent events, independent of how the stream is chunked.
///
/// Buffers at most one incomplete event of `maxEventBytes`. Skips comments and unknown fields.
class SseParser
{
public:
    static constexpr std::size_t maxEventBytes = std::size_t{256} * 1024;

    /// @brief Parses the next bytes of the stream.
    /// @return the events that the bytes completed; BadResponse once an event is too long
    /// @complexity linear in the number of bytes
    [[nodiscard]] Result<std::vector<SseEvent>> feed(std::string_view bytes);

    /// @return true where an event has started and is not complete
    [[nodiscard]] bool isInEvent() const noexcept;

private:
    void processLine(std::string_view text, std::vector<SseEvent> &events);

    std::string line;
    SseEvent event;
    bool hasData = false;
    bool skipNewline = false; ///< The last byte was a carriage return.
};

/// @brief Formats an event as it is sent to callers.
[[nodiscard]] std::string formatSseEvent(const SseEvent &event);

} // namespace balsamport

#endif
