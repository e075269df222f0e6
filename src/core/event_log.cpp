#include <balsamport/core/event_log.h>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <poll.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace balsamport {

namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// Longer texts are truncated, so that a caller cannot fill the log with a long header.
constexpr std::size_t maxTextBytes = 200;
constexpr Millis rateLimitInterval{1'000};
constexpr Millis shutdownTimeout{200};
/// Limits each wait for a full pipe, so that the writer thread notices a shutdown.
constexpr int pollMilliseconds = 50;

void writeText(JsonWriter &writer, std::string_view text)
{
    text = text.substr(0, maxTextBytes);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

struct ValueWriter
{
    JsonWriter &writer;

    void operator()(std::string_view text) const { writeText(this->writer, text); }
    void operator()(std::int64_t number) const { this->writer.Int64(number); }
    void operator()(bool flag) const { this->writer.Bool(flag); }
};

} // namespace

struct EventLog::Impl
{
    Impl(int descriptor, std::string name, EventLogLimits bounds)
        : fd(descriptor)
        , node(std::move(name))
        , limits(bounds)
    { }

    [[nodiscard]] std::string formatLine(Millis wall, std::string_view event,
                                         std::initializer_list<EventField> fields) const
    {
        rapidjson::StringBuffer buffer;
        JsonWriter writer(buffer);
        writer.StartObject();
        writer.Key("at");
        writer.Int64(wall.count());
        writer.Key("node");
        writeText(writer, this->node);
        writer.Key("event");
        writeText(writer, event);
        for (const EventField &field : fields) {
            writer.Key(field.name.data(), static_cast<rapidjson::SizeType>(field.name.size()));
            std::visit(ValueWriter{writer}, field.value);
        }
        writer.EndObject();
        buffer.Put('\n');
        return std::string(buffer.GetString(), buffer.GetSize());
    }

    /// Starts a new interval if the current one has ended, and logs the number of lines dropped
    /// before. Requires the mutex.
    void startIntervalIfDue(Millis now)
    {
        if (now - this->intervalStart < rateLimitInterval) {
            return;
        }
        this->intervalStart = now;
        this->routineLines = 0;
        this->notableLines = 0;
        const std::uint64_t total = this->droppedLines;
        if (total != this->reportedDrops) {
            this->queue
                    += this->formatLine(wallNow(), "log_dropped",
                                        {{"lines", total - this->reportedDrops}, {"total", total}});
            this->reportedDrops = total;
        }
    }

    /// Counts a line. Requires the mutex.
    /// @return false if the line exceeds the rate limit of its priority
    bool acquireBudget(EventPriority priority)
    {
        switch (priority) {
        case EventPriority::Routine:
            return this->routineLines++ < this->limits.routinePerSecond;
        case EventPriority::Notable:
            return this->notableLines++ < this->limits.notablePerSecond;
        case EventPriority::Vital:
            return true;
        }
        return true;
    }

    void run()
    {
        std::unique_lock lock(this->mutex);
        while (true) {
            this->wake.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
            if (this->queue.empty()) {
                return;
            }
            std::string batch;
            batch.swap(this->queue);
            this->writing = true;
            lock.unlock();
            this->writeAll(batch);
            lock.lock();
            this->writing = false;
            this->written.notify_all();
        }
    }

    void writeAll(std::string_view text)
    {
        while (!text.empty()) {
            pollfd item{this->fd, POLLOUT, 0};
            const int ready = poll(&item, 1, pollMilliseconds);
            if (ready <= 0 || (item.revents & POLLOUT) == 0) {
                if (this->stopping && monotonicNow() > this->stopDeadline) {
                    return;
                }
                if (ready > 0) {
                    return; // The reader has closed the pipe: drop the rest.
                }
                continue;
            }
            // A writable pipe accepts this many bytes without blocking.
            constexpr std::size_t atomicBytes = 4096;
            const ssize_t written
                    = ::write(this->fd, text.data(), std::min(text.size(), atomicBytes));
            if (written <= 0) {
                return;
            }
            text.remove_prefix(static_cast<std::size_t>(written));
        }
    }

    int fd;
    std::string node;
    EventLogLimits limits;
    std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable written;
    std::string queue; ///< Guarded by `mutex`.
    bool writing = false; ///< The thread writes lines that it took. Guarded by `mutex`.
    Millis intervalStart{0}; ///< Guarded by `mutex`.
    std::uint32_t routineLines = 0; ///< Guarded by `mutex`.
    std::uint32_t notableLines = 0; ///< Guarded by `mutex`.
    std::uint64_t reportedDrops = 0; ///< Guarded by `mutex`.
    std::atomic<std::uint64_t> droppedLines{0};
    std::atomic<bool> stopping{false};
    Millis stopDeadline{0};
    std::thread thread;
};

EventLog::EventLog(int fileDescriptor, std::string node, EventLogLimits limits)
    : impl(std::make_unique<Impl>(fileDescriptor, std::move(node), limits))
{
    this->impl->thread = std::thread([raw = this->impl.get()] { raw->run(); });
}

EventLog::~EventLog()
{
    {
        const std::lock_guard lock(this->impl->mutex);
        this->impl->stopDeadline = monotonicNow() + shutdownTimeout;
        this->impl->stopping = true;
    }
    this->impl->wake.notify_all();
    this->impl->thread.join();
}

void EventLog::write(EventPriority priority, std::string_view event,
                     std::initializer_list<EventField> fields)
{
    const std::lock_guard lock(this->impl->mutex);
    // Read first, because startIntervalIfDue() may queue a line.
    const bool wasEmpty = this->impl->queue.empty();
    this->impl->startIntervalIfDue(monotonicNow());
    if (!this->impl->acquireBudget(priority)
        || this->impl->queue.size() >= this->impl->limits.queueBytes) {
        ++this->impl->droppedLines;
    } else {
        this->impl->queue += this->impl->formatLine(wallNow(), event, fields);
    }
    if (wasEmpty && !this->impl->queue.empty()) {
        this->impl->wake.notify_one();
    }
}

bool EventLog::flush(Millis limit)
{
    std::unique_lock lock(this->impl->mutex);
    return this->impl->written.wait_for(lock, std::chrono::milliseconds(limit.count()), [this] {
        return this->impl->queue.empty() && !this->impl->writing;
    });
}

std::uint64_t EventLog::droppedLines() const noexcept
{
    return this->impl->droppedLines;
}

} // namespace balsamport
