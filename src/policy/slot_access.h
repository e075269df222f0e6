#ifndef BALSAMPORT_POLICY_SLOT_ACCESS_H
#define BALSAMPORT_POLICY_SLOT_ACCESS_H

#include <balsamport/policy/server_state.h>

namespace balsamport {

/// @return the slot that holds, loads or may hold an adapter; null where there is none
[[nodiscard]] Slot *findSlot(ServerState &server, std::uint64_t hash) noexcept;
[[nodiscard]] const Slot *findSlot(const ServerState &server, std::uint64_t hash) noexcept;

/// @return whether a grant holds the adapter
[[nodiscard]] bool isPinned(const ServerState &server, std::uint64_t hash) noexcept;

/// @return whether a request waits for the adapter
[[nodiscard]] bool isWaitedFor(const ServerState &server, std::uint64_t hash) noexcept;

/// @return whether the adapter failed to load and must not be tried yet
[[nodiscard]] bool isBackingOff(const ServerState &server, std::uint64_t hash, Millis now);

/// @brief Moves a learnt time towards a new sample.
[[nodiscard]] Millis learn(Millis known, Millis sample) noexcept;

} // namespace balsamport

#endif
