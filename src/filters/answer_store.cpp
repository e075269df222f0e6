#include <balsamport/filters/answer_store.h>

#include <functional>

namespace balsamport {

AnswerStore::AnswerStore(std::size_t maxEntries, std::size_t maxBytes)
    : shardEntries(maxEntries / shardCount + 1)
    , shardBytes(maxBytes / shardCount + 1)
{ }

AnswerStore::Shard &AnswerStore::shardOf(const RequestKey &key)
{
    return this->shards[std::hash<RequestKey>()(key) % shardCount];
}

AnswerStore::Found AnswerStore::begin(const RequestKey &key, Fingerprint body)
{
    Shard &shard = this->shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    const auto [entry, isNew] = shard.entries.try_emplace(key, Entry{body, std::nullopt});
    if (isNew) {
        return {KeyState::New, std::nullopt};
    }
    if (entry->second.body != body) {
        return {KeyState::OtherBody, std::nullopt};
    }
    if (!entry->second.answer) {
        return {KeyState::InProgress, std::nullopt};
    }
    return {KeyState::Answered, entry->second.answer};
}

void AnswerStore::finish(const RequestKey &key, const HttpAnswer &answer)
{
    Shard &shard = this->shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    const auto entry = shard.entries.find(key);
    if (entry == shard.entries.end() || entry->second.answer) {
        return;
    }
    entry->second.answer = answer;
    shard.bytes += answer.body.size();
    shard.answered.push_back(key);
    this->trim(shard);
}

void AnswerStore::forget(const RequestKey &key)
{
    Shard &shard = this->shardOf(key);
    const std::scoped_lock lock(shard.mutex);
    const auto entry = shard.entries.find(key);
    if (entry != shard.entries.end() && !entry->second.answer) {
        shard.entries.erase(entry);
    }
}

void AnswerStore::trim(Shard &shard) const
{
    while (shard.answered.size() > this->shardEntries || shard.bytes > this->shardBytes) {
        const auto oldest = shard.entries.find(shard.answered.front());
        shard.bytes -= oldest->second.answer->body.size();
        shard.entries.erase(oldest);
        shard.answered.pop_front();
    }
}

} // namespace balsamport
