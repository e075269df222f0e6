#include <balsamport/core/hash.h>
#include <balsamport/core/rendezvous.h>
#include <balsamport/policy/seats.h>

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

bool canHoldSeat(const Member &member, const DataCentreId &dataCentre)
{
    return member.dataCentre == dataCentre && member.state != MemberState::Draining
            && member.state != MemberState::Dead;
}

/// Seats of a fleet with fewer than seatsPerKey data centres: rank by rank over all of them.
std::vector<Seat> filledSeats(const std::vector<DataCentreId> &ordered)
{
    std::vector<Seat> seats;
    for (std::uint32_t rank = 0; seats.size() < seatsPerKey; ++rank) {
        for (const DataCentreId &dataCentre : ordered) {
            if (seats.size() < seatsPerKey) {
                seats.push_back({dataCentre, rank});
            }
        }
    }
    return seats;
}

} // namespace

std::string Seat::str() const
{
    if (this->rank == 0) {
        return this->dataCentre.str();
    }
    return this->dataCentre.str() + "#" + std::to_string(this->rank);
}

std::vector<Seat> allSeats(std::vector<DataCentreId> dataCentres)
{
    std::sort(dataCentres.begin(), dataCentres.end());
    if (dataCentres.empty()) {
        return {};
    }
    if (dataCentres.size() < seatsPerKey) {
        return filledSeats(dataCentres);
    }
    std::vector<Seat> seats;
    for (const DataCentreId &dataCentre : dataCentres) {
        seats.push_back({dataCentre, 0});
    }
    return seats;
}

std::vector<Seat> seatsForKey(const RequestKey &key, const std::vector<DataCentreId> &dataCentres)
{
    if (dataCentres.size() <= seatsPerKey) {
        return allSeats(dataCentres);
    }
    std::vector<Seat> seats;
    const std::vector<DataCentreId> ranked = rendezvousRank(key.str(), dataCentres);
    for (std::size_t i = 0; i < seatsPerKey; ++i) {
        seats.push_back({ranked[i], 0});
    }
    return seats;
}

std::uint64_t seatSetDigest(std::vector<DataCentreId> dataCentres)
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

std::optional<Member> seatHolder(const Seat &seat, const FleetView &fleet)
{
    std::uint32_t rank = 0;
    for (const VmId &vm : fleet.listedVms) {
        const Member *member = findMember(fleet, vm);
        if (member == nullptr || !canHoldSeat(*member, seat.dataCentre)) {
            continue;
        }
        if (rank == seat.rank) {
            return *member;
        }
        ++rank;
    }
    return std::nullopt;
}

} // namespace balsamport
