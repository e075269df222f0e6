#ifndef BALSAMPORT_TESTS_RAW_CALLER_H
#define BALSAMPORT_TESTS_RAW_CALLER_H

#include <balsamport/core/clock.h>

#include <asio.hpp>

#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace balsamport::testing {

/// @brief Decodes a chunked body as it arrives, and hands on each byte of a chunk at once.
///
/// HTTP libraries hand on the bytes of a chunk before they know that the chunk is complete; tests
/// on their results alone cannot tell what a caller was handed before the connection ended.
class ChunkReader
{
public:
    void feed(std::string_view bytes)
    {
        for (const char byte : bytes) {
            this->feedByte(byte);
        }
    }

    std::string body;
    bool complete = false; ///< The last chunk and the end of the trailer were read.
    bool malformed = false; ///< A byte that no chunked body has.
    std::string surplus; ///< Bytes after the complete body.

private:
    enum class Part { Size, Data, DataEnd, Trailer };

    void feedByte(char byte)
    {
        if (this->complete) {
            this->surplus += byte;
        } else if (this->part == Part::Data) {
            this->body += byte;
            --this->left;
            this->part = this->left == 0 ? Part::DataEnd : Part::Data;
        } else {
            this->line += byte;
            if (byte == '\n') {
                this->endLine();
                this->line.clear();
            }
        }
    }

    void endLine()
    {
        if (this->line.size() < 2 || this->line[this->line.size() - 2] != '\r') {
            this->malformed = true;
            return;
        }
        const std::string_view text(this->line.data(), this->line.size() - 2);
        if (this->part == Part::Trailer) {
            this->complete = text.empty();
        } else if (this->part == Part::DataEnd) {
            this->malformed = this->malformed || !text.empty();
            this->part = Part::Size;
        } else {
            constexpr int hexadecimal = 16;
            const auto read = std::from_chars(text.data(), text.data() + text.size(), this->left,
                                              hexadecimal);
            this->malformed = this->malformed || read.ec != std::errc();
            this->part = this->left == 0 ? Part::Trailer : Part::Data;
        }
    }

    Part part = Part::Size;
    std::string line;
    std::uint64_t left = 0; ///< Bytes of the current chunk that were not read yet.
};

