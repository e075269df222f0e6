#ifndef BALSAMPORT_POLICY_SLOT_ACCESS_H
#define BALSAMPORT_POLICY_SLOT_ACCESS_H

#include <balsamport/policy/server_state.h>

namespace balsamport {

/// @brief Finds the slot that holds, loads or may hold an adapter.
/// @return null if there is none
[[nodiscard]] Slot *findSlot(ServerState &server, std::uint64_t hash) noexcept;
[[nodiscard]] const Slot *findSlot(const ServerState &server, std::uint64_t hash) noexcept;

/// @return whether a grant uses the adapter, so that it must not be evicted
[[nodiscard]] bool isPinned(const ServerState &server, std::uint64_t hash) noexcept;

/// @return whether a queued request needs the adapter
[[nodiscard]] bool isWaitedFor(const ServerState &server, std::uint64_t hash) noexcept;

/// @return whether the adapter failed to load and must not be retried yet
[[nodiscard]] bool isBackingOff(const ServerState &server, std::uint64_t hash, Millis now);

/// @brief Updates an exponential moving average.
/// @return the average including the sample
[[nodiscard]] Millis movingAverage(Millis average, Millis sample) noexcept;

} // namespace balsamport

#endif
