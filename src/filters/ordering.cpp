#include <balsamport/filters/ordering.h>

#include <balsamport/filters/chunk_reader.h>

namespace balsamport {

namespace {

constexpr std::string_view lastEvent = "[DONE]";

} // namespace

void OrderedStream::reconnect(std::uint64_t next)
{
    this->parser = SseParser();
    this->expected = next;
}

Result<std::string> OrderedStream::feed(std::string_view piece)
{
    const auto events = this->parser.feed(piece);
    if (!events) {
        return events.error();
    }
    std::string text;
    for (const SseEvent &event : events.value()) {
        const auto taken = this->take(event, text);
        if (!taken) {
            return taken.error();
        }
    }
    return text;
}

Result<void> OrderedStream::take(const SseEvent &event, std::string &text)
{
    StreamChunk chunk;
    chunk.last = event.data == lastEvent;
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
    const auto ready = this->order.push(chunk);
    if (!ready) {
        return ready.error();
    }
    for (const StreamChunk &next : ready.value()) {
        text += next.payload;
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace balsamport
