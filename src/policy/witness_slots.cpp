#include <balsamport/core/hash.h>
#include <balsamport/core/rendezvous.h>
#include <balsamport/policy/witness_slots.h>

#include <algorithm>

namespace balsamport {

namespace {

const Member *findMember(const FleetView &fleet, const VmId &vm)
{
    const auto found
            = std::lower_bound(fleet.members.begin(), fleet.members.end(), vm,
                               [](const Member &m, const VmId &id) { return m.instance.vm < id; });
    if (found == fleet.members.end() || found->instance.vm != vm) {
        return nullptr;
    }
    return &*found;
}

bool canBeWitness(const Member &member, const DataCentreId &dataCentre)
{
    return member.dataCentre == dataCentre && member.state != MemberState::Draining
            && member.state != MemberState::Dead;
}

/// Returns the slots of a fleet with fewer than witnessSlotsPerKey data centres: all data centres
/// with rank 0, then with rank 1, and so on.
std::vector<WitnessSlot> slotsByRank(const std::vector<DataCentreId> &ordered)
{
    std::vector<WitnessSlot> slots;
    for (std::uint32_t rank = 0; slots.size() < witnessSlotsPerKey; ++rank) {
        for (const DataCentreId &dataCentre : ordered) {
            if (slots.size() < witnessSlotsPerKey) {
                slots.push_back({dataCentre, rank});
            }
        }
    }
    return slots;
}

} // namespace

std::string WitnessSlot::str() const
{
    if (this->rank == 0) {
        return this->dataCentre.str();
    }
    return this->dataCentre.str() + "#" + std::to_string(this->rank);
}

std::vector<WitnessSlot> allWitnessSlots(std::vector<DataCentreId> dataCentres)
{
    std::sort(dataCentres.begin(), dataCentres.end());
    if (dataCentres.empty()) {
        return {};
    }
    if (dataCentres.size() < witnessSlotsPerKey) {
        return slotsByRank(dataCentres);
    }
    std::vector<WitnessSlot> slots;
    for (const DataCentreId &dataCentre : dataCentres) {
        slots.push_back({dataCentre, 0});
    }
    return slots;
}

std::vector<WitnessSlot> witnessSlotsForKey(const RequestKey &key,
                                            const std::vector<DataCentreId> &dataCentres)
{
    if (dataCentres.size() <= witnessSlotsPerKey) {
        return allWitnessSlots(dataCentres);
    }
    std::vector<WitnessSlot> slots;
    const std::vector<DataCentreId> ranked = rendezvousRank(key.str(), dataCentres);
    for (std::size_t i = 0; i < witnessSlotsPerKey; ++i) {
        slots.push_back({ranked[i], 0});
    }
    return slots;
}

std::uint64_t witnessSetDigest(std::vector<DataCentreId> dataCentres)
{
    std::sort(dataCentres.begin(), dataCentres.end());
    std::uint64_t digest = dataCentres.size();
    for (const DataCentreId &dataCentre : dataCentres) {
        digest = hash64(dataCentre.str(), digest);
    }
    return digest;
}

std::vector<DataCentreId> dataCentresOf(const Snapshot &snapshot)
{
    std::vector<DataCentreId> ids;
    ids.reserve(snapshot.dataCentres.size());
    for (const auto &[id, config] : snapshot.dataCentres) {
        ids.push_back(id);
    }
    return ids;
}

std::optional<Member> witnessOf(const WitnessSlot &slot, const FleetView &fleet)
{
    std::uint32_t rank = 0;
    for (const VmId &vm : fleet.listedVms) {
        const Member *member = findMember(fleet, vm);
        if (member == nullptr || !canBeWitness(*member, slot.dataCentre)) {
            continue;
        }
        if (rank == slot.rank) {
            return *member;
        }
        ++rank;
    }
    return std::nullopt;
}

} // namespace balsamport
