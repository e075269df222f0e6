#ifndef BALSAMPORT_TESTS_RESPONSE_WORLD_H
#define BALSAMPORT_TESTS_RESPONSE_WORLD_H

#include "history_oracle.h"
#include "world_random.h"

#include <balsamport/core/hash.h>
#include <balsamport/policy/response_match.h>
#include <balsamport/policy/retry.h>
#include <balsamport/policy/stream_reorder_buffer.h>

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace balsamport::testing {

/// @brief The faults of responses that a history contains; counted.
enum class ResponseFault : std::uint8_t {
    ChunkLate,
    ChunkDuplicated,
    StreamBroken,
    Resumed,
    Restarted,
    LateResponse,
    OtherRequest,
    WrongVersion,
    TextDiffers,
    Count,
};

constexpr std::array<const char *, static_cast<std::size_t>(ResponseFault::Count)>
        responseFaultNames{"chunk-late",    "chunk-twice",   "stream-broken",
                           "resumed",       "restarted",     "late-answer",
                           "other-request", "wrong-version", "text-differs"};

/// @brief A defect seeded into the handling of responses, which the oracle must detect.
enum class ResponseDefect : std::uint8_t {
    None,
    NoOrder, ///< Chunks are released in the order of arrival.
    NoMatch, ///< Responses are not matched to their request and version.
    SilentCut, ///< A broken stream is ended as if it were complete.
};

/// @brief One gateway that streams the responses of several requests at the same time.
///
/// Exercises StreamReorderBuffer, findResponseMismatch and decideRetry. The backend servers are
/// small fakes: their chunks arrive out of order, twice, late, incomplete or from the wrong
/// adapter.
class ResponseWorld
{
public:
    ResponseWorld(ResponseDefect defect, std::uint64_t seed)
        : random(seed)
        , defect(defect)
    {
        for (std::size_t i = 0; i < this->streams.size(); ++i) {
            this->offer(i);
        }
    }

    const HistoryOracle &oracle() const { return this->history; }
    const std::array<std::uint64_t, static_cast<std::size_t>(ResponseFault::Count)> &faults() const
    {
        return this->counts;
    }
    std::uint64_t completed() const { return this->completedCount; }

    /// @brief Delivers any of the chunks of a stream that are in flight, or produces further ones.
    void arrive(std::size_t which)
    {
        Stream &stream = this->pick(which);
        if (stream.inFlight.empty()) {
            this->produce(stream);
            return;
        }
        const std::size_t position
                = this->random.percent(30) ? this->random.below(stream.inFlight.size()) : 0;
        this->count(ResponseFault::ChunkLate, position > 0);
        const Sent sent = stream.inFlight[position];
        const bool twice = this->random.percent(10);
        this->count(ResponseFault::ChunkDuplicated, twice);
        if (!twice) {
            stream.inFlight.erase(stream.inFlight.begin() + static_cast<std::ptrdiff_t>(position));
        }
        this->handle(stream, sent);
    }

    /// @brief Breaks the connection; the gateway resumes, retries at another server, or fails.
    void breakStream(std::size_t which)
    {
        Stream &stream = this->pick(which);
        this->count(ResponseFault::StreamBroken);
        if (this->defect == ResponseDefect::SilentCut) {
            this->end(stream, EventKind::Completed);
            return;
        }
        FailedAttempt failed;
        failed.failure = ErrorCode::ConnectionBroken;
        failed.repeatable = true;
        failed.responseStarted = stream.buffer.next() > 0;
        failed.resumable = this->random.percent(50);
        failed.attempts = stream.attempts;
        failed.deadline = Millis(60'000);
        const RetryDecision decision = decideRetry(failed, RetryBudget{}, 0.5);
        if (decision.action == RetryAction::Fail) {
            this->end(stream, EventKind::Failed);
            return;
        }
        this->restart(stream, decision.action == RetryAction::Resume);
    }

    /// @brief Delivers a chunk of another request on the stream of this request.
    void deliverOtherRequest(std::size_t which)
    {
        Stream &stream = this->pick(which);
        const Stream &other = this->pick(which + 1);
        Sent sent{stream.attempt, other.name, stream.adapter, this->chunkOf(other, 0, 0)};
        sent.chunk.number = stream.buffer.next();
        sent.chunk.textHash = hash64(sent.chunk.payload);
        this->count(ResponseFault::OtherRequest);
        this->handle(stream, sent);
    }

    /// @brief Delivers a chunk of another version of the adapter.
    void deliverOtherVersion(std::size_t which)
    {
        Stream &stream = this->pick(which);
        Sent sent{stream.attempt, stream.name, "b/a@99",
                  this->chunkOf(stream, stream.buffer.next(), 0)};
        this->count(ResponseFault::WrongVersion);
        this->handle(stream, sent);
    }

    std::vector<Violation> finish()
    {
        for (Stream &stream : this->streams) {
            if (!stream.ended) {
                this->end(stream, EventKind::Failed);
            }
        }
        return this->history.finish();
    }

    /// @brief Sends a new request if the response of the previous one has ended.
    void offerAgain(std::size_t which)
    {
        if (this->pick(which).ended) {
            this->offer(which % this->streams.size());
        }
    }

private:
    struct Sent
    {
        std::uint64_t attempt = 0;
        std::string request;
        std::string adapter;
        StreamChunk chunk;
    };
    struct Stream
    {
        std::string name;
        std::string adapter;
        std::uint64_t length = 0;
        std::uint64_t attempt = 0;
        std::uint32_t attempts = 1;
        std::uint64_t variant = 0; ///< A server that samples again generates another text.
        std::uint64_t produced = 0;
        std::vector<Sent> inFlight;
        StreamReorderBuffer buffer;
        bool ended = false;
    };

    Stream &pick(std::size_t which) { return this->streams[which % this->streams.size()]; }

    void count(ResponseFault fault, bool happened = true)
    {
        this->counts[static_cast<std::size_t>(fault)] += happened ? 1 : 0;
    }

    void offer(std::size_t which)
    {
        Stream &stream = this->streams[which];
        stream = Stream{};
        stream.name = "r" + std::to_string(++this->names);
        stream.adapter = "b/a@" + std::to_string(1 + this->random.below(3));
        stream.length = 1 + this->random.below(12);
        stream.attempt = ++this->names;
        Event offered = eventAt(EventKind::Offered, Millis(0));
        offered.request = stream.name;
        offered.adapter = stream.adapter;
        offered.number = stream.length;
        this->history.add(offered);
    }

    StreamChunk chunkOf(const Stream &stream, std::uint64_t number, std::uint64_t variant) const
    {
        const std::string text
                = stream.name + "/" + std::to_string(number) + "/" + std::to_string(variant);
        return {number, text, hash64(text), number + 1 == stream.length};
    }

    void produce(Stream &stream)
    {
        if (stream.ended || stream.produced >= stream.length) {
            return;
        }
        const std::uint64_t end
                = std::min(stream.length, stream.produced + 1 + this->random.below(4));
        for (; stream.produced < end; ++stream.produced) {
            stream.inFlight.push_back({stream.attempt, stream.name, stream.adapter,
                                       this->chunkOf(stream, stream.produced, stream.variant)});
        }
    }

    void restart(Stream &stream, bool resume)
    {
        this->count(resume ? ResponseFault::Resumed : ResponseFault::Restarted);
        ++stream.attempts;
        stream.produced = resume ? stream.buffer.next() : 0;
        if (!resume && this->random.percent(20)) {
            ++stream.variant;
            this->count(ResponseFault::TextDiffers);
        }
        if (this->random.percent(50)) {
            stream.inFlight.clear();
        } // Otherwise chunks of the old attempt arrive late.
        stream.attempt = ++this->names;
    }

    void handle(Stream &stream, const Sent &sent)
    {
        if (stream.ended) {
            return;
        }
        const ExpectedResponse expected{RequestId(stream.name), AttemptId(stream.attempt),
                                        this->adapterOf(stream)};
        const ResponseLabel label{AttemptId(sent.attempt), RequestId(sent.request), sent.adapter};
        const auto mismatch = findResponseMismatch(expected, label);
        this->count(ResponseFault::LateResponse, mismatch == ErrorCode::GrantExpired);
        if (mismatch && this->defect != ResponseDefect::NoMatch) {
            return;
        }
        if (this->defect == ResponseDefect::NoOrder) {
            this->release(stream, sent, sent.chunk);
            return;
        }
        const auto ready = stream.buffer.push(sent.chunk);
        if (!ready) {
            this->end(stream, EventKind::Failed);
            return;
        }
        for (const StreamChunk &chunk : ready.value()) {
            this->release(stream, sent, chunk);
        }
        if (stream.buffer.isComplete()) {
            ++this->completedCount;
            this->end(stream, EventKind::Completed);
        }
    }

    AdapterRef adapterOf(const Stream &stream) const
    {
        return {BaseModelId("b"), AdapterId("a"),
                AdapterVersion(std::stoull(stream.adapter.substr(4)))};
    }

    /// Sends a chunk to the caller; its payload names the request it belongs to.
    void release(Stream &stream, const Sent &sent, const StreamChunk &chunk)
    {
        Event event = eventAt(EventKind::Chunk, Millis(0));
        event.request = stream.name;
        event.number = chunk.number;
        event.source = chunk.payload.substr(0, chunk.payload.find('/'));
        event.adapter = sent.adapter;
        this->history.add(event);
    }

    void end(Stream &stream, EventKind kind)
    {
        if (stream.ended) {
            return;
        }
        stream.ended = true;
        Event event = eventAt(kind, Millis(0));
        event.request = stream.name;
        this->history.add(event);
    }

    WorldRandom random;
    ResponseDefect defect;
    std::array<Stream, 4> streams;
    std::uint64_t names = 0;
    HistoryOracle history;
    std::array<std::uint64_t, static_cast<std::size_t>(ResponseFault::Count)> counts{};
    std::uint64_t completedCount = 0;
};

/// @brief One step of a history of responses.
inline void applyStep(ResponseWorld &world, std::uint64_t choice)
{
    WorldRandom random(choice);
    const std::uint64_t kind = random.below(24);
    const std::size_t which = random.below(4);
    if (kind < 16) {
        for (std::uint64_t i = 0; i <= random.below(4); ++i) {
            world.arrive(which);
        }
    } else if (kind < 18) {
        world.offerAgain(which);
    } else if (kind < 22) {
        world.breakStream(which);
    } else if (kind < 23) {
        world.deliverOtherRequest(which);
    } else {
        world.deliverOtherVersion(which);
    }
}

} // namespace balsamport::testing

#endif
