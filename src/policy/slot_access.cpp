#include "slot_access.h"

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::int64_t sampleDivisor = 8; ///< A sample has a weight of 1/8 in a moving average.

} // namespace

Slot *findSlot(ServerState &server, std::uint64_t hash) noexcept
{
    for (Slot &slot : server.slots) {
        if (slot.state != SlotState::Free && slot.hash == hash) {
            return &slot;
        }
    }
    return nullptr;
}

const Slot *findSlot(const ServerState &server, std::uint64_t hash) noexcept
{
    return findSlot(const_cast<ServerState &>(server), hash);
}

bool isPinned(const ServerState &server, std::uint64_t hash) noexcept
{
    return server.pins.contains(hash);
}

bool isWaitedFor(const ServerState &server, std::uint64_t hash) noexcept
{
    return std::any_of(server.waiters.begin(), server.waiters.end(),
                       [hash](const Waiter &w) { return w.request.adapterHash == hash; });
}

bool isBackingOff(const ServerState &server, std::uint64_t hash, Millis now)
{
    const auto found = server.backoffs.find(hash);
    return found != server.backoffs.end() && now < found->second.until;
}

Millis movingAverage(Millis average, Millis sample) noexcept
{
    return average + (sample - average) / sampleDivisor;
}

} // namespace balsamport
