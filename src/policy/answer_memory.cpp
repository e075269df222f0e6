#include <balsamport/policy/answer_memory.h>

#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t entryOverheadBytes = 256;

std::size_t sizeOf(const RequestKey &key, const HttpResponse &answer)
{
    std::size_t bytes = entryOverheadBytes + key.str().size() + answer.body.size();
    for (const HttpHeader &header : answer.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

RememberedAnswer AnswerMemory::find(const RequestKey &key, Fingerprint body) const
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return {AnswerLookup::Unknown, nullptr};
    }
    if (found->second.body != body) {
        return {AnswerLookup::BodyMismatch, nullptr};
    }
    if (!found->second.answer) {
        return {AnswerLookup::InProgress, nullptr};
    }
    return {AnswerLookup::Finished, found->second.answer};
}

bool AnswerMemory::begin(const RequestKey &key, Fingerprint body)
{
    Entry entry;
    entry.body = body;
    return this->entries.try_emplace(key, entry).second;
}

void AnswerMemory::finish(const RequestKey &key, HttpResponse answer)
{
    const auto found = this->entries.find(key);
    if (found == this->entries.end() || found->second.answer) {
        return;
    }
    const std::size_t bytes = sizeOf(key, answer);
    if (bytes > this->maxBytes) {
        this->entries.erase(found);
        return;
    }
    while (this->heldBytes + bytes > this->maxBytes) {
        const auto oldest = this->entries.find(this->finished.front());
        this->heldBytes -= oldest->second.bytes;
        this->entries.erase(oldest);
        this->finished.pop_front();
    }
    found->second.answer = std::make_shared<const HttpResponse>(std::move(answer));
    found->second.bytes = bytes;
    found->second.place = this->finished.insert(this->finished.end(), key);
    this->heldBytes += bytes;
}

void AnswerMemory::abandon(const RequestKey &key)
{
    const auto found = this->entries.find(key);
    if (found != this->entries.end() && !found->second.answer) {
        this->entries.erase(found);
    }
}

} // namespace balsamport
