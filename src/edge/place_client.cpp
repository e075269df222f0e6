#include "place_client.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// An owner that is silent for longer is passed over: twice the way between regions, and room for
/// a busy machine.
constexpr Millis ackTime{250};

wire::PlaceReply::Verdict toWire(PlaceVerdict::Kind kind) noexcept
{
    switch (kind) {
    case PlaceVerdict::Kind::Queued:
        return wire::PlaceReply::QUEUED;
    case PlaceVerdict::Kind::Granted:
        return wire::PlaceReply::GRANTED;
    case PlaceVerdict::Kind::Elsewhere:
        return wire::PlaceReply::ELSEWHERE;
    case PlaceVerdict::Kind::Refused:
        return wire::PlaceReply::REFUSED;
    case PlaceVerdict::Kind::NotOwner:
        return wire::PlaceReply::NOT_OWNER;
    case PlaceVerdict::Kind::EngineDown:
        return wire::PlaceReply::ENGINE_DOWN;
    }
    return wire::PlaceReply::NOT_OWNER;
}

PlaceVerdict::Kind fromWire(wire::PlaceReply::Verdict verdict) noexcept
{
    switch (verdict) {
    case wire::PlaceReply::QUEUED:
        return PlaceVerdict::Kind::Queued;
    case wire::PlaceReply::GRANTED:
        return PlaceVerdict::Kind::Granted;
    case wire::PlaceReply::ELSEWHERE:
        return PlaceVerdict::Kind::Elsewhere;
    case wire::PlaceReply::REFUSED:
        return PlaceVerdict::Kind::Refused;
    default:
        return PlaceVerdict::Kind::NotOwner;
    case wire::PlaceReply::ENGINE_DOWN:
        return PlaceVerdict::Kind::EngineDown;
    }
}

wire::PlaceUpdate::Event toWire(PlaceEvent event) noexcept
{
    switch (event) {
    case PlaceEvent::Started:
        return wire::PlaceUpdate::STARTED;
    case PlaceEvent::Ended:
        return wire::PlaceUpdate::ENDED;
    case PlaceEvent::Cancelled:
        return wire::PlaceUpdate::CANCELLED;
    case PlaceEvent::NotReady:
        return wire::PlaceUpdate::NOT_READY;
    case PlaceEvent::Unreachable:
        return wire::PlaceUpdate::UNREACHABLE;
    }
    return wire::PlaceUpdate::ENDED;
}

PlaceEvent fromWire(wire::PlaceUpdate::Event event) noexcept
{
    switch (event) {
    case wire::PlaceUpdate::STARTED:
        return PlaceEvent::Started;
    case wire::PlaceUpdate::CANCELLED:
        return PlaceEvent::Cancelled;
    case wire::PlaceUpdate::NOT_READY:
        return PlaceEvent::NotReady;
    case wire::PlaceUpdate::UNREACHABLE:
        return PlaceEvent::Unreachable;
    default:
        return PlaceEvent::Ended;
    }
}

wire::StreamPace toWire(const StreamPace &stream)
{
    wire::StreamPace message;
    message.set_events(stream.events);
    message.set_output_tokens(stream.outputTokens);
    message.set_quiet_gap_ms(static_cast<std::uint32_t>(stream.quietGap.count()));
    message.set_longest_gap_ms(static_cast<std::uint32_t>(stream.longestGap.count()));
    return message;
}

StreamPace fromWire(const wire::StreamPace &message)
{
    return StreamPace{message.events(), message.output_tokens(), Millis(message.quiet_gap_ms()),
                      Millis(message.longest_gap_ms())};
}

std::uint32_t leftUntil(Millis at, Millis now) noexcept
{
    return static_cast<std::uint32_t>(std::max(at - now, Millis(0)).count());
}

