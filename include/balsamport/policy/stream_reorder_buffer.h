#ifndef BALSAMPORT_POLICY_STREAM_REORDER_BUFFER_H
#define BALSAMPORT_POLICY_STREAM_REORDER_BUFFER_H

#include <balsamport/core/error.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// @brief One numbered event of a streamed response.
struct StreamChunk
{
    std::uint64_t number = 0; ///< From 0, without gaps.
    std::string payload; ///< The bytes that are sent to the caller.
    std::uint64_t textHash = 0; ///< Of the generated text only, which is the same on every server.
    bool last = false;

    bool operator==(const StreamChunk &) const = default;
};

/// @brief Puts the chunks of one response in order and releases each of them once.
///
/// Chunks may arrive late, twice, from a resumed stream, or again from the start on another backend
/// server. A chunk that differs from the one already sent to the caller ends the response with
/// AnswerIncomplete: a caller never gets parts of two different responses. Not thread-safe.
class StreamReorderBuffer
{
public:
    /// Largest number of chunks that may wait for an earlier one.
    static constexpr std::size_t maxWaiting = 1024;

    /// @brief Adds a chunk.
    /// @return the chunks to send now, in order; AnswerIncomplete if the chunk contradicts an
    /// earlier one, if it follows the last one, or if too many chunks wait
    /// @complexity O(log n) for n waiting chunks, and linear in the number of returned chunks
    [[nodiscard]] Result<std::vector<StreamChunk>> push(const StreamChunk &chunk);

    /// @return the number of the next chunk to release; a resumed stream starts there
    [[nodiscard]] std::uint64_t next() const noexcept { return this->releasedHashes.size(); }

    /// @return true after the last chunk was released
    [[nodiscard]] bool isComplete() const noexcept { return this->complete; }

private:
    std::vector<std::uint64_t> releasedHashes; ///< Text hash of each released chunk.
    std::map<std::uint64_t, StreamChunk> waiting;
    bool complete = false;
};

} // namespace balsamport

#endif
