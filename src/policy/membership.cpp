#include <balsamport/policy/membership.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace balsamport {

namespace {

constexpr std::uint32_t newsFactor = 2;

/// Rank of a state at the same incarnation and refutation; the higher one is believed.
int gravity(MemberState state) noexcept
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
    return {member.instance.incarnation, member.refutation, gravity(member.state)};
}

/// Messages that carry a change: logarithmic in the number of members.
std::uint32_t newsRepeats(const MembershipState &state)
{
    std::uint32_t bits = 1;
    for (std::size_t n = state.others.size() + 1; n > 1; n /= 2) {
        ++bits;
    }
    return newsFactor * bits;
}

void setState(MembershipState &state, MemberRecord &record, MemberState next, Millis now)
{
    record.member.state = next;
    record.since = now;
    record.newsLeft = newsRepeats(state);
}

bool applyNewsOfSelf(MembershipState &state, const Member &news)
{
    if (news.instance.incarnation != state.self.instance.incarnation) {
        return false;
    }
    const bool contradicted = precedence(news) > precedence(state.self);
    if (contradicted) {
        state.self.refutation = news.refutation + 1;
    }
    // Whoever still believes older news has missed the refutation: its copies can all be lost, for
    // example in late answers that nobody awaits any more.
    if (contradicted || news.state != state.self.state) {
        state.selfNewsLeft = newsRepeats(state);
    }
    return contradicted;
}

Member memberOf(const ListedVm &listed)
{
    Member member;
    member.instance.vm = listed.vm;
    member.dataCentre = listed.dataCentre;
    member.controllerEndpoint = listed.controllerEndpoint;
    member.gatewayAddress = listed.gatewayAddress;
    return member;
}

bool isOfSameDataCentre(const MembershipState &state, const MemberRecord &record)
{
    return record.member.dataCentre == state.self.dataCentre;
}

