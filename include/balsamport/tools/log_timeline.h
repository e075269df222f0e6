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
    Millis at; ///< Wall clock of its VM.
    VmId vm;
    std::string event;
    std::map<std::string, std::string> values; ///< The other fields, as text.

    auto operator<=>(const LogLine &) const = default;
    bool operator==(const LogLine &) const = default;
};

/// @brief Reads one line.
/// @return MessageInvalid where it is no JSON object with `at`, `node` and `event`
/// @complexity linear in the line
[[nodiscard]] Result<LogLine> parseLogLine(std::string_view text);

/// @brief A line in a request's timeline, on the clock of the daemon that answered the caller.
struct TimelineStep
{
    Millis at;
    bool belief = false; ///< What a daemon held to be true, not a decision on the request.
    LogLine line;

    bool operator==(const TimelineStep &) const = default;
};

/// @brief What happened to one request.
struct RequestTimeline
{
    RequestId request;
    VmId respondingVm; ///< The daemon that the caller was connected to.
    std::map<VmId, Millis> clockOffsets; ///< Added to the lines of other VMs.
    std::vector<TimelineStep> steps; ///< In time order.
    std::vector<std::string> findings; ///< What the lines say about the cause, most telling first.

    bool operator==(const RequestTimeline &) const = default;
};

/// @brief Puts together all lines on a request, and the beliefs that stood when it was decided.
///
/// Clocks of VMs may differ: the lines of an engine's owner are moved so that it was asked after
/// the request came and before its verdict was back.
/// @param lines of all VMs, in any order
/// @return UnknownPath where no line names the request
/// @complexity O(n log n) for n lines
[[nodiscard]] Result<RequestTimeline> buildTimeline(std::vector<LogLine> lines,
                                                    const RequestId &request);

/// @brief Writes a timeline, one step a line, times from the request's arrival.
[[nodiscard]] std::string timelineAsText(const RequestTimeline &timeline);

} // namespace balsamport

#endif
