#ifndef BALSAMPORT_CORE_EVENT_LOG_H
#define BALSAMPORT_CORE_EVENT_LOG_H

#include <balsamport/core/clock.h>

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace balsamport {

/// @brief Decides which lines are dropped above the rate limits of the log.
enum class EventPriority : std::uint8_t {
    Routine, ///< A request succeeded.
    Notable, ///< Refusals, failures and changes of the view of other daemons and servers.
    Vital, ///< Start, stop, reload, and loss or recovery of a dependency. Never rate-limited.
};

/// @brief A named value of a log line.
struct EventField
{
    std::string_view name;
    std::variant<std::string_view, std::int64_t, bool> value;

    EventField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    { }
    EventField(std::string_view fieldName, const std::string &text)
        : name(fieldName)
        , value(std::string_view(text))
    { }
    EventField(std::string_view fieldName, const char *text)
        : name(fieldName)
        , value(std::string_view(text))
    { }
    EventField(std::string_view fieldName, std::int64_t number)
        : name(fieldName)
        , value(number)
    { }
    EventField(std::string_view fieldName, std::uint64_t number)
        : name(fieldName)
        , value(static_cast<std::int64_t>(number))
    { }
    EventField(std::string_view fieldName, int number)
        : name(fieldName)
        , value(std::int64_t{number})
    { }
    EventField(std::string_view fieldName, std::uint32_t number)
        : name(fieldName)
        , value(std::int64_t{number})
    { }
    EventField(std::string_view fieldName, Millis time)
        : name(fieldName)
        , value(time.count())
    { }
    EventField(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag)
    { }
};

/// @brief Rate limits and queue limit of an event log.
struct EventLogLimits
{
    std::uint32_t routinePerSecond = 200;
    std::uint32_t notablePerSecond = 400;
    std::size_t queueBytes = 512 * 1024; ///< Maximum size of the lines queued for a slow reader.

    bool operator==(const EventLogLimits &) const = default;
};

/// @brief Writes events as JSON objects, one per line, on a separate thread.
///
/// A line above the rate limit of its priority, or while the queue is full, is dropped and counted;
/// the count is logged at most once a second. write() never waits for the reader of the log.
class EventLog
{
public:
    /// @param fileDescriptor receives the lines: standard output, or a pipe in tests
    /// @param node name of the VM, included in every line
    EventLog(int fileDescriptor, std::string node, EventLogLimits limits = {});
    ~EventLog(); ///< Writes the queued lines, for at most 200 ms.
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// @brief Queues a line. May be called from any thread.
    /// Example: `log.write(EventPriority::Notable, "refused", {{"request", id}, {"wait_ms",
    /// wait}});`
    void write(EventPriority priority, std::string_view event,
               std::initializer_list<EventField> fields);

    /// @brief Waits until the queued lines are written.
    /// @param limit longest wait
    /// @return false if lines are left
    bool flush(Millis limit);

    /// @return number of lines dropped since the start
    [[nodiscard]] std::uint64_t droppedLines() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace balsamport

#endif
