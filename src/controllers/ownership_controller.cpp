#include <balsamport/controllers/ownership_controller.h>

#include <balsamport/core/log.h>
#include <balsamport/policy/witness_slots.h>
#include <balsamport/wire/convert.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis evaluationInterval{100};
constexpr std::int64_t voteRequestsPerLifetime = 3;

std::string_view authorityName(OwnerAuthority authority)
{
    switch (authority) {
    case OwnerAuthority::None:
        return "none";
    case OwnerAuthority::Handover:
        return "handover";
    case OwnerAuthority::GrantsOnly:
        return "grants_only";
    case OwnerAuthority::Full:
        return "full";
    }
    return "unknown";
}

} // namespace

OwnershipController::OwnershipController(MessageClient &messageClient,
                                         MembershipController &membershipController,
                                         Member selfMember)
    : client(messageClient)
    , membership(membershipController)
    , self(std::move(selfMember))
{ }

void OwnershipController::update(SnapshotPtr snapshot)
{
    const std::lock_guard lock(this->mutex);
    this->inputs.snapshot = std::move(snapshot);
    this->inputs.fleet = nullptr; // Makes refreshInputs() compute the rankings again.
}

Millis OwnershipController::viewLifetime() const
{
    return this->inputs.snapshot ? this->inputs.snapshot->limits.viewLifetime
                                 : LimitsConfig().viewLifetime;
}

Millis OwnershipController::handoverWait() const
{
    return this->inputs.snapshot ? this->inputs.snapshot->limits.handoverWait
                                 : LimitsConfig().handoverWait;
}

bool OwnershipController::handle(const wire::Envelope &message, const ReplySender &reply)
{
    if (!message.has_view_confirm()) {
        return false;
    }
    const wire::ViewConfirm &request = message.view_confirm();
    const Millis now = monotonicNow();
    wire::Envelope envelope;
    wire::ViewConfirmReply &votes = *envelope.mutable_view_confirm_reply();
    {
        const std::lock_guard lock(this->mutex);
        this->detectPause(now);
        this->refreshInputs();
        if (request.list_digest() == this->inputs.list.digest && this->inputs.list.isKnown()) {
            for (const std::string &vm : request.alive_vms()) {
                if (votePresent(this->voter, VmId(vm), now, this->viewLifetime())) {
                    votes.add_alive_vms(vm);
                }
            }
            for (const std::string &vm : request.gone_vms()) {
                if (voteDeparted(this->voter, VmId(vm), this->assumesDeparted(VmId(vm)), now,
                                 this->viewLifetime())) {
                    votes.add_gone_vms(vm);
                }
            }
        }
    }
    reply(std::move(envelope));
    return true;
}

bool OwnershipController::assumesDeparted(const VmId &vm) const
{
    const ListedVm *listed = findListed(this->inputs.list, vm);
    if (listed != nullptr && listed->draining) {
        return true;
    }
    const auto state = this->inputs.states.find(vm);
    return state != this->inputs.states.end() && !isPresent(state->second);
}

void OwnershipController::detectPause(Millis now)
{
    const bool paused = now > this->lastTick + this->viewLifetime() / 2;
    if (paused) {
        if (this->lastTick != Millis()) {
            LOG(WARNING) << logprefix::owner
                         << "Resumed after a process pause; abstaining from votes. pause="
                         << now - this->lastTick;
        }
        this->voter.abstainUntil = now + promiseDuration(this->viewLifetime());
    }
    this->lastTick = now;
}

void OwnershipController::refreshInputs()
{
    std::shared_ptr<const FleetView> fleet = this->membership.fleet();
    PlatformList list = this->membership.list();
    const bool changed = fleet != this->inputs.fleet || list.digest != this->inputs.list.digest;
    this->inputs.list = std::move(list);
    if (changed) {
        this->inputs.fleet = std::move(fleet);
        this->inputs.states = statesOf(this->inputs.fleet->members);
        this->updateRankings();
    }
}

void OwnershipController::updateRankings()
{
    this->rankings.clear();
    if (!this->inputs.snapshot) {
        return;
    }
    const std::vector<Member> members = this->inputs.fleet->members;
    for (const auto &[id, server] : this->inputs.snapshot->backendServers) {
        if (server.dataCentre == this->self.dataCentre) {
            this->rankings[id] = rankSuccessors(ownerCandidates(server, this->inputs.list, members),
                                                this->inputs.list, this->inputs.states);
        }
    }
    this->membership.setOwners(ownersOf(*this->inputs.snapshot, this->inputs.list, members));
    // setOwners() publishes a new view. Keeping that one here avoids computing the rankings again
    // where only the owners changed.
    std::shared_ptr<const FleetView> next = this->membership.fleet();
    if (next->members == members) {
        this->inputs.fleet = std::move(next);
    }
}

