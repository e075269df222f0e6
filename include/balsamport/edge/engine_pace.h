#ifndef BALSAMPORT_EDGE_ENGINE_PACE_H
#define BALSAMPORT_EDGE_ENGINE_PACE_H

#include <balsamport/core/clock.h>

#include <deque>

namespace balsamport {

/// @brief How slowly an engine reads prompts, learnt from the time to their first pieces.
///
/// Engines of one service differ in speed, and some turn slow for a while.
struct EnginePace
{
    double slowness = 1; ///< Reading takes this many times the usual time.
    std::deque<double> samples; ///< Newest last.

    bool operator==(const EnginePace &) const = default;
};

/// @brief Takes the time in which a prompt was read.
///
/// Times are too long where a prompt had to queue or its cached parts were lost, and too short
/// where parts were cached that the owner does not know of; so the lower third of the newest is
/// taken.
/// @param reading from the prompt's turn to its end
/// @param nominal reading time on an engine of the usual speed; short prompts are passed over
/// Example: `noteReading(pace, Millis(130), Millis(100));`
void noteReading(EnginePace &pace, Millis reading, Millis nominal);

} // namespace balsamport

#endif
