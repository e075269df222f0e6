#include <balsamport/policy/stream_reorder_buffer.h>

#include <utility>

namespace balsamport {

namespace {

Error contradiction(std::uint64_t number)
{
    return Error{ErrorCode::AnswerIncomplete,
                 "chunk " + std::to_string(number) + " differs from the one passed on"};
}

} // namespace

Result<std::vector<StreamChunk>> StreamReorderBuffer::push(const StreamChunk &chunk)
{
    std::vector<StreamChunk> ready;
    if (chunk.number < this->next()) {
        const bool lastAgrees = chunk.last == (this->complete && chunk.number + 1 == this->next());
        if (this->releasedHashes[chunk.number] != chunk.textHash || !lastAgrees) {
            return contradiction(chunk.number);
        }
        return ready;
    }
    if (this->complete) {
        return contradiction(chunk.number);
    }
    const std::uint64_t number = chunk.number;
    const auto [position, isNew] = this->waiting.try_emplace(number, chunk);
    if (!isNew) {
        return ready;
    }
    while (!this->waiting.empty() && this->waiting.begin()->first == this->next()
           && !this->complete) {
        ready.push_back(std::move(this->waiting.begin()->second));
        this->waiting.erase(this->waiting.begin());
        this->releasedHashes.push_back(ready.back().textHash);
        this->complete = ready.back().last;
    }
    if ((this->complete && !this->waiting.empty()) || this->waiting.size() > maxWaiting) {
        return contradiction(this->waiting.begin()->first);
    }
    return ready;
}

} // namespace balsamport