/// @brief How a caller reads its response.
struct RawReading
{
    std::size_t bytesAtOnce = 4'096;
    Millis pause{0}; ///< Between two reads.
    int receiveBufferBytes = 0; ///< 0 for the default of the system.
    Millis limit{15'000}; ///< After which the caller stops reading.
    Millis afterComplete{15'000}; ///< Further time in which it reads after a complete response.
    const std::atomic<bool> *stop = nullptr; ///< Ends the reading after a complete response.
    /// Complete responses after the first one, with which the reading ends; 0 to ignore them.
    std::size_t furtherResponses = 0;
};

/// @brief A response as it came over the wire.
struct RawResponse
{
    enum class End { Closed, Reset, StillOpen };

    int status = 0; ///< 0 if no complete head was received.
    std::string head;
    bool chunked = false;
    std::string body; ///< Every byte that the caller was handed, of incomplete chunks too.
    bool complete = false; ///< By its chunks or its length.
    bool malformed = false;
    std::string surplus; ///< Bytes after a complete response.
    End end = End::StillOpen;
    Millis took{0};
};

/// @return true where `body` is a beginning of `stream` that ends at the end of an event
inline bool isWholeEventsOf(std::string_view body, std::string_view stream)
{
    constexpr std::string_view eventEnd = "\n\n";
    return stream.substr(0, body.size()) == body
            && (body.empty() || body.substr(body.size() - eventEnd.size()) == eventEnd);
}

/// @return the status that the head of a response states; 0 where it is no head
inline int statusOf(std::string_view head)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t statusAt = 9;
    int status = 0;
    if (head.substr(0, version.size()) == version && head.size() > statusAt) {
        std::from_chars(head.data() + statusAt, head.data() + head.size(), status);
    }
    return status;
}

/// @brief Takes status and coding from the head of a response.
/// @return the length that the head states, if any
inline std::optional<std::size_t> readHead(RawResponse &response)
{
    response.status = statusOf(response.head);
    response.malformed = response.status == 0;
    response.chunked = response.head.find("Transfer-Encoding: chunked") != std::string::npos;
    const std::string name = "Content-Length: ";
    const std::size_t at = response.head.find(name);
    return at == std::string::npos
            ? std::nullopt
            : std::optional<std::size_t>(std::stoul(response.head.substr(at + name.size())));
}

/// @return the responses of which `bytes` consists, in order; the last one may be incomplete
inline std::vector<RawResponse> splitResponses(std::string bytes)
{
    std::vector<RawResponse> responses;
    while (!bytes.empty() && (responses.empty() || responses.back().complete)) {
        RawResponse &response = responses.emplace_back();
        const std::size_t end = bytes.find("\r\n\r\n");
        response.head = bytes.substr(0, end == std::string::npos ? end : end + 2);
        bytes.erase(0, end == std::string::npos ? end : end + 4);
        if (end == std::string::npos) {
            break;
        }
        const std::optional<std::size_t> length = readHead(response);
        if (response.chunked) {
            ChunkReader chunks;
            chunks.feed(bytes);
            response.body = chunks.body;
            response.complete = chunks.complete;
            response.malformed = response.malformed || chunks.malformed;
            bytes = chunks.surplus;
        } else {
            response.body = bytes.substr(0, length.value_or(bytes.size()));
            response.complete = length && response.body.size() == *length;
            bytes.erase(0, response.body.size());
        }
    }
    return responses;
}

/// @return true where `bytes` begins with that many complete responses
inline bool hasResponses(const std::string &bytes, std::size_t count)
{
    const std::vector<RawResponse> responses = splitResponses(bytes);
    return responses.size() >= count && responses[count - 1].complete;
}

/// @brief Reads a response until the connection ends or the time is over.
/// @param stream a connected socket or TLS stream on which the request was written
template<typename Stream>
RawResponse readRawResponse(Stream &stream, const RawReading &reading)
{
    const Millis begin = monotonicNow();
    RawResponse response;
    ChunkReader chunks;
    std::string received;
    std::array<char, 65'536> buffer{};
    std::optional<std::size_t> length;
    std::optional<Millis> completeAt;
    std::optional<Millis> furtherAt;
    while (monotonicNow() - begin < reading.limit) {
        const bool complete
                = response.chunked ? chunks.complete : length && response.body.size() >= *length;
        if (complete && !completeAt) {
            completeAt = monotonicNow();
        }
        const bool stopped = reading.stop != nullptr && *reading.stop;
        if (completeAt && (stopped || monotonicNow() - *completeAt >= reading.afterComplete)) {
            break;
        }
        if (completeAt && !furtherAt && reading.furtherResponses > 0
            && hasResponses(response.chunked ? chunks.surplus : response.body.substr(*length),
                            reading.furtherResponses)) {
            furtherAt = monotonicNow();
        }
        constexpr Millis afterFurther{100}; // In which bytes after the last response show.
        if (furtherAt && monotonicNow() - *furtherAt >= afterFurther) {
            break;
        }
        pollfd readable{stream.lowest_layer().native_handle(), POLLIN, 0};
        constexpr int pollMs = 20;
        if (poll(&readable, 1, pollMs) == 0) {
            continue;
        }
        asio::error_code failure;
        const std::size_t size = stream.read_some(
                asio::buffer(buffer.data(), std::min(reading.bytesAtOnce, buffer.size())), failure);
        std::string_view bytes(buffer.data(), size);
        if (response.head.empty()) {
            received += bytes;
            const std::size_t end = received.find("\r\n\r\n");
            if (end != std::string::npos) {
                response.head = received.substr(0, end + 2);
                received.erase(0, end + 4);
                length = readHead(response);
                bytes = received;
            } else {
                bytes = {};
            }
        }
        if (response.chunked) {
            chunks.feed(bytes);
        } else {
            response.body += bytes;
        }
        if (failure) {
            // A TLS stream that ends with its connection, without a closing message, is closed too.
            const bool closed
                    = failure == asio::error::eof || failure.message() == "stream truncated";
            response.end = closed ? RawResponse::End::Closed : RawResponse::End::Reset;
            break;
        }
        if (reading.pause > Millis(0)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(reading.pause.count()));
        }
    }
    if (response.chunked) {
        response.body = chunks.body;
        response.complete = chunks.complete;
        response.malformed = response.malformed || chunks.malformed;
        response.surplus = chunks.surplus;
    } else if (length) {
        response.complete = response.body.size() >= *length;
        response.surplus = response.body.substr(std::min(*length, response.body.size()));
        response.body.resize(std::min(*length, response.body.size()));
    }
    response.took = monotonicNow() - begin;
    return response;
}

/// @brief A caller on a plain socket.
class RawCaller
{
public:
    /// @param address IP:PORT on loopback
    explicit RawCaller(const std::string &address, int receiveBufferBytes = 0)
        : socket(this->context)
    {
        const auto port
                = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        this->socket.open(asio::ip::tcp::v4());
        if (receiveBufferBytes > 0) {
            this->socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        }
        this->socket.connect({asio::ip::address_v4::loopback(), port});
    }

    void send(const std::string &bytes) { asio::write(this->socket, asio::buffer(bytes)); }

    /// @return IP:PORT of the caller
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->socket.local_endpoint().port());
    }

    [[nodiscard]] RawResponse read(const RawReading &reading = {})
    {
        return readRawResponse(this->socket, reading);
    }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket;
};

/// @brief Sends a request on a connection of its own and reads the response.
inline RawResponse callRaw(const std::string &address, const std::string &request,
                           const RawReading &reading = {})
{
    RawCaller caller(address, reading.receiveBufferBytes);
    caller.send(request);
    return caller.read(reading);
}

} // namespace balsamport::testing

#endif
