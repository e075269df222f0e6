#include <balsamport/controllers/claim_client.h>

#include <balsamport/core/log.h>
#include <balsamport/policy/witness_slots.h>
#include <balsamport/wire/convert.h>

#include <algorithm>
#include <random>
#include <utility>

namespace balsamport {

namespace {

/// Longest wait for a reply of a witness; the request is sent again after it.
constexpr Millis replyTimeout{150};
constexpr int attemptsPerSlot = 3;
/// After a process pause the gateway reads the requests that arrived meanwhile within this time.
constexpr Millis postPauseWindow{2'000};

struct WitnessAddress
{
    std::string slot;
    std::string endpoint; ///< Empty where no VM holds the slot.
    std::optional<ErrorCode> refusal; ///< Known without a request.
};

ClaimVerdict verdictFrom(const Result<wire::Envelope> &reply)
{
    ClaimVerdict unavailable{std::nullopt, ErrorCode::WitnessUnavailable};
    if (!reply) {
        return unavailable;
    }
    const wire::Envelope &message = reply.value();
    if (message.has_claim_reply()) {
        const wire::ClaimReply &body = message.claim_reply();
        if (body.error_code() != 0) {
            return ClaimVerdict{std::nullopt, errorCodeFromNumber(body.error_code())};
        }
        return ClaimVerdict{ClaimHolder{AttemptId(body.winner_attempt()),
                                        fromWire(body.winner_gateway()),
                                        Fingerprint(body.winner_fingerprint())},
                            std::nullopt};
    }
    if (message.has_close_reply()) {
        const wire::CloseReply &body = message.close_reply();
        if (body.error_code() != 0) {
            return ClaimVerdict{std::nullopt, errorCodeFromNumber(body.error_code())};
        }
        return ClaimVerdict{ClaimHolder{AttemptId(body.winner_attempt()),
                                        fromWire(body.winner_gateway()),
                                        Fingerprint(body.winner_fingerprint())},
                            std::nullopt};
    }
    return unavailable;
}

WitnessAddress ticketAddress(const Ticket &ticket, const FleetView &fleet)
{
    for (const Member &member : fleet.members) {
        if (member.instance == ticket.witness) {
            return {"ticket", member.controllerEndpoint, std::nullopt};
        }
        if (member.instance.vm == ticket.witness.vm
            && member.instance.incarnation > ticket.witness.incarnation) {
            return {"ticket", "", ErrorCode::TicketUnknown};
        }
    }
    return {"ticket", "", std::nullopt};
}

std::vector<WitnessAddress> addressesOf(const RequestKey &key, const std::optional<Ticket> &ticket,
                                        const Snapshot &snapshot, const FleetView &fleet)
{
    if (ticket) {
        return {ticketAddress(*ticket, fleet)};
    }
    std::vector<WitnessAddress> addresses;
    for (const WitnessSlot &slot : witnessSlotsForKey(key, dataCentresOf(snapshot))) {
        const std::optional<Member> holder = witnessOf(slot, fleet);
        addresses.push_back(
                {slot.str(), holder ? holder->controllerEndpoint : std::string(), std::nullopt});
    }
    return addresses;
}

} // namespace

AttemptId newAttemptId()
{
    thread_local std::mt19937_64 generator{[] {
        std::random_device device;
        return (std::uint64_t{device()} << 32U) ^ device();
    }()};
    std::uniform_int_distribution<std::uint64_t> nonZero(1);
    return AttemptId(nonZero(generator));
}

/// A claim in progress: requests votes from all slots, collects them, and closes the key where no
/// attempt wins.
struct ClaimClient::ClaimInProgress : std::enable_shared_from_this<ClaimInProgress>
{
    ClaimInProgress(MessageClient &messages, const ClaimQuery &query, ClaimCallback callback)
        : messages(messages)
        , query(query)
        , callback(std::move(callback))
    { }

    void requestAll(bool close)
    {
        for (std::size_t slot = 0; slot < this->addresses.size(); ++slot) {
            this->requestVote(slot, close, attemptsPerSlot);
        }
        if (this->addresses.empty()) {
            this->finish();
        }
    }

    void requestVote(std::size_t slot, bool close, int attemptsLeft)
    {
        const WitnessAddress &address = this->addresses[slot];
        if (address.endpoint.empty()) {
            this->applyVerdict(
                    slot, close,
                    {std::nullopt, address.refusal.value_or(ErrorCode::WitnessUnavailable)});
            return;
        }
        const auto self = this->shared_from_this();
        this->messages.request(
                address.endpoint, this->messageFor(address, close), replyTimeout,
                [self, slot, close, attemptsLeft](const Result<wire::Envelope> &reply) {
                    self->onReply(slot, close, attemptsLeft, reply);
                    return false;
                });
    }

    void onReply(std::size_t slot, bool close, int attemptsLeft,
                 const Result<wire::Envelope> &reply)
    {
        const bool timedOut = !reply && reply.error().code == ErrorCode::Timeout;
        if (timedOut && attemptsLeft > 1 && this->awaitsVotes(close)) {
            this->requestVote(slot, close, attemptsLeft - 1);
            return;
        }
        this->applyVerdict(slot, close, verdictFrom(reply));
    }

