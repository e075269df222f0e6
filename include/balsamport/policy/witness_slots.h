#ifndef BALSAMPORT_POLICY_WITNESS_SLOTS_H
#define BALSAMPORT_POLICY_WITNESS_SLOTS_H

#include <balsamport/config/snapshot.h>
#include <balsamport/policy/members.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// Witnesses that are asked for one key.
constexpr std::size_t witnessSlotsPerKey = 3;
/// Witnesses that must grant a key.
constexpr std::size_t witnessQuorum = 2;

/// @brief A place for one witness: the `rank`-th VM of a data centre, counted from 0.
///
/// With three or more data centres every witness slot has rank 0. With fewer, higher ranks fill up
/// the number, so that the witnesses are distinct VMs.
struct WitnessSlot
{
    DataCentreId dataCentre;
    std::uint32_t rank = 0;

    auto operator<=>(const WitnessSlot &) const = default;
    bool operator==(const WitnessSlot &) const = default;

    /// @return the written form: `dc` for rank 0, else `dc#rank`
    [[nodiscard]] std::string str() const;
};

/// @brief Lists every witness slot of a fleet, ordered.
/// @param dataCentres the configured data centres, in any order
/// @complexity O(n log n)
[[nodiscard]] std::vector<WitnessSlot> allWitnessSlots(std::vector<DataCentreId> dataCentres);

/// @brief Chooses the witness slots of a key by rendezvous over the data centres.
/// @return witnessSlotsPerKey slots; fewer only where no data centre is configured
/// @complexity O(n log n)
[[nodiscard]] std::vector<WitnessSlot>
witnessSlotsForKey(const RequestKey &key, const std::vector<DataCentreId> &dataCentres);

/// @brief Names a set of data centres; a witness refuses claims made under another set.
[[nodiscard]] std::uint64_t witnessSetDigest(std::vector<DataCentreId> dataCentres);

/// @return the configured data centres, ordered
[[nodiscard]] std::vector<DataCentreId> dataCentresOf(const Snapshot &snapshot);

/// @brief Finds the VM that holds a witness slot: the rank-th VM of the published list that stands
/// in the slot's data centre and is neither leaving nor dead.
/// @return nothing where there are too few VMs
/// @complexity O(listed VMs x log members)
[[nodiscard]] std::optional<Member> witnessOf(const WitnessSlot &slot, const FleetView &fleet);

} // namespace balsamport

#endif