wire::Envelope toWire(const BackendServerId &server, const PlaceRequest &request, Millis now)
{
    wire::Envelope message;
    wire::PlaceRequest &wire = *message.mutable_place_request();
    wire.set_place(request.key.number);
    wire.set_request_id(request.request.str());
    wire.set_backend_server(server.str());
    wire.set_base(request.base.str());
    wire.set_adapter(request.adapter.str());
    wire.set_priority(request.priority);
    wire.set_objective_ms(leftUntil(request.objectiveAt, now));
    wire.set_deadline_ms(leftUntil(request.deadlineAt, now));
    wire.set_patience_ms(leftUntil(request.patientUntil, now));
    wire.set_output_tokens(request.outputTokens);
    wire.set_last_choice(request.lastChoice);
    wire.set_other_home(request.otherHome);
    wire.set_longest_pause_ms(static_cast<std::uint32_t>(request.longestPause.count()));
    for (const PromptPart &part : request.parts) {
        balsamport::wire::PromptPart &added = *wire.add_parts();
        added.set_id(part.id);
        added.set_tokens(part.tokens);
    }
    return message;
}

} // namespace

PlaceVerdict verdictOf(const wire::PlaceReply &reply)
{
    PlaceVerdict verdict;
    verdict.kind = fromWire(reply.verdict());
    verdict.version = AdapterVersion(reply.adapter_version());
    verdict.retryAfter = Millis(reply.retry_after_ms());
    verdict.wait = Millis(reply.wait_ms());
    verdict.demand = reply.adapter_per_second();
    return verdict;
}

PlaceClient::PlaceClient(EdgeContext &owner, PeerController &peerController,
                         EngineController &engineController, const OrderOwnership &orderOwnership)
    : context(owner)
    , peers(peerController)
    , engines(engineController)
    , ownership(orderOwnership)
{ }

std::uint64_t PlaceClient::ask(const EngineSite &engine, PlaceRequest request, Handler handler)
{
    const BackendServerId &server = engine.id;
    const std::uint64_t place = this->nextPlace++;
    const Millis now = monotonicNow();
    const std::optional<VmId> owner = ownerOf(this->ownership, this->peers.table(), engine, now);
    request.key = PlaceKey{this->context.settings.vm, this->context.incarnation, place};
    Asked entry{server, owner.value_or(VmId()), std::move(handler), nullptr};
    if (!owner || *owner == this->context.settings.vm) {
        this->asked.emplace(place, std::move(entry));
        // The verdict must not come before the caller knows the number.
        this->context.loop.post([this, server, owned = owner.has_value(), place,
                                 request = std::move(request)]() mutable {
            if (owned) {
                this->engines.submit(server, std::move(request));
            } else {
                this->take(place, PlaceVerdict{PlaceVerdict::Kind::NotOwner, {}, {}, {}, {}});
            }
        });
        return place;
    }
    entry.timer = this->context.loop.makeTimer();
    entry.timer->set(ackTime, [this, place] { this->expire(place); });
    this->asked.emplace(place, std::move(entry));
    this->peers.queryOwner(
            *owner, toWire(server, request, now), std::max(request.deadlineAt - now, ackTime),
            [this, place](const wire::PlaceReply &reply) { this->take(place, verdictOf(reply)); });
    return place;
}

void PlaceClient::expire(std::uint64_t place)
{
    const auto found = this->asked.find(place);
    if (found == this->asked.end()) {
        return;
    }
    this->context.log.write(
            EventWeight::Notable, "owner_silent",
            {{"owner", found->second.owner.str()}, {"server", found->second.server.str()}});
    const Handler handler = found->second.handler;
    this->note(place, PlaceNote{PlaceEvent::Cancelled, {}, {}});
    handler(PlaceVerdict{PlaceVerdict::Kind::NotOwner, {}, {}, {}, {}});
}

