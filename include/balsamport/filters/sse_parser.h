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
    std::optional<std::uint64_t> id; ///< Nothing where it had none, or one that is no number.
    std::string data; ///< Lines of data joined by a newline.

    bool operator==(const SseEvent &) const = default;
};

/// @brief Cuts a byte stream into server-sent events, whatever the pieces it comes in.
///
/// Holds at most one unfinished event of `maxEventBytes`. Comments and unknown fields are skipped.
class SseParser
{
public:
    static constexpr std::size_t maxEventBytes = std::size_t{256} * 1024;

    /// @brief Takes a piece of the stream.
    /// @return the events that it completed; BadResponse once an event is too long
    /// @complexity linear in the piece
    [[nodiscard]] Result<std::vector<SseEvent>> feed(std::string_view piece);

    /// @return true where an event has started and is not complete
    [[nodiscard]] bool inEvent() const noexcept;

private:
    void takeLine(std::string_view text, std::vector<SseEvent> &events);

    std::string line;
    SseEvent event;
    bool hasData = false;
    bool skipNewline = false; ///< The last byte was a carriage return.
};

/// @brief Writes an event in the form that callers get.
[[nodiscard]] std::string formatSseEvent(const SseEvent &event);

} // namespace balsamport

#endif
