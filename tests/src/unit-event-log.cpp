#include <balsamport/core/event_log.h>

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

using namespace balsamport;

namespace {

/// A pipe whose non-blocking read end the test reads.
struct Pipe
{
    Pipe()
    {
        REQUIRE(::pipe(this->ends.data()) == 0);
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    [[nodiscard]] std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = ::read(this->ends[0], buffer.data(), buffer.size())) > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

TEST_CASE("the log writes one JSON object per line")
{
    const Pipe pipe;
    {
        EventLog log(pipe.ends[1], "vm-1");
        log.write(EventPriority::Notable, "refused",
                  {{"request", "a\"b\n"}, {"wait_ms", Millis(12)}, {"last", true}});
    }
    const std::string text = pipe.readAll();
    REQUIRE(text.find(
                    R"("node":"vm-1","event":"refused","request":"a\"b\n","wait_ms":12,"last":true})")
            != std::string::npos);
    REQUIRE(text.find('\n') == text.size() - 1);
}

TEST_CASE("the log is limited in rate and memory")
{
    const Pipe pipe;

    SECTION("routine lines are dropped first, and the number of dropped lines is logged")
    {
        EventLogLimits limits;
        limits.routinePerSecond = 10;
        {
            EventLog log(pipe.ends[1], "vm-1", limits);
            for (int i = 0; i < 100; ++i) {
                log.write(EventPriority::Routine, "served", {});
            }
            log.write(EventPriority::Notable, "refused", {});
            log.write(EventPriority::Vital, "stop", {});
            REQUIRE(log.droppedLines() == 90);
            ::usleep(1'100'000);
            log.write(EventPriority::Vital, "stop", {});
        }
        const std::string text = pipe.readAll();
        REQUIRE(text.find("refused") != std::string::npos);
        REQUIRE(text.find(R"("event":"log_dropped","lines":90,"total":90)") != std::string::npos);
    }

    SECTION("later lines are still written after some were dropped")
    {
        EventLogLimits limits;
        limits.routinePerSecond = 1;
        EventLog log(pipe.ends[1], "vm-1", limits);
        log.write(EventPriority::Routine, "served", {});
        log.write(EventPriority::Routine, "served", {});
        constexpr useconds_t overOneSecondUs = 1'100'000;
        ::usleep(overOneSecondUs);
        log.write(EventPriority::Vital, "reload", {});
        constexpr useconds_t writerTimeUs = 200'000;
        ::usleep(writerTimeUs);
        // The log is still open: the lines were written by its thread, not by its destructor.
        const std::string text = pipe.readAll();
        REQUIRE(text.find("log_dropped") != std::string::npos);
        REQUIRE(text.find("reload") != std::string::npos);
    }

    SECTION("a reader that stops reading does not block the writers")
    {
        EventLogLimits limits;
        limits.notablePerSecond = 1'000'000;
        limits.queueBytes = 100'000;
        const Millis before = monotonicNow();
        {
            EventLog log(pipe.ends[1], "vm-1", limits);
            const std::string filler(150, 'x');
            for (int i = 0; i < 20'000; ++i) {
                log.write(EventPriority::Notable, "refused", {{"text", filler}});
            }
            REQUIRE(log.droppedLines() > 0);
        }
        REQUIRE(monotonicNow() - before < Millis(5'000));
    }
}

// Guards against a process that ends before its last lines are written, or that waits for a reader
// longer than the platform waits for the process.
TEST_CASE("the log is flushed before the process ends")
{
    const Pipe pipe;
    EventLogLimits limits;
    limits.notablePerSecond = 1'000'000;
    EventLog log(pipe.ends[1], "vm-1", limits);
    constexpr Millis longLimit{5'000};
    constexpr Millis shortLimit{100};

    SECTION("an empty log is flushed at once")
    {
        REQUIRE(log.flush(Millis(0)));
    }

    SECTION("all queued lines are written when flush returns")
    {
        constexpr int lineCount = 100; // Fits into the pipe.
        for (int round = 0; round < 50; ++round) {
            for (int i = 0; i < lineCount; ++i) {
                log.write(EventPriority::Notable, "refused", {{"number", i}});
            }
            REQUIRE(log.flush(longLimit));
            // The log is still open: the lines were written before flush returned.
            const std::string text = pipe.readAll();
            REQUIRE(std::count(text.begin(), text.end(), '\n') == lineCount);
            REQUIRE(text.find(R"("number":99})") != std::string::npos);
        }
    }

    SECTION("a reader that doesn't read")
    {
        constexpr int lineCount = 2'000; // More than the pipe takes.
        const std::string filler(150, 'x');
        for (int i = 0; i < lineCount; ++i) {
            log.write(EventPriority::Notable, "refused", {{"text", filler}});
        }
        REQUIRE(log.droppedLines() == 0);
        const Millis before = monotonicNow();
        REQUIRE_FALSE(log.flush(shortLimit));
        const Millis took = monotonicNow() - before;
        REQUIRE(took >= shortLimit);
        REQUIRE(took < longLimit);

        SECTION("the rest is written when the reader reads again")
        {
            std::string text;
            bool flushed = false;
            const Millis end = monotonicNow() + longLimit;
            while (!flushed && monotonicNow() < end) {
                text += pipe.readAll();
                flushed = log.flush(Millis(1));
            }
            REQUIRE(flushed);
            text += pipe.readAll();
            REQUIRE(std::count(text.begin(), text.end(), '\n') == lineCount);
        }
    }
}