    bool awaitsVotes(bool close)
    {
        const std::scoped_lock lock(this->mutex);
        return !this->round.done && this->round.closing == close;
    }

    wire::Envelope messageFor(const WitnessAddress &address, bool close) const
    {
        wire::Envelope message;
        const std::int64_t firstSent = this->query.firstSentWall.value_or(Millis(0)).count();
        if (close) {
            wire::CloseRequest &request = *message.mutable_close_request();
            request.set_key(this->wireKey.str());
            request.set_attempt(this->query.attempt.number());
            request.set_seat(address.slot);
            request.set_first_sent_wall_ms(firstSent);
            request.set_seat_set(this->witnessSet);
            return message;
        }
        wire::ClaimRequest &request = *message.mutable_claim_request();
        request.set_key(this->wireKey.str());
        request.set_body_fingerprint(this->query.body.number());
        request.set_attempt(this->query.attempt.number());
        request.set_seat(address.slot);
        request.set_first_sent_wall_ms(firstSent);
        request.set_seat_set(this->witnessSet);
        return message;
    }

    void applyVerdict(std::size_t slot, bool close, const ClaimVerdict &verdict)
    {
        ClaimStep step = ClaimStep::Wait;
        {
            const std::scoped_lock lock(this->mutex);
            step = applyReply(this->round, slot, close, verdict);
        }
        if (step == ClaimStep::CloseAll) {
            this->requestAll(true);
        } else if (step == ClaimStep::Finish) {
            this->finish();
        }
    }

    void finish()
    {
        ClaimOutcome outcome;
        {
            const std::scoped_lock lock(this->mutex);
            outcome = roundOutcome(this->round, this->query.arrivedAt, this->query.deadline,
                                   monotonicNow());
        }
        LOG(INFO) << logprefix::claim << "Claim ended. key=" << this->wireKey
                  << " attempt=" << this->query.attempt
                  << " won=" << (outcome.standing == ClaimStanding::Won)
                  << " proven-not-run=" << outcome.provenNotRun
                  << " failure=" << (outcome.failure ? errorName(*outcome.failure) : "none");
        this->callback(outcome);
    }

    MessageClient &messages;
    const ClaimQuery query;
    const ClaimCallback callback;
    RequestKey wireKey;
    std::uint64_t witnessSet = 0;
    std::vector<WitnessAddress> addresses;

    std::mutex mutex; ///< Guards `round`.
    ClaimRound round;
};

ClaimClient::ClaimClient(MessageClient &messages, std::string ownController)
    : messages(messages)
    , ownController(std::move(ownController))
{ }

void ClaimClient::update(SnapshotPtr snapshot, std::shared_ptr<const FleetView> fleet)
{
    const std::scoped_lock lock(this->mutex);
    this->current = View{std::move(snapshot), std::move(fleet)};
}

ClaimClient::View ClaimClient::view() const
{
    const std::scoped_lock lock(this->mutex);
    return this->current;
}

std::shared_ptr<ClaimClient::ClaimInProgress>
ClaimClient::prepare(const ClaimQuery &query, ClaimCallback callback, bool closeOnly)
{
    auto round = std::make_shared<ClaimInProgress>(this->messages, query, std::move(callback));
    const std::optional<Ticket> ticket = parseTicket(query.key.str());
    round->wireKey = ticket ? query.key : scopedKey(query.caller, query.key);
    const View latest = this->view();
    if (latest.snapshot && latest.fleet) {
        round->witnessSet = witnessSetDigest(dataCentresOf(*latest.snapshot));
        round->addresses = addressesOf(round->wireKey, ticket, *latest.snapshot, *latest.fleet);
    }
    const bool ageUnknown = !ticket && !query.firstSentWall;
    if (ageUnknown && this->pauses.wasPausedWithin(postPauseWindow)) {
        LOG(WARNING) << logprefix::claim
                     << "Refused a key of unknown age after a process pause. key="
                     << round->wireKey;
        round->addresses.clear();
    }
    round->round = startRound(query.attempt, query.body, round->addresses.size(), !ageUnknown,
                              closeOnly);
    return round;
}

void ClaimClient::claim(const ClaimQuery &query, ClaimCallback callback)
{
    this->prepare(query, std::move(callback), false)->requestAll(false);
}

void ClaimClient::close(const ClaimQuery &query, ClaimCallback callback)
{
    this->prepare(query, std::move(callback), true)->requestAll(true);
}

void ClaimClient::requestTicket(std::function<void(const Result<RequestKey> &key)> callback)
{
    wire::Envelope message;
    message.mutable_ticket_request();
    this->messages.request(this->ownController, message, replyTimeout * attemptsPerSlot,
                           [callback = std::move(callback)](const Result<wire::Envelope> &reply) {
                               if (!reply) {
                                   callback(reply.error());
                               } else if (!reply.value().has_ticket_reply()) {
                                   callback(Error{ErrorCode::MessageInvalid, "not a ticket reply"});
                               } else {
                                   callback(RequestKey(reply.value().ticket_reply().key()));
                               }
                               return false;
                           });
}

} // namespace balsamport
