#include <balsamport/filters/sse_parser.h>

#include <charconv>
#include <utility>

namespace balsamport {

Result<std::vector<SseEvent>> SseParser::feed(std::string_view bytes)
{
    std::vector<SseEvent> events;
    std::size_t start = 0;
    if (this->skipNewline && !bytes.empty()) {
        this->skipNewline = false;
        start = bytes.front() == '\n' ? 1 : 0;
    }
    while (start < bytes.size()) {
        const std::size_t end = bytes.find_first_of("\r\n", start);
        const std::size_t length = (end == std::string_view::npos ? bytes.size() : end) - start;
        if (this->line.size() + this->event.data.size() + length > maxEventBytes) {
            return Error{ErrorCode::BadResponse, "an event of the stream is too long"};
        }
        this->line.append(bytes.substr(start, length));
        if (end == std::string_view::npos) {
            break;
        }
        this->processLine(this->line, events);
        this->line.clear();
        start = end + 1;
        if (bytes[end] == '\r') {
            this->skipNewline = start == bytes.size();
            start += start < bytes.size() && bytes[start] == '\n' ? 1 : 0;
        }
    }
    return events;
}

bool SseParser::isInEvent() const noexcept
{
    return this->hasData || this->event.id.has_value() || !this->line.empty();
}

void SseParser::processLine(std::string_view text, std::vector<SseEvent> &events)
{
    if (text.empty()) {
        if (this->hasData) {
            events.push_back(std::move(this->event));
        }
        this->event = SseEvent();
        this->hasData = false;
        return;
    }
    const std::size_t colon = text.find(':');
    const std::string_view name = text.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : text.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    if (name == "data") {
        if (this->hasData) {
            this->event.data += '\n';
        }
        this->event.data += value;
        this->hasData = true;
    } else if (name == "id") {
        std::uint64_t number = 0;
        const char *end = value.data() + value.size();
        const auto parsed = std::from_chars(value.data(), end, number);
        const bool isNumber = parsed.ec == std::errc() && parsed.ptr == end;
        this->event.id = isNumber ? std::optional<std::uint64_t>(number) : std::nullopt;
    }
}

std::string formatSseEvent(const SseEvent &event)
{
    std::string text;
    if (event.id) {
        text += "id: " + std::to_string(*event.id) + "\n";
    }
    std::size_t start = 0;
    while (true) {
        const std::size_t end = event.data.find('\n', start);
        text += "data: " + event.data.substr(start, end - start) + "\n";
        if (end == std::string::npos) {
            break;
        }
        start = end + 1;
    }
    return text + "\n";
}

} // namespace balsamport