/// Members that `fits` takes, in the order of their names.
template<typename Fits>
std::vector<VmId> membersWhere(const MembershipState &state, Fits fits)
{
    std::vector<VmId> chosen;
    for (const auto &[vm, record] : state.others) {
        if (fits(record)) {
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
                       return isOfSameDataCentre(state, record)
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
        if (!isOfSameDataCentre(state, record)) {
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

/// Next member of the data centre in a shuffled round, so that each is probed within a bounded
/// time.
std::optional<VmId> pickInRound(MembershipState &state)
{
    if (state.probeOrder.empty()) {
        state.probeOrder = membersWhere(state, [&state](const MemberRecord &record) {
            return isOfSameDataCentre(state, record) && record.member.state != MemberState::Dead;
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
    state.nextProbe = now + state.timings.probePeriod;
    const std::optional<VmId> target = pickTarget(state);
    if (!target) {
        return std::nullopt;
    }
    const MemberRecord &record = state.others.at(*target);
    const bool maySuspect = isOfSameDataCentre(state, record);
    state.pending = PendingProbe{*target, now, false, maySuspect};
    return ProbeAction{*target, record.member.controllerEndpoint, {}};
}

std::optional<ProbeAction> askRelays(MembershipState &state)
{
    state.pending->relayed = true;
    const VmId target = state.pending->target;
    std::vector<VmId> relays = membersWhere(state, [&](const MemberRecord &record) {
        return isOfSameDataCentre(state, record) && record.member.state == MemberState::Alive
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

void suspectSilent(MembershipState &state, Millis now)
{
    const auto found = state.others.find(state.pending->target);
    const bool maySuspect = state.pending->maySuspect;
    state.pending.reset();
    if (found == state.others.end() || !maySuspect) {
        return;
    }
    const MemberState current = found->second.member.state;
    if (current == MemberState::Alive || current == MemberState::Draining) {
        setState(state, found->second, MemberState::Suspect, now);
    }
}

bool mayForget(const MembershipState &state, const MemberRecord &record, Millis now)
{
    if (now < record.since + state.timings.forgetTime
        || findListed(state.list, record.member.instance.vm) != nullptr) {
        return false;
    }
    // Members of other data centres are not probed here: a fresh list must have dropped them.
    const bool listIsFresh = now < state.list.readAt + state.timings.forgetTime;
    return record.member.state == MemberState::Dead
            || (!isOfSameDataCentre(state, record) && state.list.isKnown() && listIsFresh);
}

} // namespace

MembershipState startMembership(Member self, MembershipTimings timings, std::uint64_t seed)
{
    MembershipState state;
    state.self = std::move(self);
    state.timings = timings;
    state.random.seed(seed);
    state.selfNewsLeft = newsFactor;
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
            record->second.member = memberOf(listed);
            record->second.since = now;
        }
    }
    return true;
}

bool applyNews(MembershipState &state, const Member &news, Millis now)
{
    if (news.instance.vm == state.self.instance.vm) {
        return applyNewsOfSelf(state, news);
    }
    const auto [found, added] = state.others.try_emplace(news.instance.vm);
    MemberRecord &record = found->second;
    if (!added && precedence(news) <= precedence(record.member)) {
        return false;
    }
    const bool restarted = record.member.instance.incarnation != news.instance.incarnation;
    record.member = news;
    record.greeted = record.greeted && !restarted;
    setState(state, record, news.state, now);
    return true;
}

std::vector<Member> takeNews(MembershipState &state, const VmId &receiver)
{
    std::vector<Member> news;
    const auto known = state.others.find(receiver);
    const bool stranger = known == state.others.end() || !known->second.greeted;
    if (stranger || state.selfNewsLeft > 0) {
        news.push_back(state.self);
        state.selfNewsLeft -= std::min<std::uint32_t>(state.selfNewsLeft, 1);
    }
    if (known != state.others.end() && known->second.member.state != MemberState::Alive) {
        news.push_back(known->second.member);
    }
    std::vector<MemberRecord *> fresh;
    for (auto &[vm, record] : state.others) {
        if (record.newsLeft > 0 && vm != receiver) {
            fresh.push_back(&record);
        }
    }
    std::stable_sort(fresh.begin(), fresh.end(), [](const MemberRecord *a, const MemberRecord *b) {
        return a->newsLeft > b->newsLeft;
    });
    for (MemberRecord *record : fresh) {
        if (news.size() >= state.timings.newsPerMessage) {
            break;
        }
        --record->newsLeft;
        news.push_back(record->member);
    }
    return news;
}

std::optional<ProbeAction> nextProbe(MembershipState &state, Millis now)
{
    if (state.pending && state.others.count(state.pending->target) == 0) {
        state.pending.reset();
    }
    const bool late = state.pending && !state.pending->relayed && state.pending->maySuspect
            && now >= state.pending->sentAt + state.timings.probeTimeout;
    if (late) {
        auto relay = askRelays(state);
        if (relay) {
            return relay;
        }
    }
    if (now < state.nextProbe) {
        return std::nullopt;
    }
    if (state.pending) {
        suspectSilent(state, now);
    }
    return startProbe(state, now);
}

void takeAnswer(MembershipState &state, const VmId &from, Millis now)
{
    if (state.pending && state.pending->target == from) {
        state.pending.reset();
    }
    const auto found = state.others.find(from);
    if (found == state.others.end()) {
        return;
    }
    found->second.greeted = true;
    // A member that is known from the list alone has no incarnation yet and cannot refute.
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
        if (record.member.state == MemberState::Suspect && isOfSameDataCentre(state, record)
            && now >= record.since + state.timings.suspectTime) {
            setState(state, record, MemberState::Dead, now);
            changed = true;
        }
        if (mayForget(state, record, now)) {
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
    state.selfNewsLeft = newsRepeats(state);
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

std::vector<VmId> receiversOf(const MembershipState &state, std::uint64_t change, bool atRoot)
{
    std::vector<VmId> members = membersWhere(state, [&state](const MemberRecord &record) {
        return isOfSameDataCentre(state, record) && record.member.state != MemberState::Dead;
    });
    members.push_back(state.self.instance.vm);
    const std::vector<VmId> order = rendezvousRank(std::to_string(change), members);
    const auto place = std::find(order.begin(), order.end(), state.self.instance.vm);
    const auto index = static_cast<std::size_t>(place - order.begin());
    std::vector<VmId> receivers;
    if (atRoot && index != 0) {
        receivers.push_back(order.front());
    }
    const std::size_t firstChild = treeWidth * index + 1;
    for (std::size_t i = firstChild; i < std::min(firstChild + treeWidth, order.size()); ++i) {
        receivers.push_back(order[i]);
    }
    return receivers;
}

} // namespace balsamport
