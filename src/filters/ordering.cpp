#include <balsamport/filters/ordering.h>

namespace balsamport {

namespace {

constexpr std::string_view lastEvent = "[DONE]";

} // namespace

void OrderedStream::reconnect()
{
    this->parser = SseParser();
}

Result<std::string> OrderedStream::feed(std::string_view piece)
{
    const auto events = this->parser.feed(piece);
    if (!events) {
        return events.error();
    }
    std::string text;
    for (const SseEvent &event : events.value()) {
        if (this->complete) {
            break;
        }
        if (event.data == lastEvent) {
            this->complete = true;
            text += formatSseEvent(event);
            continue;
        }
        const std::uint64_t number = event.id.value_or(this->next);
        if (number > this->next) {
            return Error{ErrorCode::BadResponse, "a chunk of the stream is missing"};
        }
        if (number == this->next) {
            this->next += 1;
            text += formatSseEvent(event);
        }
    }
    return text;
}

} // namespace balsamport