bool OwnershipController::isHolder(const SuccessorRanking &ranking) const
{
    return ranking.holder == this->self.instance.vm;
}

Millis OwnershipController::confirm(const SuccessorRanking &ranking)
{
    this->requiredConditions.present.insert(ranking.conditions.present.begin(),
                                            ranking.conditions.present.end());
    this->requiredConditions.departed.insert(ranking.conditions.departed.begin(),
                                             ranking.conditions.departed.end());
    return confirmedUntil(ranking.conditions, this->collectedVotes, this->inputs.list,
                          this->viewLifetime());
}

void OwnershipController::tick(Millis now)
{
    const std::lock_guard lock(this->mutex);
    if (now < this->nextEvaluation) {
        return;
    }
    this->nextEvaluation = now + evaluationInterval;
    this->detectPause(now);
    this->refreshInputs();
    expireVotes(this->voter, this->collectedVotes, now);
    this->requiredConditions = OwnershipConditions{};
    this->evaluateServers(now);
    this->evaluateWitnessSlots(now);
    this->castOwnVotes(now);
    if (now >= this->nextVoteRequest) {
        this->nextVoteRequest = now + this->viewLifetime() / voteRequestsPerLifetime;
        this->requestVotes(now);
    }
}

void OwnershipController::evaluateServers(Millis now)
{
    std::map<BackendServerId, OwnershipTerm> next;
    for (const auto &[id, ranking] : this->rankings) {
        const bool assumed = this->isHolder(ranking);
        const Millis confirmation = assumed ? this->confirm(ranking) : Millis();
        const OwnershipTerm before = this->terms[id];
        const OwnershipTerm after = updateTerm(before, assumed, confirmation, now);
        const OwnerAuthority oldAuthority
                = authorityOf(before, this->lastTick, this->handoverWait());
        const OwnerAuthority newAuthority = authorityOf(after, now, this->handoverWait());
        if (after.confirmedSince != before.confirmedSince && assumed) {
            const auto wall = static_cast<std::uint64_t>(wallNow().count());
            const std::uint64_t successor = this->fencing[id].number() + 1;
            this->fencing[id] = FencingNumber(std::max(wall, successor));
        }
        if (oldAuthority != newAuthority || before.assumed != after.assumed) {
            LOG(INFO) << logprefix::owner << "Authority changed. server=" << id
                      << " right=" << authorityName(newAuthority)
                      << " fencing=" << this->fencing[id];
        }
        next[id] = after;
    }
    this->terms = std::move(next);
}

void OwnershipController::evaluateWitnessSlots(Millis now)
{
    std::map<std::string, WitnessSlotTerm> next;
    const std::vector<WitnessSlot> all = this->inputs.snapshot
            ? allWitnessSlots(dataCentresOf(*this->inputs.snapshot))
            : std::vector<WitnessSlot>();
    const std::vector<VmId> candidates = listedIn(this->inputs.list, this->self.dataCentre);
    for (const WitnessSlot &slot : all) {
        if (slot.dataCentre != this->self.dataCentre) {
            continue;
        }
        const SuccessorRanking ranking
                = rankSuccessors(candidates, this->inputs.list, this->inputs.states, slot.rank);
        const bool assumed = this->isHolder(ranking);
        const Millis confirmation = assumed ? this->confirm(ranking) : Millis();
        WitnessSlotTerm slotTerm = this->slotTerms[slot.str()];
        slotTerm.term = updateTerm(slotTerm.term, assumed, confirmation, now);
        const bool held = isWitnessSlotHeld(slotTerm.term, now, this->handoverWait());
        if (held && !slotTerm.held) {
            slotTerm.heldSince = now;
            slotTerm.heldSinceWall = wallNow();
        }
        if (held != slotTerm.held) {
            LOG(INFO) << logprefix::owner << "Witness slot changed. seat=" << slot.str()
                      << " held=" << held;
        }
        slotTerm.held = held;
        next[slot.str()] = slotTerm;
    }
    this->slotTerms = std::move(next);
}

void OwnershipController::castOwnVotes(Millis now)
{
    const VmId &vm = this->self.instance.vm;
    const Millis until = now + this->viewLifetime();
    for (const VmId &subject : this->requiredConditions.present) {
        const std::vector<VmId> voters = votersFor(subject, this->inputs.list);
        if (std::find(voters.begin(), voters.end(), vm) != voters.end()
            && votePresent(this->voter, subject, now, this->viewLifetime())) {
            this->collectedVotes.present[subject][vm] = until;
        }
    }
    for (const VmId &subject : this->requiredConditions.departed) {
        const std::vector<VmId> voters = votersFor(subject, this->inputs.list);
        if (std::find(voters.begin(), voters.end(), vm) != voters.end()
            && voteDeparted(this->voter, subject, this->assumesDeparted(subject), now,
                            this->viewLifetime())) {
            this->collectedVotes.departed[subject][vm] = until;
        }
    }
}

