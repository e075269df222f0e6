#include <balsamport/filters/sharded_response_cache.h>

#include <functional>
#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t shardCount = 16;

} // namespace

ShardedResponseCache::ShardedResponseCache(std::size_t maxBytes)
{
    for (std::size_t i = 0; i < shardCount; ++i) {
        this->shards.push_back(std::make_unique<Shard>(maxBytes / shardCount));
    }
}

ShardedResponseCache::Shard &ShardedResponseCache::shardOf(const RequestKey &key)
{
    return *this->shards[std::hash<RequestKey>()(key) % shardCount];
}

CachedResponse ShardedResponseCache::begin(const RequestKey &key, Fingerprint body)
{
    Shard &shard = this->shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    if (shard.cache.begin(key, body)) {
        return {ResponseLookup::Unknown, nullptr};
    }
    return shard.cache.find(key, body);
}

CachedResponse ShardedResponseCache::find(const RequestKey &key, Fingerprint body)
{
    Shard &shard = this->shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    return shard.cache.find(key, body);
}

void ShardedResponseCache::finish(const RequestKey &key, HttpResponse response)
{
    Shard &shard = this->shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    shard.cache.finish(key, std::move(response));
}

void ShardedResponseCache::abandon(const RequestKey &key)
{
    Shard &shard = this->shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    shard.cache.abandon(key);
}

} // namespace balsamport
