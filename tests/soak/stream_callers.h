#ifndef BALSAMPORT_TESTS_STREAM_CALLERS_H
#define BALSAMPORT_TESTS_STREAM_CALLERS_H

#include "../e2e/edge_world.h"

#include <raw_caller.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

/// Callers of streams that read the bytes of their connection, and the check of what they got.
namespace balsamport::testing {

/// @brief The ways in which callers read their streams.
enum class StreamReading {
    Bytewise, ///< One byte at a time.
    Slow, ///< Long events, a small receive buffer and a pause between reads.
    Chunkwise, ///< What has arrived, at once.
    UntilClosed, ///< As Chunkwise; waits on its connection after the response.
};

constexpr std::array<StreamReading, 4> streamReadings{StreamReading::Bytewise, StreamReading::Slow,
                                                      StreamReading::Chunkwise,
                                                      StreamReading::UntilClosed};

/// @brief A stream that was requested, and what its caller got.
struct SentStream
{
    std::string id;
    std::string path;
    std::size_t edge = 0;
    std::size_t fillBytes = 0; ///< Of each event.
    Millis at{0};
    Millis endedAt{0};
    bool connected = false;
    RawResponse response;
    std::string furtherId; ///< Of a booking that is sent on the same connection; empty for none.
    Millis furtherPause{0}; ///< From the request for the stream to the booking.
    bool furtherSent = false;
    RawResponse further; ///< Status 0 if none was received.
    std::string caller; ///< IP:PORT
};

/// @return how a caller reads
inline RawReading readingOf(StreamReading kind, std::uint64_t random)
{
    RawReading reading;
    reading.limit = Millis(20'000);
    reading.afterComplete = Millis(300);
    if (kind == StreamReading::Bytewise) {
        reading.bytesAtOnce = 1;
    } else if (kind == StreamReading::Slow) {
        constexpr std::uint64_t pauseRangeMs = 12;
        reading.bytesAtOnce = 2'048;
        reading.receiveBufferBytes = 4'096;
        reading.pause = Millis(static_cast<std::int64_t>(1 + random % pauseRangeMs));
    } else if (kind == StreamReading::UntilClosed) {
        reading.afterComplete = reading.limit;
    }
    return reading;
}

/// @return the length that is added to each event; a system's buffers hold a stream of the lesser
/// length, but not one of the greater
inline std::size_t fillBytesOf(StreamReading kind, std::uint64_t random)
{
    constexpr std::size_t longEventBytes = 32 * 1024;
    constexpr std::size_t longestEventBytes = 200 * 1024;
    if (kind != StreamReading::Slow) {
        return 0;
    }
    return random % 2 == 0 ? longEventBytes : longestEventBytes;
}

/// @brief Takes the answer to the booking from the bytes that came after the stream.
inline void takeFurtherResponse(SentStream &sent)
{
    const std::vector<RawResponse> responses = splitResponses(sent.response.surplus);
    sent.response.surplus.clear();
    if (!responses.empty()) {
        sent.further = responses.front();
    }
    if (responses.size() > 1) {
        sent.response.surplus = responses[1].head + responses[1].body;
    }
}

/// @brief Requests a stream on a connection of its own and reads it, and sends a booking while the
/// stream is in progress where `sent` names one.
/// @param asksForClose the last request asks for the end of the connection
inline void callStream(const EdgeWorld &world, SentStream &sent, const std::string &model,
                       RawReading reading, bool asksForClose)
{
    const std::string body = "body of " + sent.id;
    const bool hasFurther = !sent.furtherId.empty();
    const std::string close = asksForClose ? "Connection: close\r\n" : "";
    if (hasFurther) {
        constexpr Millis furtherLimit{8'000}; // Longer than any time-out and pause of a daemon.
        reading.furtherResponses = 1;
        reading.afterComplete = furtherLimit;
        reading.stop = nullptr;
    }
    sent.at = monotonicNow();
    try {
        RawCaller caller(world.edges[sent.edge].front, reading.receiveBufferBytes);
        sent.connected = true;
        sent.caller = caller.address();
        caller.send(fmt::format("POST {} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {}\r\n"
                                "X-Deadline-Ms: 4000\r\nX-Model: {}\r\nX-Token-Usage: 400,24\r\n"
                                "X-Prompt-Prefix: a1:150,b2:250\r\nEvent-Fill-Bytes: {}\r\n"
                                "{}Content-Length: {}\r\n\r\n{}",
                                sent.path, sent.id, model, sent.fillBytes, hasFurther ? "" : close,
                                body.size(), body));
        if (hasFurther) {
            sleepFor(sent.furtherPause);
            sent.furtherSent = true;
            try {
                caller.send(
                        fmt::format("POST /book/{0} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {0}\r\n"
                                    "X-Deadline-Ms: 4000\r\n{1}Content-Length: 4\r\n\r\nbody",
                                    sent.furtherId, close));
            } catch (const asio::system_error &) {
                // The connection has ended. What it brought before is read.
            }
        }
        sent.response = caller.read(reading);
    } catch (const asio::system_error &) {
        sent.response = RawResponse{}; // The daemon is not there.
    }
    if (hasFurther) {
        takeFurtherResponse(sent);
    }
    sent.endedAt = monotonicNow();
}

/// @return true where a stream has begun and is not complete
inline bool isBroken(const SentStream &sent)
{
    return sent.response.status != 0 && sent.response.chunked && !sent.response.complete;
}

/// @return true where a stream has ended as complete
inline bool isWhole(const SentStream &sent)
{
    return sent.response.chunked && sent.response.complete;
}

/// @brief Checks what the caller of a stream got.
/// @param wasKilled the daemon's process was killed meanwhile: the system sends on what a killed
/// process had handed to it, which may end inside an event or a chunk
/// @return what is wrong; nothing for a stream that is in order
inline std::optional<std::string> findStreamFault(const SentStream &sent, bool wasKilled)
{
    constexpr int okStatus = 200;
    const RawResponse &response = sent.response;
    if (response.malformed) {
        return "got bytes that are no response";
    }
    if (!response.surplus.empty()) {
        return fmt::format("got {} bytes after its response", response.surplus.size());
    }
    if (response.status != okStatus) {
        return response.chunked ? std::optional<std::string>("got an error as a stream")
                                : std::nullopt;
    }
    const std::string stream = EdgeWorld::completeStream(sent.id, sent.fillBytes);
    if (!response.chunked) {
        return "got a stream without chunks";
    }
    if (response.complete) {
        return response.body == stream
                ? std::nullopt
                : std::optional(fmt::format("got {} of {} bytes as a complete stream",
                                            response.body.size(), stream.size()));
    }
    if (response.end == RawResponse::End::StillOpen) {
        return fmt::format("got {} of {} bytes and no end", response.body.size(), stream.size());
    }
    const bool isPrefix = stream.compare(0, response.body.size(), response.body) == 0;
    if (!isPrefix) {
        const auto differs = std::mismatch(stream.begin(), stream.end(), response.body.begin(),
                                           response.body.end());
        return fmt::format("got {} bytes, of which the last {} are of no run", response.body.size(),
                           std::distance(differs.second, response.body.end()));
    }
    if (!wasKilled && !isWholeEventsOf(response.body, stream)) {
        return fmt::format("got {} bytes, which end inside an event", response.body.size());
    }
    return std::nullopt;
}

/// @brief Checks what became of the booking behind a stream.
/// @param runs how often it ran
/// @return what is wrong; nothing for a booking that was answered, or that no server got
inline std::optional<std::string> findFurtherFault(const SentStream &sent, std::uint32_t runs)
{
    constexpr int okStatus = 200;
    constexpr int notRunStatus = 503;
    const RawResponse &further = sent.further;
    if (further.malformed && further.status != 0) {
        return "got bytes that are no response";
    }
    if (!further.complete) {
        if (runs > 0) {
            return "ran, and its connection ended without an answer";
        }
        return sent.response.end == RawResponse::End::StillOpen
                ? std::optional<std::string>("got neither an answer nor the end of its connection")
                : std::nullopt;
    }
    if (further.status == notRunStatus && runs > 0) {
        return "was refused although it ran";
    }
    if (further.status == okStatus && further.body != "done " + sent.furtherId) {
        return "got a wrong response";
    }
    return std::nullopt;
}

} // namespace balsamport::testing

#endif
