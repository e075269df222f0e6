#include <balsamport/controllers/ownership_controller.h>

#include <balsamport/core/log.h>
#include <balsamport/policy/witness_slots.h>
#include <balsamport/wire/convert.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis evaluatePeriod{100};
constexpr std::int64_t asksPerLifetime = 3;

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
    this->inputs.fleet = nullptr; // Successions are found anew.
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
    const wire::ViewConfirm &ask = message.view_confirm();
    const Millis now = monotonicNow();
    wire::Envelope answer;
    wire::ViewConfirmReply &votes = *answer.mutable_view_confirm_reply();
    {
        const std::lock_guard lock(this->mutex);
        this->noticePause(now);
        this->refreshInputs();
        if (ask.list_digest() == this->inputs.list.digest && this->inputs.list.isKnown()) {
            for (const std::string &vm : ask.alive_vms()) {
                if (votePresent(this->voter, VmId(vm), now, this->viewLifetime())) {
                    votes.add_alive_vms(vm);
                }
            }
            for (const std::string &vm : ask.gone_vms()) {
                if (voteGone(this->voter, VmId(vm), this->believesGone(VmId(vm)), now,
                             this->viewLifetime())) {
                    votes.add_gone_vms(vm);
                }
            }
        }
    }
    reply(std::move(answer));
    return true;
}

bool OwnershipController::believesGone(const VmId &vm) const
{
    const ListedVm *listed = findListed(this->inputs.list, vm);
    if (listed != nullptr && listed->draining) {
        return true;
    }
    const auto state = this->inputs.states.find(vm);
    return state != this->inputs.states.end() && !isPresent(state->second);
}

void OwnershipController::noticePause(Millis now)
{
    const bool paused = now > this->lastTick + this->viewLifetime() / 2;
    if (paused) {
        if (this->lastTick != Millis()) {
            LOG(WARNING) << logprefix::owner << "Woke late. pause=" << now - this->lastTick;
        }
        this->voter.abstainUntil = now + promiseTime(this->viewLifetime());
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
        this->findSuccessions();
    }
}

void OwnershipController::findSuccessions()
{
    this->successions.clear();
    if (!this->inputs.snapshot) {
        return;
    }
    const std::vector<Member> members = this->inputs.fleet->members;
    for (const auto &[id, server] : this->inputs.snapshot->backendServers) {
        if (server.dataCentre == this->self.dataCentre) {
            this->successions[id] = successionOf(ownerOrder(server, this->inputs.list, members),
                                                 this->inputs.list, this->inputs.states);
        }
    }
    this->membership.setOwners(ownersOf(*this->inputs.snapshot, this->inputs.list, members));
    // A view that differs in its owners alone is no reason to find them again.
    std::shared_ptr<const FleetView> next = this->membership.fleet();
    if (next->members == members) {
        this->inputs.fleet = std::move(next);
    }
}

bool OwnershipController::isHeldBySelf(const Succession &succession) const
{
    return succession.holder == this->self.instance.vm;
}

Millis OwnershipController::confirm(const Succession &succession)
{
    this->wanted.present.insert(succession.claim.present.begin(), succession.claim.present.end());
    this->wanted.gone.insert(succession.claim.gone.begin(), succession.claim.gone.end());
    return confirmedUntil(succession.claim, this->ballots, this->inputs.list, this->viewLifetime());
}

void OwnershipController::tick(Millis now)
{
    const std::lock_guard lock(this->mutex);
    if (now < this->nextEvaluation) {
        return;
    }
    this->nextEvaluation = now + evaluatePeriod;
    this->noticePause(now);
    this->refreshInputs();
    expireVotes(this->voter, this->ballots, now);
    this->wanted = OwnershipClaim{};
    this->evaluateServers(now);
    this->evaluateSeats(now);
    this->voteForSelf(now);
    if (now >= this->nextAsk) {
        this->nextAsk = now + this->viewLifetime() / asksPerLifetime;
        this->askVoters(now);
    }
}

