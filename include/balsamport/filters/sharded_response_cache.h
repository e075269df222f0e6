#ifndef BALSAMPORT_FILTERS_SHARDED_RESPONSE_CACHE_H
#define BALSAMPORT_FILTERS_SHARDED_RESPONSE_CACHE_H

#include <balsamport/policy/response_cache.h>

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace balsamport {

/// @brief Responses of non-repeatable requests, cached for repeats with the same key.
///
/// Sharded by key, each shard under its own lock. All functions may be called from any thread.
class ShardedResponseCache
{
public:
    static constexpr std::size_t defaultBytes = std::size_t{32} * 1024 * 1024;

    explicit ShardedResponseCache(std::size_t maxBytes = defaultBytes);

    /// @brief Looks a key up and marks an unknown one as in progress.
    /// @return Unknown where the calling request is the one to run
    /// @complexity constant on average
    [[nodiscard]] CachedResponse begin(const RequestKey &key, Fingerprint body);

    /// @brief Looks a key up without changing anything.
    [[nodiscard]] CachedResponse find(const RequestKey &key, Fingerprint body);

    /// @brief Caches the response of a key in progress.
    void finish(const RequestKey &key, HttpResponse response);

    /// @brief Removes a key in progress that has no response to cache; has no effect on others.
    void abandon(const RequestKey &key);

private:
    struct Shard
    {
        explicit Shard(std::size_t maxBytes) noexcept
            : cache(maxBytes)
        { }

        std::mutex mutex;
        ResponseCache cache; ///< Guarded by mutex.
    };

    Shard &shardOf(const RequestKey &key);

    std::vector<std::unique_ptr<Shard>> shards;
};

} // namespace balsamport

#endif
