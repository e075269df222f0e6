#ifndef BALSAMPORT_TOOLS_LOG_TIMELINE_H
#define BALSAMPORT_TOOLS_LOG_TIMELINE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief One line of a daemon's event log.
struct LogLine
{
    Millis at; ///< Wall clock of the VM that wrote the line.
    VmId vm;
    std::string event;
    std::map<std::string, std::string> values; ///< The other fields, as text.

    auto operator<=>(const LogLine &) const = default;
    bool operator==(const LogLine &) const = default;
};

/// @brief Parses one line of an event log.
/// @return MessageInvalid where the text is not a JSON object with `at`, `node` and `event`
/// @complexity linear in the line
[[nodiscard]] Result<LogLine> parseLogLine(std::string_view text);

/// @brief A log line in a request's timeline, on the clock of the daemon that served the caller.
struct TimelineStep
{
    Millis at;
    bool isAssumption = false; ///< State that a daemon assumed, not a decision on the request.
    LogLine line;

    bool operator==(const TimelineStep &) const = default;
};

/// @brief What happened to one request.
struct RequestTimeline
{
    RequestId request;
    VmId servingVm; ///< The daemon that the caller was connected to.
    std::map<VmId, Millis> clockOffsets; ///< Added to the times of other VMs' lines.
    std::vector<TimelineStep> steps; ///< In time order.
    std::vector<std::string> findings; ///< Likely causes, the most significant first.

    bool operator==(const RequestTimeline &) const = default;
};

/// @brief Collects all lines about a request, and the state that daemons assumed at the time.
///
/// Clocks of VMs may differ: the lines of an engine's owner are shifted so that each grant request
/// reaches the owner after the request's arrival and before the owner's verdict is received.
/// @param lines of all VMs, in any order
/// @return UnknownPath where no line names the request
/// @complexity O(n log n) for n lines
[[nodiscard]] Result<RequestTimeline> buildTimeline(std::vector<LogLine> lines,
                                                    const RequestId &request);

/// @brief Formats a timeline with one step a line and times relative to the request's arrival.
[[nodiscard]] std::string timelineAsText(const RequestTimeline &timeline);

} // namespace balsamport

#endif
