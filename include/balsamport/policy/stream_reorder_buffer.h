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

/// @brief One numbered event of an answer's stream.
struct StreamChunk
{
    std::uint64_t number = 0; ///< From 0, without gaps.
    std::string payload; ///< What the caller is sent.
    std::uint64_t textHash = 0; ///< Of the generated text alone, which is the same on every server.
    bool last = false;

    bool operator==(const StreamChunk &) const = default;
};

/// @brief Puts the chunks of one answer in order and passes each on once.
///
/// Chunks may come late, twice, from a resumed stream, or again from the start on another backend
/// server. A chunk that differs from what the caller was already given ends the answer with
/// AnswerIncomplete: a caller never gets parts of two different answers. Not thread-safe.
class StreamReorderBuffer
{
public:
    /// Chunks that may wait for an earlier one.
    static constexpr std::size_t maxWaiting = 1024;

    /// @brief Takes a chunk.
    /// @return the chunks to pass on now, in order; AnswerIncomplete where the chunk contradicts an
    /// earlier one, where it follows the last, or where too many wait
    /// @complexity O(log n) for n waiting chunks, and linear in the chunks passed on
    [[nodiscard]] Result<std::vector<StreamChunk>> push(const StreamChunk &chunk);

    /// @return the number of the next chunk to pass on; a resumed stream starts there
    [[nodiscard]] std::uint64_t next() const noexcept { return this->passedHashes.size(); }

    /// @return true once the last chunk was passed on
    [[nodiscard]] bool isComplete() const noexcept { return this->complete; }

private:
    std::vector<std::uint64_t> passedHashes; ///< Of each chunk that was passed on.
    std::map<std::uint64_t, StreamChunk> waiting;
    bool complete = false;
};

} // namespace balsamport

#endif
