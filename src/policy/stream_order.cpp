#include <balsamport/policy/stream_order.h>

#include <utility>

namespace balsamport {

namespace {

Error contradiction(std::uint64_t number)
{
    return Error{ErrorCode::AnswerIncomplete,
                 "chunk " + std::to_string(number) + " differs from the one passed on"};
}

} // namespace

Result<std::vector<StreamChunk>> StreamOrder::take(const StreamChunk &chunk)
{
    std::vector<StreamChunk> ready;
    if (chunk.number < this->next()) {
        const bool lastAgrees = chunk.last == (this->whole && chunk.number + 1 == this->next());
        if (this->passedHashes[chunk.number] != chunk.textHash || !lastAgrees) {
            return contradiction(chunk.number);
        }
        return ready;
    }
    if (this->whole) {
        return contradiction(chunk.number);
    }
    const std::uint64_t number = chunk.number;
    const auto [place, isNew] = this->waiting.try_emplace(number, chunk);
    if (!isNew) {
        return ready;
    }
    while (!this->waiting.empty() && this->waiting.begin()->first == this->next() && !this->whole) {
        ready.push_back(std::move(this->waiting.begin()->second));
        this->waiting.erase(this->waiting.begin());
        this->passedHashes.push_back(ready.back().textHash);
        this->whole = ready.back().last;
    }
    if ((this->whole && !this->waiting.empty()) || this->waiting.size() > maxWaiting) {
        return contradiction(this->waiting.begin()->first);
    }
    return ready;
}

} // namespace balsamport
