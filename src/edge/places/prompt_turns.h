#ifndef BALSAMPORT_EDGE_PLACES_PROMPT_TURNS_H
#define BALSAMPORT_EDGE_PLACES_PROMPT_TURNS_H

#include <balsamport/edge/engine_places.h>

#include <optional>
#include <vector>

// When a prompt may be handed over, so that running streams do not pause for too long.

namespace balsamport {

/// Reading times of a prompt's pieces, one for each step.
[[nodiscard]] std::vector<Millis> piecesOf(const EnginePlaces &state, std::uint32_t tokens,
                                           const PlaceLimits &limits);

/// @brief Says whether so much of the handed prompts has been read that the next may come.
[[nodiscard]] bool isPromptTurn(const EnginePlaces &state, const PlaceLimits &limits, Millis now);

/// When a prompt can be handed over without making the running streams pause for too long: now, or
/// after some steps without prompts.
[[nodiscard]] Millis promptTurn(const EnginePlaces &state, const PlaceLimits &limits,
                                const std::vector<Millis> &pieces, Millis now);

} // namespace balsamport

#endif
