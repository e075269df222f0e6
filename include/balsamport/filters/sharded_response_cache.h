#ifndef BALSAMPORT_FILTERS_SHARDED_RESPONSE_CACHE_H
#define BALSAMPORT_FILTERS_SHARDED_RESPONSE_CACHE_H

#include <balsamport/policy/response_cache.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace balsamport {

/// @brief Answers of non-repeatable requests, kept for a repeat of the same key.
///
/// Sharded by key, each shard under its own lock. All functions may be called from any thread.
class ShardedResponseCache
{
public:
    static constexpr std::size_t defaultBytes = std::size_t{32} * 1024 * 1024;

    explicit ShardedResponseCache(std::size_t maxBytes = defaultBytes);

    /// @brief Looks a key up and marks an unknown one as in progress.
    /// @return Unknown where the caller now runs the request
    /// @complexity constant on average
    [[nodiscard]] CachedResponse begin(const RequestKey &key, Fingerprint body);

    /// @brief Looks a key up and changes nothing.
    [[nodiscard]] CachedResponse find(const RequestKey &key, Fingerprint body);

    /// @brief Keeps the answer of a key in progress.
    void finish(const RequestKey &key, HttpResponse answer);

    /// @brief Forgets a key in progress that has no answer to keep; does nothing to others.
    void abandon(const RequestKey &key);

private:
    struct Shard
    {
        explicit Shard(std::size_t maxBytes) noexcept
            : memory(maxBytes)
        { }

        std::mutex mutex;
        ResponseCache memory; ///< Under the lock.
    };

    Shard &shardOf(const RequestKey &key);

    std::vector<std::unique_ptr<Shard>> shards;
};

} // namespace balsamport

#endif
