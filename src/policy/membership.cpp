#include <balsamport/policy/membership.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace balsamport {

namespace {

constexpr std::uint32_t gossipSendFactor = 2;

/// Rank of a state; at the same incarnation and refutation the state of higher rank wins.
int stateRank(MemberState state) noexcept
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Draining:
        return 1;
    case MemberState::Suspect:
        return 2;
    case MemberState::Dead:
        return 3;
    }
    return 0;
}

std::tuple<Incarnation, std::uint64_t, int> precedence(const Member &member)
{
    return {member.instance.incarnation, member.refutation, stateRank(member.state)};
}

/// Number of messages that carry a change: logarithmic in the number of members.
std::uint32_t gossipSendCount(const MembershipState &state)
{
    std::uint32_t bits = 1;
    for (std::size_t n = state.others.size() + 1; n > 1; n /= 2) {
        ++bits;
    }
    return gossipSendFactor * bits;
}

void setState(MembershipState &state, MemberRecord &record, MemberState next, Millis now)
{
    record.member.state = next;
    record.since = now;
    record.gossipSendsLeft = gossipSendCount(state);
}

bool applyGossipAboutSelf(MembershipState &state, const Member &update)
{
    if (update.instance.incarnation != state.self.instance.incarnation) {
        return false;
    }
    const bool contradicted = precedence(update) > precedence(state.self);
    if (contradicted) {
        state.self.refutation = update.refutation + 1;
    }
    // A sender that still has an older state has missed the refutation: all copies of it can be
    // lost, for example in replies that arrive after their timeout.
    if (contradicted || update.state != state.self.state) {
        state.selfGossipSendsLeft = gossipSendCount(state);
    }
    return contradicted;
}

Member memberFromListed(const ListedVm &listed)
{
    Member member;
    member.instance.vm = listed.vm;
    member.dataCentre = listed.dataCentre;
    member.controllerEndpoint = listed.controllerEndpoint;
    member.gatewayAddress = listed.gatewayAddress;
    return member;
}

bool isInOwnDataCentre(const MembershipState &state, const MemberRecord &record)
{
    return record.member.dataCentre == state.self.dataCentre;
}

/// Members for which `predicate` holds, ordered by VM id.
template<typename Predicate>
std::vector<VmId> membersWhere(const MembershipState &state, Predicate predicate)
{
    std::vector<VmId> chosen;
    for (const auto &[vm, record] : state.others) {
        if (predicate(record)) {
            chosen.push_back(vm);
        }
    }
    return chosen;
}

std::optional<VmId> pickOne(MembershipState &state, const std::vector<VmId> &vms)
{
    if (vms.empty()) {
        return std::nullopt;
    }
    return vms[state.random() % vms.size()];
}

std::optional<VmId> pickDead(MembershipState &state)
{
    return pickOne(state, membersWhere(state, [&state](const MemberRecord &record) {
                       return isInOwnDataCentre(state, record)
                               && record.member.state == MemberState::Dead
                               && findListed(state.list, record.member.instance.vm) != nullptr;
                   }));
}

std::optional<VmId> pickRemote(MembershipState &state)
{
    const std::vector<VmId> own = watchersOf(state, state.self.dataCentre);
    if (std::find(own.begin(), own.end(), state.self.instance.vm) == own.end()) {
        return std::nullopt;
    }
    std::vector<DataCentreId> remote;
    for (const auto &[vm, record] : state.others) {
        if (!isInOwnDataCentre(state, record)) {
            remote.push_back(record.member.dataCentre);
        }
    }
    std::sort(remote.begin(), remote.end());
    remote.erase(std::unique(remote.begin(), remote.end()), remote.end());
    if (remote.empty()) {
        return std::nullopt;
    }
    return pickOne(state, watchersOf(state, remote[state.random() % remote.size()]));
}

/// Next member of the own data centre in a shuffled round, so that each member is probed within a
/// bounded time.
std::optional<VmId> pickInRound(MembershipState &state)
{
    if (state.probeOrder.empty()) {
        state.probeOrder = membersWhere(state, [&state](const MemberRecord &record) {
            return isInOwnDataCentre(state, record) && record.member.state != MemberState::Dead;
        });
        std::shuffle(state.probeOrder.begin(), state.probeOrder.end(), state.random);
    }
    while (!state.probeOrder.empty()) {
        const VmId vm = state.probeOrder.back();
        state.probeOrder.pop_back();
        const auto found = state.others.find(vm);
        if (found != state.others.end() && found->second.member.state != MemberState::Dead) {
            return vm;
        }
    }
    return std::nullopt;
}

