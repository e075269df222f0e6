#ifndef BALSAMPORT_FILTERS_ANSWER_STORE_H
#define BALSAMPORT_FILTERS_ANSWER_STORE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/http/http_message.h>

#include <array>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace balsamport {

/// @brief What is known here about a key.
enum class KeyState : std::uint8_t {
    New, ///< Nothing; it is now marked as in progress.
    InProgress,
    Answered,
    OtherBody, ///< It was used with another body.
};

/// @brief Answers of non-repeatable requests, kept for a repeat of the same key.
///
/// Sharded by key, each shard under its own lock. Bounded by entries and by bytes: the oldest
/// answers go first; a key in progress never goes.
class AnswerStore
{
public:
    /// @brief What look-up found.
    struct Found
    {
        KeyState state = KeyState::New;
        std::optional<HttpAnswer> answer; ///< Where state is Answered.
    };

    explicit AnswerStore(std::size_t maxEntries = 20'000, std::size_t maxBytes = 32U << 20U);

    /// @brief Looks a key up and marks a new one as in progress.
    /// @complexity constant on average
    [[nodiscard]] Found begin(const RequestKey &key, Fingerprint body);

    /// @brief Keeps the answer of a key in progress.
    void finish(const RequestKey &key, const HttpAnswer &answer);

    /// @brief Forgets a key in progress that has no answer to keep; does nothing to others.
    void forget(const RequestKey &key);

private:
    struct Entry
    {
        Fingerprint body;
        std::optional<HttpAnswer> answer;
    };
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<RequestKey, Entry> entries;
        std::deque<RequestKey> answered; ///< Oldest first.
        std::size_t bytes = 0;
    };
    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const RequestKey &key);
    void trim(Shard &shard) const;

    const std::size_t shardEntries;
    const std::size_t shardBytes;
    std::array<Shard, shardCount> shards;
};

} // namespace balsamport

#endif
