#include <balsamport/controllers/claim_client.h>

#include <balsamport/core/log.h>
#include <balsamport/policy/witness_slots.h>
#include <balsamport/wire/convert.h>

#include <algorithm>
#include <random>
#include <utility>

namespace balsamport {

namespace {

/// Longest wait for one reply of a witness; the request is sent once more after it.
constexpr Millis replyTimeout{150};
constexpr int triesPerSeat = 3;
/// Requests that waited for a paused gateway are read within this time after it woke.
constexpr Millis afterPause{2'000};

struct SeatAddress
{
    std::string seat;
    std::string endpoint; ///< Empty where no VM holds the seat.
    std::optional<ErrorCode> refusal; ///< Decided without asking.
};

ClaimVerdict verdictFrom(const Result<wire::Envelope> &reply)
{
    ClaimVerdict unanswered{std::nullopt, ErrorCode::WitnessUnavailable};
    if (!reply) {
        return unanswered;
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
    return unanswered;
}

SeatAddress ticketAddress(const Ticket &ticket, const FleetView &fleet)
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

std::vector<SeatAddress> addressesOf(const RequestKey &key, const std::optional<Ticket> &ticket,
                                     const Snapshot &snapshot, const FleetView &fleet)
{
    if (ticket) {
        return {ticketAddress(*ticket, fleet)};
    }
    std::vector<SeatAddress> addresses;
    for (const WitnessSlot &seat : witnessSlotsForKey(key, dataCentresOf(snapshot))) {
        const std::optional<Member> holder = witnessOf(seat, fleet);
        addresses.push_back(
                {seat.str(), holder ? holder->controllerEndpoint : std::string(), std::nullopt});
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
    std::uniform_int_distribution<std::uint64_t> anyButZero(1);
    return AttemptId(anyButZero(generator));
}

/// One claim under way: asks the seats, collects votes, and closes the key where none wins.
struct ClaimClient::Round : std::enable_shared_from_this<Round>
{
    Round(MessageClient &messages, const ClaimQuery &query, ClaimCallback callback)
        : messages(messages)
        , query(query)
        , callback(std::move(callback))
    { }

    void askAll(bool close)
    {
        for (std::size_t seat = 0; seat < this->addresses.size(); ++seat) {
            this->ask(seat, close, triesPerSeat);
        }
        if (this->addresses.empty()) {
            this->finish();
        }
    }

    void ask(std::size_t seat, bool close, int triesLeft)
    {
        const SeatAddress &address = this->addresses[seat];
        if (address.endpoint.empty()) {
            this->take(seat, close,
                       {std::nullopt, address.refusal.value_or(ErrorCode::WitnessUnavailable)});
            return;
        }
        const auto self = this->shared_from_this();
        this->messages.request(address.endpoint, this->messageFor(address, close), replyTimeout,
                               [self, seat, close, triesLeft](const Result<wire::Envelope> &reply) {
                                   self->onReply(seat, close, triesLeft, reply);
                                   return false;
                               });
    }

    void onReply(std::size_t seat, bool close, int triesLeft, const Result<wire::Envelope> &reply)
    {
        const bool timedOut = !reply && reply.error().code == ErrorCode::Timeout;
        if (timedOut && triesLeft > 1 && this->wantsMore(close)) {
            this->ask(seat, close, triesLeft - 1);
            return;
        }
        this->take(seat, close, verdictFrom(reply));
    }

    bool wantsMore(bool close)
    {
        const std::scoped_lock lock(this->mutex);
        return !this->round.done && this->round.closing == close;
    }

    wire::Envelope messageFor(const SeatAddress &address, bool close) const
    {
        wire::Envelope message;
        const std::int64_t firstSent = this->query.firstSentWall.value_or(Millis(0)).count();
        if (close) {
            wire::CloseRequest &request = *message.mutable_close_request();
            request.set_key(this->wireKey.str());
            request.set_attempt(this->query.attempt.number());
            request.set_seat(address.seat);
            request.set_first_sent_wall_ms(firstSent);
            request.set_seat_set(this->seatSet);
            return message;
        }
        wire::ClaimRequest &request = *message.mutable_claim_request();
        request.set_key(this->wireKey.str());
        request.set_body_fingerprint(this->query.body.number());
        request.set_attempt(this->query.attempt.number());
        request.set_seat(address.seat);
        request.set_first_sent_wall_ms(firstSent);
        request.set_seat_set(this->seatSet);
        return message;
    }

    void take(std::size_t seat, bool close, const ClaimVerdict &verdict)
    {
        ClaimStep step = ClaimStep::Wait;
        {
            const std::scoped_lock lock(this->mutex);
            step = applyReply(this->round, seat, close, verdict);
        }
        if (step == ClaimStep::CloseAll) {
            this->askAll(true);
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
    std::uint64_t seatSet = 0;
    std::vector<SeatAddress> addresses;

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

std::shared_ptr<ClaimClient::Round> ClaimClient::prepare(const ClaimQuery &query,
                                                         ClaimCallback callback, bool closeOnly)
{
    auto round = std::make_shared<Round>(this->messages, query, std::move(callback));
    const std::optional<Ticket> ticket = parseTicket(query.key.str());
    round->wireKey = ticket ? query.key : scopedKey(query.caller, query.key);
    const View seen = this->view();
    if (seen.snapshot && seen.fleet) {
        round->seatSet = witnessSetDigest(dataCentresOf(*seen.snapshot));
        round->addresses = addressesOf(round->wireKey, ticket, *seen.snapshot, *seen.fleet);
    }
    const bool ageUnknown = !ticket && !query.firstSentWall;
    if (ageUnknown && this->pauses.wasPausedWithin(afterPause)) {
        LOG(WARNING) << logprefix::claim << "Refused after a pause. key=" << round->wireKey;
        round->addresses.clear();
    }
    round->round = startRound(query.attempt, query.body, round->addresses.size(), !ageUnknown,
                              closeOnly);
    return round;
}

void ClaimClient::claim(const ClaimQuery &query, ClaimCallback callback)
{
    this->prepare(query, std::move(callback), false)->askAll(false);
}

void ClaimClient::close(const ClaimQuery &query, ClaimCallback callback)
{
    this->prepare(query, std::move(callback), true)->askAll(true);
}

void ClaimClient::requestTicket(std::function<void(const Result<RequestKey> &key)> callback)
{
    wire::Envelope message;
    message.mutable_ticket_request();
    this->messages.request(this->ownController, message, replyTimeout * triesPerSeat,
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