void OwnershipController::evaluateServers(Millis now)
{
    std::map<BackendServerId, Tenure> next;
    for (const auto &[id, succession] : this->successions) {
        const bool believed = this->isHeldBySelf(succession);
        const Millis confirmation = believed ? this->confirm(succession) : Millis();
        const Tenure before = this->tenures[id];
        const Tenure after = updateTenure(before, believed, confirmation, now);
        const OwnerAuthority oldAuthority
                = authorityOf(before, this->lastTick, this->handoverWait());
        const OwnerAuthority newAuthority = authorityOf(after, now, this->handoverWait());
        if (after.confirmedSince != before.confirmedSince && believed) {
            const auto wall = static_cast<std::uint64_t>(wallNow().count());
            const std::uint64_t above = this->fencing[id].number() + 1;
            this->fencing[id] = FencingNumber(std::max(wall, above));
        }
        if (oldAuthority != newAuthority || before.believed != after.believed) {
            LOG(INFO) << logprefix::owner << "Right changed. server=" << id
                      << " right=" << authorityName(newAuthority)
                      << " fencing=" << this->fencing[id];
        }
        next[id] = after;
    }
    this->tenures = std::move(next);
}

void OwnershipController::evaluateSeats(Millis now)
{
    std::map<std::string, SeatTenure> next;
    const std::vector<WitnessSlot> all = this->inputs.snapshot
            ? allWitnessSlots(dataCentresOf(*this->inputs.snapshot))
            : std::vector<WitnessSlot>();
    const std::vector<VmId> order = listedIn(this->inputs.list, this->self.dataCentre);
    for (const WitnessSlot &seat : all) {
        if (seat.dataCentre != this->self.dataCentre) {
            continue;
        }
        const Succession succession
                = successionOf(order, this->inputs.list, this->inputs.states, seat.rank);
        const bool believed = this->isHeldBySelf(succession);
        const Millis confirmation = believed ? this->confirm(succession) : Millis();
        SeatTenure tenure = this->seatTenures[seat.str()];
        tenure.tenure = updateTenure(tenure.tenure, believed, confirmation, now);
        const bool held = isSeatHeld(tenure.tenure, now, this->handoverWait());
        if (held && !tenure.held) {
            tenure.heldSince = now;
            tenure.heldSinceWall = wallNow();
        }
        if (held != tenure.held) {
            LOG(INFO) << logprefix::owner << "Seat changed. seat=" << seat.str()
                      << " held=" << held;
        }
        tenure.held = held;
        next[seat.str()] = tenure;
    }
    this->seatTenures = std::move(next);
}

void OwnershipController::voteForSelf(Millis now)
{
    const VmId &vm = this->self.instance.vm;
    const Millis until = now + this->viewLifetime();
    for (const VmId &subject : this->wanted.present) {
        const std::vector<VmId> voters = votersOn(subject, this->inputs.list);
        if (std::find(voters.begin(), voters.end(), vm) != voters.end()
            && votePresent(this->voter, subject, now, this->viewLifetime())) {
            this->ballots.present[subject][vm] = until;
        }
    }
    for (const VmId &subject : this->wanted.gone) {
        const std::vector<VmId> voters = votersOn(subject, this->inputs.list);
        if (std::find(voters.begin(), voters.end(), vm) != voters.end()
            && voteGone(this->voter, subject, this->believesGone(subject), now,
                        this->viewLifetime())) {
            this->ballots.gone[subject][vm] = until;
        }
    }
}

