#ifndef BALSAMPORT_EDGE_PLACES_ADAPTER_LOADS_H
#define BALSAMPORT_EDGE_PLACES_ADAPTER_LOADS_H

#include <balsamport/edge/engine_places.h>

#include <optional>
#include <vector>

// Which adapters are loaded and unloaded, and when a load has ended.

namespace balsamport {

/// Expected time until a new adapter gets a place, after those that wait for one already.
[[nodiscard]] Millis placeWaitFor(const EnginePlaces &state, const PlaceLimits &limits,
                                  const PlaceRequest &request);

/// @brief Orders the base model, or asks whether it has been loaded.
[[nodiscard]] std::optional<EngineOrder> modelOrder(EnginePlaces &state, Millis now);

/// Asks again for loads that should have ended, and replaces outdated versions nobody uses.
[[nodiscard]] std::optional<EngineOrder>
maintenanceOrder(const EnginePlaces &state, const AdapterVersions &versions, Millis now);

/// Loads the adapter of the first waiting request that has no place.
[[nodiscard]] std::optional<EngineOrder>
loadOrder(const EnginePlaces &state, const PlaceLimits &limits, const AdapterVersions &versions);

/// Notes an order in the places, so that a place is taken from the moment the order leaves.
void beginOrder(EnginePlaces &state, const PlaceLimits &limits, const EngineOrder &order,
                Millis now);

} // namespace balsamport

#endif