std::optional<VmId> pickTarget(MembershipState &state)
{
    std::optional<VmId> target;
    ++state.probeCount;
    if (state.probeCount % state.timings.remoteProbeEvery == 0) {
        target = pickRemote(state);
    }
    if (!target && state.probeCount % state.timings.deadProbeEvery == 1) {
        target = pickDead(state);
    }
    if (!target) {
        target = pickInRound(state);
    }
    return target ? target : pickDead(state);
}

std::optional<ProbeAction> startProbe(MembershipState &state, Millis now)
{
    state.nextProbe = now + state.timings.probeInterval;
    const std::optional<VmId> target = pickTarget(state);
    if (!target) {
        return std::nullopt;
    }
    const MemberRecord &record = state.others.at(*target);
    const bool canSuspect = isInOwnDataCentre(state, record);
    state.pending = PendingProbe{*target, now, false, canSuspect};
    return ProbeAction{*target, record.member.controllerEndpoint, {}};
}

std::optional<ProbeAction> requestRelays(MembershipState &state)
{
    state.pending->relayed = true;
    const VmId target = state.pending->target;
    std::vector<VmId> relays = membersWhere(state, [&](const MemberRecord &record) {
        return isInOwnDataCentre(state, record) && record.member.state == MemberState::Alive
                && record.member.instance.vm != target;
    });
    std::shuffle(relays.begin(), relays.end(), state.random);
    if (relays.size() > state.timings.relays) {
        relays.resize(state.timings.relays);
    }
    if (relays.empty()) {
        return std::nullopt;
    }
    ProbeAction action{target, state.others.at(target).member.controllerEndpoint, {}};
    for (const VmId &relay : relays) {
        action.relayEndpoints.push_back(state.others.at(relay).member.controllerEndpoint);
    }
    return action;
}

void suspectUnresponsive(MembershipState &state, Millis now)
{
    const auto found = state.others.find(state.pending->target);
    const bool canSuspect = state.pending->canSuspect;
    state.pending.reset();
    if (found == state.others.end() || !canSuspect) {
        return;
    }
    const MemberState current = found->second.member.state;
    if (current == MemberState::Alive || current == MemberState::Draining) {
        setState(state, found->second, MemberState::Suspect, now);
    }
}

bool isRemovable(const MembershipState &state, const MemberRecord &record, Millis now)
{
    if (now < record.since + state.timings.removalDelay
        || findListed(state.list, record.member.instance.vm) != nullptr) {
        return false;
    }
    // Members of other data centres are not suspected here, so a fresh list must have dropped them.
    const bool isListFresh = now < state.list.readAt + state.timings.removalDelay;
    return record.member.state == MemberState::Dead
            || (!isInOwnDataCentre(state, record) && state.list.isKnown() && isListFresh);
}

} // namespace

MembershipState startMembership(Member self, MembershipTimings timings, std::uint64_t seed)
{
    MembershipState state;
    state.self = std::move(self);
    state.timings = timings;
    state.random.seed(seed);
    state.selfGossipSendsLeft = gossipSendFactor;
    return state;
}

bool applyList(MembershipState &state, PlatformList list, Millis now)
{
    if (state.list.isKnown() && list.readAt < state.list.readAt) {
        return false;
    }
    const bool changed = list.digest != state.list.digest;
    state.list = std::move(list);
    if (!changed) {
        return false;
    }
    for (const ListedVm &listed : state.list.vms) {
        if (listed.vm == state.self.instance.vm) {
            continue;
        }
        const auto [record, added] = state.others.try_emplace(listed.vm);
        if (added) {
            record->second.member = memberFromListed(listed);
            record->second.since = now;
        }
    }
    return true;
}

bool applyGossip(MembershipState &state, const Member &update, Millis now)
{
    if (update.instance.vm == state.self.instance.vm) {
        return applyGossipAboutSelf(state, update);
    }
    const auto [found, added] = state.others.try_emplace(update.instance.vm);
    MemberRecord &record = found->second;
    if (!added && precedence(update) <= precedence(record.member)) {
        return false;
    }
    const bool restarted = record.member.instance.incarnation != update.instance.incarnation;
    record.member = update;
    record.introduced = record.introduced && !restarted;
    setState(state, record, update.state, now);
    return true;
}

std::vector<Member> selectGossip(MembershipState &state, const VmId &receiver)
{
    std::vector<Member> gossip;
    const auto known = state.others.find(receiver);
    const bool unintroduced = known == state.others.end() || !known->second.introduced;
    if (unintroduced || state.selfGossipSendsLeft > 0) {
        gossip.push_back(state.self);
        state.selfGossipSendsLeft -= std::min<std::uint32_t>(state.selfGossipSendsLeft, 1);
    }
    if (known != state.others.end() && known->second.member.state != MemberState::Alive) {
        gossip.push_back(known->second.member);
    }
    std::vector<MemberRecord *> unsent;
    for (auto &[vm, record] : state.others) {
        if (record.gossipSendsLeft > 0 && vm != receiver) {
            unsent.push_back(&record);
        }
    }
    std::stable_sort(unsent.begin(), unsent.end(),
                     [](const MemberRecord *a, const MemberRecord *b) {
                         return a->gossipSendsLeft > b->gossipSendsLeft;
                     });
    for (MemberRecord *record : unsent) {
        if (gossip.size() >= state.timings.gossipPerMessage) {
            break;
        }
        --record->gossipSendsLeft;
        gossip.push_back(record->member);
    }
    return gossip;
}

