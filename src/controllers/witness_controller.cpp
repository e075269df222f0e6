#include <balsamport/controllers/witness_controller.h>

#include <balsamport/core/log.h>
#include <balsamport/policy/witness_slots.h>
#include <balsamport/wire/convert.h>

namespace balsamport {

namespace {

ClaimLimits limitsOf(const Snapshot &snapshot)
{
    ClaimLimits limits;
    limits.capacity = snapshot.limits.claimTableSize;
    limits.clockSkew = snapshot.limits.clockSkew;
    limits.retryHorizon = snapshot.limits.retryHorizon;
    limits.handoverWait = snapshot.limits.handoverWait;
    return limits;
}

std::optional<Millis> firstSentFromWire(std::int64_t firstSentWallMs)
{
    if (firstSentWallMs == 0) {
        return std::nullopt;
    }
    return Millis(firstSentWallMs);
}

std::uint32_t refusalNumber(const ClaimVerdict &verdict)
{
    return verdict.refusal ? errorNumber(*verdict.refusal) : 0;
}

void logVerdict(const char *operation, const RequestKey &key, const std::string &slot,
                const ClaimVerdict &verdict, AttemptId claimant)
{
    if (verdict.refusal) {
        LOG(INFO) << logprefix::claim << "Refused to " << operation << ". key=" << key
                  << " seat=" << slot << " reason=" << errorName(*verdict.refusal);
    } else if (verdict.holder->attempt == claimant) {
        LOG(INFO) << logprefix::claim << "Did " << operation << ". key=" << key << " seat=" << slot
                  << " attempt=" << claimant;
    } else {
        LOG(INFO) << logprefix::claim << "Key is held by another attempt. key=" << key
                  << " seat=" << slot << " holder=" << verdict.holder->attempt
                  << " claimant=" << claimant;
    }
}

} // namespace

WitnessController::WitnessController(VmInstance self, ControllerClocks clocks)
    : self(self)
    , clocks(clocks)
    , tickets(std::move(self))
{ }

void WitnessController::update(const SnapshotPtr &snapshot,
                               const std::vector<WitnessSlotView> &slots)
{
    const std::unique_lock lock(this->mutex);
    const Millis now = this->clocks.monotonic();
    const Millis nowWall = this->clocks.wall();
    if (snapshot) {
        this->limits = limitsOf(*snapshot);
        this->applyWitnessSet(witnessSetDigest(dataCentresOf(*snapshot)));
    }
    std::map<std::string, WitnessSlotView> views;
    for (const WitnessSlotView &slot : slots) {
        this->shards.try_emplace(slot.dataCentre.str(), std::make_unique<WitnessSlotShard>());
        views[slot.dataCentre.str()] = slot;
    }
    for (auto &[name, shard] : this->shards) {
        const std::scoped_lock shardLock(shard->mutex);
        shard->state = updatedWitnessState(shard->state, views[name], now, nowWall);
    }
}

void WitnessController::applyWitnessSet(std::uint64_t digest)
{
    if (digest == this->witnessSet) {
        return;
    }
    this->witnessSet = digest;
    for (auto &[name, shard] : this->shards) {
        const std::scoped_lock shardLock(shard->mutex);
        shard->state.held = false;
    }
}

ClaimVerdict WitnessController::decide(const std::string &slot, std::uint64_t witnessSet,
                                       const WitnessRequest &request)
{
    const std::shared_lock lock(this->mutex);
    const auto found = this->shards.find(slot);
    if (found == this->shards.end() || witnessSet != this->witnessSet) {
        return ClaimVerdict{std::nullopt, ErrorCode::WitnessUnavailable};
    }
    WitnessSlotShard &shard = *found->second;
    const std::scoped_lock shardLock(shard.mutex);
    WitnessState state = shard.state;
    state.now = this->clocks.monotonic();
    state.nowWall = this->clocks.wall();
    return shard.table.decide(request, state, this->limits);
}

ClaimVerdict WitnessController::decideTicket(const Ticket &ticket, const ClaimHolder &claimant)
{
    std::size_t capacity = 0;
    {
        const std::shared_lock lock(this->mutex);
        capacity = this->limits.capacity;
    }
    const std::scoped_lock lock(this->ticketMutex);
    return this->tickets.decide(ticket, claimant, capacity);
}

void WitnessController::handleClaim(const wire::Envelope &message, const ReplySender &reply)
{
    const wire::ClaimRequest &request = message.claim_request();
    const RequestKey key(request.key());
    const ClaimHolder claimant{AttemptId(request.attempt()), fromWire(message.sender()),
                               Fingerprint(request.body_fingerprint())};
    ClaimVerdict verdict{std::nullopt, ErrorCode::MessageInvalid};
    if (!claimant.isClosed()) {
        const auto ticket = parseTicket(request.key());
        verdict = ticket
                ? this->decideTicket(*ticket, claimant)
                : this->decide(request.seat(), request.seat_set(),
                               {key, claimant, firstSentFromWire(request.first_sent_wall_ms())});
    }
    logVerdict("grant", key, request.seat(), verdict, claimant.attempt);

    wire::Envelope envelope;
    wire::ClaimReply &body = *envelope.mutable_claim_reply();
    body.set_error_code(refusalNumber(verdict));
    *body.mutable_witness() = toWire(this->self);
    if (verdict.holder) {
        body.set_granted(verdict.holder->attempt == claimant.attempt);
        body.set_closed(verdict.holder->isClosed());
        body.set_winner_attempt(verdict.holder->attempt.number());
        body.set_winner_fingerprint(verdict.holder->body.number());
        *body.mutable_winner_gateway() = toWire(verdict.holder->gateway);
    }
    reply(std::move(envelope));
}

void WitnessController::handleClose(const wire::Envelope &message, const ReplySender &reply)
{
    const wire::CloseRequest &request = message.close_request();
    const RequestKey key(request.key());
    const ClaimHolder closedMarker;
    const auto ticket = parseTicket(request.key());
    const ClaimVerdict verdict = ticket
            ? this->decideTicket(*ticket, closedMarker)
            : this->decide(request.seat(), request.seat_set(),
                           {key, closedMarker, firstSentFromWire(request.first_sent_wall_ms())});
    logVerdict("close", key, request.seat(), verdict, closedMarker.attempt);

    wire::Envelope envelope;
    wire::CloseReply &body = *envelope.mutable_close_reply();
    body.set_error_code(refusalNumber(verdict));
    if (verdict.holder) {
        body.set_closed(verdict.holder->isClosed());
        body.set_winner_attempt(verdict.holder->attempt.number());
        body.set_winner_fingerprint(verdict.holder->body.number());
        *body.mutable_winner_gateway() = toWire(verdict.holder->gateway);
    }
    reply(std::move(envelope));
}

void WitnessController::issueTicket(const ReplySender &reply)
{
    Ticket ticket;
    {
        const std::scoped_lock lock(this->ticketMutex);
        ticket = this->tickets.issue();
    }
    const RequestKey key = formatTicket(ticket);
    LOG(INFO) << logprefix::claim << "Issued a ticket. key=" << key;
    wire::Envelope envelope;
    envelope.mutable_ticket_reply()->set_key(key.str());
    reply(std::move(envelope));
}

void WitnessController::handle(const wire::Envelope &message, const ReplySender &reply)
{
    if (message.has_claim_request()) {
        this->handleClaim(message, reply);
    } else if (message.has_close_request()) {
        this->handleClose(message, reply);
    } else if (message.has_ticket_request()) {
        this->issueTicket(reply);
    }
}

void WitnessController::tick(Millis /*now*/) { }

void WitnessController::fillStatus(wire::StatusReply &status)
{
    std::size_t held = 0;
    {
        const std::shared_lock lock(this->mutex);
        for (const auto &[name, shard] : this->shards) {
            const std::scoped_lock shardLock(shard->mutex);
            held += shard->table.size();
        }
    }
    const std::scoped_lock lock(this->ticketMutex);
    status.set_claims_held(held + this->tickets.size());
}

} // namespace balsamport
