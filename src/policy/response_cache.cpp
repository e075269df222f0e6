#include <balsamport/policy/response_cache.h>

#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t entryOverheadBytes = 256;

std::size_t sizeOf(const RequestKey &key, const HttpResponse &response)
{
    std::size_t bytes = entryOverheadBytes + key.str().size() + response.body.size();
    for (const HttpHeader &header : response.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

CachedResponse ResponseCache::find(const RequestKey &key, Fingerprint body) const
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return {ResponseLookup::Unknown, nullptr};
    }
    if (found->second.body != body) {
        return {ResponseLookup::BodyMismatch, nullptr};
    }
    if (!found->second.response) {
        return {ResponseLookup::InProgress, nullptr};
    }
    return {ResponseLookup::Finished, found->second.response};
}

bool ResponseCache::begin(const RequestKey &key, Fingerprint body)
{
    Entry entry;
    entry.body = body;
    return this->entries.try_emplace(key, entry).second;
}

void ResponseCache::finish(const RequestKey &key, HttpResponse response)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.response) {
        return;
    }
    const std::size_t bytes = sizeOf(key, response);
    if (bytes > this->maxBytes) {
        this->entries.erase(found);
        return;
    }
    while (this->storedBytes + bytes > this->maxBytes) {
        const auto oldest = this->entries.find(this->finished.front());
        this->storedBytes -= oldest->second.bytes;
        this->entries.erase(oldest);
        this->finished.pop_front();
    }
    found->second.response = std::make_shared<const HttpResponse>(std::move(response));
    found->second.bytes = bytes;
    found->second.position = this->finished.insert(this->finished.end(), key);
    this->storedBytes += bytes;
}

void ResponseCache::abandon(const RequestKey &key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end() && !found->second.response) {
        this->entries.erase(found);
    }
}

} // namespace balsamport