std::optional<ProbeAction> nextProbe(MembershipState &state, Millis now)
{
    if (state.pending && state.others.count(state.pending->target) == 0) {
        state.pending.reset();
    }
    const bool probeTimedOut = state.pending && !state.pending->relayed && state.pending->canSuspect
            && now >= state.pending->sentAt + state.timings.probeTimeout;
    if (probeTimedOut) {
        auto relay = requestRelays(state);
        if (relay) {
            return relay;
        }
    }
    if (now < state.nextProbe) {
        return std::nullopt;
    }
    if (state.pending) {
        suspectUnresponsive(state, now);
    }
    return startProbe(state, now);
}

void recordMessageFrom(MembershipState &state, const VmId &from, Millis now)
{
    if (state.pending && state.pending->target == from) {
        state.pending.reset();
    }
    const auto found = state.others.find(from);
    if (found == state.others.end()) {
        return;
    }
    found->second.introduced = true;
    // A member that is known only from the list has no incarnation and can't refute a suspicion.
    if (found->second.member.instance.incarnation == Incarnation()
        && found->second.member.state != MemberState::Alive) {
        setState(state, found->second, MemberState::Alive, now);
    }
}

bool expireMembers(MembershipState &state, Millis now)
{
    bool changed = false;
    for (auto it = state.others.begin(); it != state.others.end();) {
        MemberRecord &record = it->second;
        if (record.member.state == MemberState::Suspect && isInOwnDataCentre(state, record)
            && now >= record.since + state.timings.suspicionTimeout) {
            setState(state, record, MemberState::Dead, now);
            changed = true;
        }
        if (isRemovable(state, record, now)) {
            it = state.others.erase(it);
            changed = true;
        } else {
            ++it;
        }
    }
    return changed;
}

void startDraining(MembershipState &state)
{
    state.self.state = MemberState::Draining;
    ++state.self.refutation;
    state.selfGossipSendsLeft = gossipSendCount(state);
}

std::vector<Member> allMembers(const MembershipState &state)
{
    std::vector<Member> members;
    members.reserve(state.others.size() + 1);
    members.push_back(state.self);
    for (const auto &[vm, record] : state.others) {
        members.push_back(record.member);
    }
    std::sort(members.begin(), members.end());
    return members;
}

std::vector<VmId> watchersOf(const MembershipState &state, const DataCentreId &dataCentre)
{
    std::set<VmId> listedNames;
    for (const ListedVm &listed : state.list.vms) {
        listedNames.insert(listed.vm);
    }
    std::vector<VmId> listed;
    std::vector<VmId> all;
    const auto add = [&](const Member &member) {
        if (member.dataCentre != dataCentre || member.state == MemberState::Dead) {
            return;
        }
        all.push_back(member.instance.vm);
        if (listedNames.count(member.instance.vm) != 0) {
            listed.push_back(member.instance.vm);
        }
    };
    add(state.self);
    for (const auto &[vm, record] : state.others) {
        add(record.member);
    }
    std::vector<VmId> ranked
            = rendezvousRank("platform-watcher", listed.empty() ? std::move(all) : listed);
    if (ranked.size() > watchersPerDataCentre) {
        ranked.resize(watchersPerDataCentre);
    }
    return ranked;
}

std::vector<VmId> broadcastTargets(const MembershipState &state, std::uint64_t change,
                                   bool sendToRoot)
{
    std::vector<VmId> members = membersWhere(state, [&state](const MemberRecord &record) {
        return isInOwnDataCentre(state, record) && record.member.state != MemberState::Dead;
    });
    members.push_back(state.self.instance.vm);
    const std::vector<VmId> ranked = rendezvousRank(std::to_string(change), members);
    const auto position = std::find(ranked.begin(), ranked.end(), state.self.instance.vm);
    const auto index = static_cast<std::size_t>(position - ranked.begin());
    std::vector<VmId> receivers;
    if (sendToRoot && index != 0) {
        receivers.push_back(ranked.front());
    }
    const std::size_t firstChild = broadcastFanout * index + 1;
    for (std::size_t i = firstChild; i < std::min(firstChild + broadcastFanout, ranked.size());
         ++i) {
        receivers.push_back(ranked[i]);
    }
    return receivers;
}

} // namespace balsamport