std::vector<VmId> OwnershipController::votersToAsk(
        const VmId &subject, const std::map<VmId, std::map<VmId, Millis>> &ballot, Millis now) const
{
    std::vector<VmId> voters = votersOn(subject, this->inputs.list);
    std::size_t needed = goneQuorum(voters.size());
    needed -= std::erase(voters, this->self.instance.vm);
    const auto votes = ballot.find(subject);
    if (votes == ballot.end() || needed == 0 || voters.size() <= needed) {
        return voters;
    }
    // A vote of the last round lasts longer than this.
    const Millis renewed = now + this->viewLifetime() / 2;
    const auto answered = [&votes, renewed](const VmId &vm) {
        const auto vote = votes->second.find(vm);
        return vote != votes->second.end() && vote->second >= renewed;
    };
    std::stable_partition(voters.begin(), voters.end(), answered);
    if (answered(voters[needed - 1])) {
        voters.resize(needed);
    }
    return voters;
}

void OwnershipController::askVoters(Millis now)
{
    std::map<VmId, wire::Envelope> asks;
    const auto add = [this, &asks, now](const VmId &subject, bool gone) {
        const auto &votes = gone ? this->ballots.gone : this->ballots.present;
        for (const VmId &voterVm : this->votersToAsk(subject, votes, now)) {
            wire::ViewConfirm &ask = *asks[voterVm].mutable_view_confirm();
            if (gone) {
                ask.add_gone_vms(subject.str());
            } else {
                ask.add_alive_vms(subject.str());
            }
        }
    };
    for (const VmId &subject : this->wanted.present) {
        add(subject, false);
    }
    for (const VmId &subject : this->wanted.gone) {
        add(subject, true);
    }
    const Millis until = now + this->viewLifetime();
    for (auto &[voterVm, message] : asks) {
        const ListedVm *listed = findListed(this->inputs.list, voterVm);
        message.mutable_view_confirm()->set_list_digest(this->inputs.list.digest);
        this->client.request(
                listed->controllerEndpoint, std::move(message), this->viewLifetime(),
                [this, vm = voterVm, until](const Result<wire::Envelope> &result) {
                    if (result.has_value() && result.value().has_view_confirm_reply()) {
                        this->takeVotes(vm, result.value().view_confirm_reply(), until);
                    }
                    return false;
                });
    }
}

void OwnershipController::takeVotes(const VmId &voterVm, const wire::ViewConfirmReply &votes,
                                    Millis until)
{
    const std::lock_guard lock(this->mutex);
    for (const std::string &subject : votes.alive_vms()) {
        Millis &vote = this->ballots.present[VmId(subject)][voterVm];
        vote = std::max(vote, until);
    }
    for (const std::string &subject : votes.gone_vms()) {
        Millis &vote = this->ballots.gone[VmId(subject)][voterVm];
        vote = std::max(vote, until);
    }
}

std::vector<ServerOwnership> OwnershipController::servers() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<ServerOwnership> result;
    for (const auto &[id, tenure] : this->tenures) {
        ServerOwnership ownership;
        ownership.backendServer = id;
        ownership.authority = authorityOf(tenure, this->lastTick, this->handoverWait());
        const auto number = this->fencing.find(id);
        ownership.fencing = number == this->fencing.end() ? FencingNumber() : number->second;
        ownership.ownerSince = std::max(tenure.believedSince, tenure.confirmedSince);
        ownership.confirmedUntil = tenure.confirmedUntil;
        result.push_back(ownership);
    }
    return result;
}

std::vector<WitnessSlotView> OwnershipController::witnessSlots() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<WitnessSlotView> result;
    for (const auto &[name, tenure] : this->seatTenures) {
        result.push_back(WitnessSlotView{DataCentreId(name), tenure.held, tenure.heldSinceWall,
                                         tenure.heldSince, tenure.tenure.confirmedUntil});
    }
    return result;
}

void OwnershipController::fillStatus(wire::StatusReply &status) const
{
    const std::lock_guard lock(this->mutex);
    const VmId &vm = this->self.instance.vm;
    const OwnershipClaim presence{{vm}, {}};
    status.set_view_confirmed(
            confirmedUntil(presence, this->ballots, this->inputs.list, this->viewLifetime())
            > monotonicNow());
}

} // namespace balsamport
