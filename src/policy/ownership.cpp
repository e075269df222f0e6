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

SuccessorRanking rankSuccessors(const std::vector<VmId> &candidates, const PlatformList &list,
                                const MemberStates &states, std::size_t rank)
{
    SuccessorRanking ranking;
    std::size_t present = 0;
    for (const VmId &vm : candidates) {
        if (!isCandidate(vm, list, states)) {
            ranking.conditions.departed.insert(vm);
            continue;
        }
        ranking.conditions.present.insert(vm);
        if (present == rank) {
            ranking.holder = vm;
            return ranking;
        }
        ++present;
    }
    return SuccessorRanking{};
}

std::vector<VmId> ownerCandidates(const BackendServerConfig &server, const PlatformList &list,
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
        const SuccessorRanking ranking
                = rankSuccessors(ownerCandidates(server, list, members), list, states);
        if (!ranking.holder) {
            continue;
        }
        const Member *member = findMember(members, *ranking.holder);
        if (member != nullptr) {
            owners.push_back(Owner{id, *ranking.holder, member->controllerEndpoint});
        }
    }
    return owners;
}

OwnershipTerm updateTerm(const OwnershipTerm &previous, bool assumed, Millis confirmation,
                         Millis now)
{
    OwnershipTerm next = previous;
    if (!assumed) {
        return OwnershipTerm{};
    }
    if (!previous.assumed) {
        next = OwnershipTerm{true, now, now, Millis()};
    }
    if (confirmation > now) {
        const bool uninterrupted = previous.assumed && previous.confirmedUntil > now;
        next.confirmedSince = uninterrupted ? previous.confirmedSince : now;
    }
    next.confirmedUntil = confirmation;
    return next;
}

OwnerAuthority authorityOf(const OwnershipTerm &term, Millis now, Millis handoverWait) noexcept
{
    if (!term.assumed) {
        return OwnerAuthority::None;
    }
    if (now < term.assumedSince + handoverWait) {
        return OwnerAuthority::Handover;
    }
    const bool confirmed = now < term.confirmedUntil;
    return confirmed && now >= term.confirmedSince + handoverWait ? OwnerAuthority::Full
                                                                  : OwnerAuthority::GrantsOnly;
}

bool isWitnessSlotHeld(const OwnershipTerm &term, Millis now, Millis handoverWait) noexcept
{
    return authorityOf(term, now, handoverWait) == OwnerAuthority::Full;
}

} // namespace balsamport