void PlaceClient::note(std::uint64_t place, const PlaceNote &note)
{
    const auto found = this->asked.find(place);
    if (found == this->asked.end()) {
        return;
    }
    if (found->second.owner == this->context.settings.vm) {
        const PlaceKey key{this->context.settings.vm, this->context.incarnation, place};
        this->context.loop.post([this, key, note, server = found->second.server] {
            this->engines.notePlace(server, key, note);
        });
    } else if (!found->second.owner.empty()) {
        wire::Envelope message;
        wire::PlaceUpdate &update = *message.mutable_place_update();
        update.set_place(place);
        update.set_backend_server(found->second.server.str());
        update.set_event(toWire(note.event));
        update.set_first_piece_ms(static_cast<std::uint32_t>(note.firstPiece.count()));
        if (note.stream) {
            *update.mutable_stream() = toWire(*note.stream);
        }
        this->peers.send(found->second.owner, std::move(message));
    }
    if (note.event != PlaceEvent::Started) {
        this->asked.erase(found);
    }
}

void PlaceClient::take(std::uint64_t place, const PlaceVerdict &verdict)
{
    const auto found = this->asked.find(place);
    if (found == this->asked.end()) {
        return;
    }
    if (found->second.timer) {
        found->second.timer->cancel();
    }
    const Handler handler = found->second.handler;
    if (verdict.kind != PlaceVerdict::Kind::Queued && verdict.kind != PlaceVerdict::Kind::Granted) {
        this->asked.erase(found);
    }
    handler(verdict);
}

void PlaceClient::servePeer(const VmId &peer, std::uint64_t incarnation,
                            const wire::PlaceRequest &request, const Replier &reply)
{
    const Millis now = monotonicNow();
    PlaceRequest asked;
    asked.key = PlaceKey{peer, incarnation, request.place()};
    asked.request = RequestId(request.request_id());
    asked.base = BaseModelId(request.base());
    asked.adapter = AdapterId(request.adapter());
    asked.priority = request.priority();
    asked.objectiveAt = now + Millis(request.objective_ms());
    asked.deadlineAt = now + Millis(request.deadline_ms());
    asked.patientUntil = now + Millis(request.patience_ms());
    asked.outputTokens = request.output_tokens();
    asked.lastChoice = request.last_choice();
    asked.otherHome = request.other_home();
    asked.longestPause = Millis(request.longest_pause_ms());
    for (const wire::PromptPart &part : request.parts()) {
        asked.parts.push_back(PromptPart{part.id(), part.tokens()});
    }
    this->questions.insert_or_assign(asked.key, reply);
    this->engines.submit(BackendServerId(request.backend_server()), std::move(asked));
}

void PlaceClient::servePeer(const VmId &peer, std::uint64_t incarnation,
                            const wire::PlaceUpdate &update)
{
    this->questions.erase(PlaceKey{peer, incarnation, update.place()});
    PlaceNote note{fromWire(update.event()), Millis(update.first_piece_ms()), std::nullopt};
    if (update.has_stream()) {
        note.stream = fromWire(update.stream());
    }
    this->engines.notePlace(BackendServerId(update.backend_server()),
                            PlaceKey{peer, incarnation, update.place()}, note);
}

void PlaceClient::answerPeer(const PlaceKey &key, const PlaceVerdict &verdict)
{
    const auto question = this->questions.find(key);
    if (question == this->questions.end()) {
        return;
    }
    wire::Envelope message;
    wire::PlaceReply &reply = *message.mutable_place_reply();
    reply.set_place(key.number);
    reply.set_verdict(toWire(verdict.kind));
    reply.set_adapter_version(verdict.version.number());
    reply.set_retry_after_ms(static_cast<std::uint32_t>(verdict.retryAfter.count()));
    reply.set_wait_ms(static_cast<std::uint32_t>(verdict.wait.count()));
    reply.set_adapter_per_second(static_cast<float>(verdict.demand));
    question->second(std::move(message));
    if (verdict.kind != PlaceVerdict::Kind::Queued) {
        this->questions.erase(question);
    }
}

void PlaceClient::forgetQuestionsOf(const VmId &peer, std::uint64_t incarnation)
{
    std::erase_if(this->questions, [&](const auto &entry) {
        return entry.first.vm == peer && entry.first.incarnation != incarnation;
    });
}

} // namespace balsamport
