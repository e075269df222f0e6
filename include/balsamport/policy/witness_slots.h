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

/// Number of witnesses that vote on one key.
constexpr std::size_t witnessSlotsPerKey = 3;
/// Number of witnesses that must grant a key.
constexpr std::size_t witnessQuorum = 2;

/// @brief The position of one witness: the `rank`-th VM of a data centre, counted from 0.
///
/// With three or more data centres every witness slot has rank 0. With fewer, a data centre also
/// has slots of higher ranks, so that a key has as many witnesses and these are distinct VMs.
struct WitnessSlot
{
    DataCentreId dataCentre;
    std::uint32_t rank = 0;

    auto operator<=>(const WitnessSlot &) const = default;
    bool operator==(const WitnessSlot &) const = default;

    /// @return the text form: `dc` for rank 0, else `dc#rank`
    [[nodiscard]] std::string str() const;
};

/// @brief Lists every witness slot of a fleet, ordered.
/// @param dataCentres the configured data centres, in any order
/// @complexity O(n log n)
[[nodiscard]] std::vector<WitnessSlot> allWitnessSlots(std::vector<DataCentreId> dataCentres);

/// @brief Chooses the witness slots of a key by rendezvous hashing of the data centres.
/// @return witnessSlotsPerKey slots; none if no data centre is configured
/// @complexity O(n log n)
[[nodiscard]] std::vector<WitnessSlot>
witnessSlotsForKey(const RequestKey &key, const std::vector<DataCentreId> &dataCentres);

/// @brief Returns a digest of a set of data centres; a witness refuses claims made under another
/// set.
[[nodiscard]] std::uint64_t witnessSetDigest(std::vector<DataCentreId> dataCentres);

/// @return the configured data centres, in order of their ids
[[nodiscard]] std::vector<DataCentreId> dataCentresOf(const Snapshot &snapshot);

/// @brief Finds the VM that holds a witness slot: the rank-th VM of the published list that is in
/// the slot's data centre and neither draining nor dead.
/// @return std::nullopt if there are too few such VMs
/// @complexity O(n * log m) for n listed VMs and m members
[[nodiscard]] std::optional<Member> witnessOf(const WitnessSlot &slot, const FleetView &fleet);

} // namespace balsamport

#endif
