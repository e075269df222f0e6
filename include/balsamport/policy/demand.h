#ifndef BALSAMPORT_POLICY_DEMAND_H
#define BALSAMPORT_POLICY_DEMAND_H

#include <balsamport/core/clock.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace balsamport {

/// @brief An exponentially decaying count of requests.
struct DecayedCount
{
    double value = 0;
    Millis at;

    bool operator==(const DecayedCount &) const = default;
};

/// @brief Decayed demand by adapter hash. Bounded: when it is full, the entries with the lower half
/// of the counts are removed.
struct DemandTable
{
    Millis halfLife{150'000};
    std::size_t capacity = 4'096;
    std::unordered_map<std::uint64_t, DecayedCount> counts;
};

/// @brief Counts one request.
/// @complexity constant, except for a linear clean-up once in capacity / 2 new adapters
void addDemand(DemandTable &table, std::uint64_t adapterHash, Millis now);

/// @return the decayed count of an adapter; 0 if it has none
[[nodiscard]] double demandOf(const DemandTable &table, std::uint64_t adapterHash,
                              Millis now) noexcept;

} // namespace balsamport

#endif
