#include <balsamport/policy/ownership.h>

#include <balsamport/core/rendezvous.h>
#include <balsamport/policy/membership.h>

#include <algorithm>

namespace balsamport {

namespace {

bool isCandidate(const VmId &vm, const PlatformList &list, const MemberStates &states)
{
    const ListedVm *listed = findListed(list, vm);
    if (listed != nullptr && listed->draining) {
        return false;
    }
    const auto state = states.find(vm);
    return state != states.end() && isPresent(state->second);
}

const Member *findMember(const std::vector<Member> &members, const VmId &vm)
{
    const auto found
            = std::lower_bound(members.begin(), members.end(), vm,
                               [](const Member &m, const VmId &v) { return m.instance.vm < v; });
    return found == members.end() || found->instance.vm != vm ? nullptr : &*found;
}

} // namespace

MemberStates statesOf(const std::vector<Member> &members)
{
    MemberStates states;
    for (const Member &member : members) {
        states.emplace(member.instance.vm, member.state);
    }
    return states;
}

Succession successionOf(const std::vector<VmId> &order, const PlatformList &list,
                        const MemberStates &states, std::size_t rank)
{
    Succession succession;
    std::size_t present = 0;
    for (const VmId &vm : order) {
        if (!isCandidate(vm, list, states)) {
            succession.claim.gone.insert(vm);
            continue;
        }
        succession.claim.present.insert(vm);
        if (present == rank) {
            succession.holder = vm;
            return succession;
        }
        ++present;
    }
    return Succession{};
}

std::vector<VmId> ownerOrder(const BackendServerConfig &server, const PlatformList &list,
                             const std::vector<Member> &members)
{
    std::vector<VmId> vms = listedIn(list, server.dataCentre);
    if (vms.empty()) {
        for (const Member &member : members) {
            if (member.dataCentre == server.dataCentre) {
                vms.push_back(member.instance.vm);
            }
        }
    }
    return rendezvousRank(server.id.str(), std::move(vms));
}

std::vector<Owner> ownersOf(const Snapshot &snapshot, const PlatformList &list,
                            const std::vector<Member> &members)
{
    const MemberStates states = statesOf(members);
    std::vector<Owner> owners;
    for (const auto &[id, server] : snapshot.backendServers) {
        const Succession succession = successionOf(ownerOrder(server, list, members), list, states);
        if (!succession.holder) {
            continue;
        }
        const Member *member = findMember(members, *succession.holder);
        if (member != nullptr) {
            owners.push_back(Owner{id, *succession.holder, member->controllerEndpoint});
        }
    }
    return owners;
}

Tenure updateTenure(const Tenure &previous, bool believed, Millis confirmation, Millis now)
{
    Tenure next = previous;
    if (!believed) {
        return Tenure{};
    }
    if (!previous.believed) {
        next = Tenure{true, now, now, Millis()};
    }
    if (confirmation > now) {
        const bool unbroken = previous.believed && previous.confirmedUntil > now;
        next.confirmedSince = unbroken ? previous.confirmedSince : now;
    }
    next.confirmedUntil = confirmation;
    return next;
}

OwnerAuthority authorityOf(const Tenure &tenure, Millis now, Millis handoverWait) noexcept
{
    if (!tenure.believed) {
        return OwnerAuthority::None;
    }
    if (now < tenure.believedSince + handoverWait) {
        return OwnerAuthority::Handover;
    }
    const bool confirmed = now < tenure.confirmedUntil;
    return confirmed && now >= tenure.confirmedSince + handoverWait ? OwnerAuthority::Full
                                                                    : OwnerAuthority::GrantsOnly;
}

bool isSeatHeld(const Tenure &tenure, Millis now, Millis handoverWait) noexcept
{
    return authorityOf(tenure, now, handoverWait) == OwnerAuthority::Full;
}

} // namespace balsamport
