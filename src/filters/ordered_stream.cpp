#include <balsamport/filters/ordered_stream.h>

#include <balsamport/filters/chunk_hash.h>

namespace balsamport {

namespace {

constexpr std::string_view endMarker = "[DONE]";

} // namespace

void OrderedStream::reconnect(std::uint64_t nextNumber)
{
    this->parser = SseParser();
    this->expected = nextNumber;
}

Result<std::string> OrderedStream::feed(std::string_view bytes)
{
    const auto events = this->parser.feed(bytes);
    if (!events) {
        return events.error();
    }
    std::string text;
    for (const SseEvent &event : events.value()) {
        const auto processed = this->processEvent(event, text);
        if (!processed) {
            return processed.error();
        }
    }
    return text;
}

Result<void> OrderedStream::processEvent(const SseEvent &event, std::string &text)
{
    StreamChunk chunk;
    chunk.last = event.data == endMarker;
    chunk.number = event.id.value_or(this->expected);
    this->expected = chunk.number + 1;
    if (!chunk.last) {
        const auto hash = hashChunkText(event.data);
        if (!hash) {
            return hash.error();
        }
        chunk.textHash = hash.value();
    }
    chunk.payload = formatSseEvent(event);
    const auto ready = this->reorderBuffer.push(chunk);
    if (!ready) {
        return ready.error();
    }
    for (const StreamChunk &readyChunk : ready.value()) {
        text += readyChunk.payload;
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace balsamport