std::vector<VmId>
OwnershipController::votersToQuery(const VmId &subject,
                                   const std::map<VmId, std::map<VmId, Millis>> &votesBySubject,
                                   Millis now) const
{
    std::vector<VmId> voters = votersFor(subject, this->inputs.list);
    std::size_t needed = departedQuorum(voters.size());
    needed -= std::erase(voters, this->self.instance.vm);
    const auto votes = votesBySubject.find(subject);
    if (votes == votesBySubject.end() || needed == 0 || voters.size() <= needed) {
        return voters;
    }
    // A vote that was received in the previous round expires later than this.
    const Millis renewedUntil = now + this->viewLifetime() / 2;
    const auto hasReplied = [&votes, renewedUntil](const VmId &vm) {
        const auto vote = votes->second.find(vm);
        return vote != votes->second.end() && vote->second >= renewedUntil;
    };
    std::stable_partition(voters.begin(), voters.end(), hasReplied);
    if (hasReplied(voters[needed - 1])) {
        voters.resize(needed);
    }
    return voters;
}

void OwnershipController::requestVotes(Millis now)
{
    std::map<VmId, wire::Envelope> requests;
    const auto add = [this, &requests, now](const VmId &subject, bool departed) {
        const auto &votes = departed ? this->collectedVotes.departed : this->collectedVotes.present;
        for (const VmId &voterVm : this->votersToQuery(subject, votes, now)) {
            wire::ViewConfirm &request = *requests[voterVm].mutable_view_confirm();
            if (departed) {
                request.add_gone_vms(subject.str());
            } else {
                request.add_alive_vms(subject.str());
            }
        }
    };
    for (const VmId &subject : this->requiredConditions.present) {
        add(subject, false);
    }
    for (const VmId &subject : this->requiredConditions.departed) {
        add(subject, true);
    }
    const Millis until = now + this->viewLifetime();
    for (auto &[voterVm, message] : requests) {
        const ListedVm *listed = findListed(this->inputs.list, voterVm);
        message.mutable_view_confirm()->set_list_digest(this->inputs.list.digest);
        this->client.request(
                listed->controllerEndpoint, std::move(message), this->viewLifetime(),
                [this, vm = voterVm, until](const Result<wire::Envelope> &result) {
                    if (result.has_value() && result.value().has_view_confirm_reply()) {
                        this->recordVotes(vm, result.value().view_confirm_reply(), until);
                    }
                    return false;
                });
    }
}

void OwnershipController::recordVotes(const VmId &voterVm, const wire::ViewConfirmReply &votes,
                                      Millis until)
{
    const std::lock_guard lock(this->mutex);
    for (const std::string &subject : votes.alive_vms()) {
        Millis &vote = this->collectedVotes.present[VmId(subject)][voterVm];
        vote = std::max(vote, until);
    }
    for (const std::string &subject : votes.gone_vms()) {
        Millis &vote = this->collectedVotes.departed[VmId(subject)][voterVm];
        vote = std::max(vote, until);
    }
}

std::vector<ServerOwnership> OwnershipController::servers() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<ServerOwnership> result;
    for (const auto &[id, term] : this->terms) {
        ServerOwnership ownership;
        ownership.backendServer = id;
        ownership.authority = authorityOf(term, this->lastTick, this->handoverWait());
        const auto number = this->fencing.find(id);
        ownership.fencing = number == this->fencing.end() ? FencingNumber() : number->second;
        ownership.ownerSince = std::max(term.assumedSince, term.confirmedSince);
        ownership.confirmedUntil = term.confirmedUntil;
        result.push_back(ownership);
    }
    return result;
}

std::vector<WitnessSlotView> OwnershipController::witnessSlots() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<WitnessSlotView> result;
    for (const auto &[name, slotTerm] : this->slotTerms) {
        result.push_back(WitnessSlotView{DataCentreId(name), slotTerm.held, slotTerm.heldSinceWall,
                                         slotTerm.heldSince, slotTerm.term.confirmedUntil});
    }
    return result;
}

void OwnershipController::fillStatus(wire::StatusReply &status) const
{
    const std::lock_guard lock(this->mutex);
    const VmId &vm = this->self.instance.vm;
    const OwnershipConditions presence{{vm}, {}};
    status.set_view_confirmed(
            confirmedUntil(presence, this->collectedVotes, this->inputs.list, this->viewLifetime())
            > monotonicNow());
}

} // namespace balsamport
