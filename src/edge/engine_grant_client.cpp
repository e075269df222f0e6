#include "engine_grant_client.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// An owner without a response for longer is skipped: a round trip between regions, with a margin
/// for a busy machine.
constexpr Millis firstResponseTimeout{250};

wire::PlaceReply::Verdict toWire(GrantVerdict::Kind kind) noexcept
{
    switch (kind) {
    case GrantVerdict::Kind::Queued:
        return wire::PlaceReply::QUEUED;
    case GrantVerdict::Kind::Granted:
        return wire::PlaceReply::GRANTED;
    case GrantVerdict::Kind::Redirected:
        return wire::PlaceReply::ELSEWHERE;
    case GrantVerdict::Kind::Refused:
        return wire::PlaceReply::REFUSED;
    case GrantVerdict::Kind::NotOwner:
        return wire::PlaceReply::NOT_OWNER;
    case GrantVerdict::Kind::EngineDown:
        return wire::PlaceReply::ENGINE_DOWN;
    case GrantVerdict::Kind::Quarantined:
        return wire::PlaceReply::QUARANTINED;
    }
    return wire::PlaceReply::NOT_OWNER;
}

GrantVerdict::Kind fromWire(wire::PlaceReply::Verdict verdict) noexcept
{
    switch (verdict) {
    case wire::PlaceReply::QUEUED:
        return GrantVerdict::Kind::Queued;
    case wire::PlaceReply::GRANTED:
        return GrantVerdict::Kind::Granted;
    case wire::PlaceReply::ELSEWHERE:
        return GrantVerdict::Kind::Redirected;
    case wire::PlaceReply::REFUSED:
        return GrantVerdict::Kind::Refused;
    default:
        return GrantVerdict::Kind::NotOwner;
    case wire::PlaceReply::ENGINE_DOWN:
        return GrantVerdict::Kind::EngineDown;
    case wire::PlaceReply::QUARANTINED:
        return GrantVerdict::Kind::Quarantined;
    }
}

wire::PlaceUpdate::Event toWire(GrantEvent event) noexcept
{
    switch (event) {
    case GrantEvent::Started:
        return wire::PlaceUpdate::STARTED;
    case GrantEvent::Ended:
        return wire::PlaceUpdate::ENDED;
    case GrantEvent::Cancelled:
        return wire::PlaceUpdate::CANCELLED;
    case GrantEvent::NotReady:
        return wire::PlaceUpdate::NOT_READY;
    case GrantEvent::Unreachable:
        return wire::PlaceUpdate::UNREACHABLE;
    }
    return wire::PlaceUpdate::ENDED;
}

GrantEvent fromWire(wire::PlaceUpdate::Event event) noexcept
{
    switch (event) {
    case wire::PlaceUpdate::STARTED:
        return GrantEvent::Started;
    case wire::PlaceUpdate::CANCELLED:
        return GrantEvent::Cancelled;
    case wire::PlaceUpdate::NOT_READY:
        return GrantEvent::NotReady;
    case wire::PlaceUpdate::UNREACHABLE:
        return GrantEvent::Unreachable;
    default:
        return GrantEvent::Ended;
    }
}

wire::StreamPace toWire(const StreamTiming &stream)
{
    wire::StreamPace message;
    message.set_events(stream.events);
    message.set_output_tokens(stream.outputTokens);
    message.set_quiet_gap_ms(static_cast<std::uint32_t>(stream.lowerQuartileGap.count()));
    message.set_longest_gap_ms(static_cast<std::uint32_t>(stream.longestGap.count()));
    return message;
}

StreamTiming fromWire(const wire::StreamPace &message)
{
    return StreamTiming{message.events(), message.output_tokens(), Millis(message.quiet_gap_ms()),
                        Millis(message.longest_gap_ms())};
}

std::uint32_t remainingMs(Millis at, Millis now) noexcept
{
    return static_cast<std::uint32_t>(std::max(at - now, Millis(0)).count());
}

wire::Envelope toWire(const BackendServerId &server, const EngineGrantRequest &request, Millis now)
{
    wire::Envelope message;
    wire::PlaceRequest &wire = *message.mutable_place_request();
    wire.set_place(request.key.number);
    wire.set_request_id(request.request.str());
    wire.set_backend_server(server.str());
    wire.set_base(request.base.str());
    wire.set_adapter(request.adapter.str());
    wire.set_priority(request.priority);
    wire.set_route_priority(request.routePriority);
    wire.set_organisation(request.organisation);
    wire.set_objective_ms(remainingMs(request.objectiveAt, now));
    wire.set_deadline_ms(remainingMs(request.deadlineAt, now));
    wire.set_patience_ms(remainingMs(request.maxWaitUntil, now));
    wire.set_output_tokens(request.outputTokens);
    wire.set_last_choice(request.lastChoice);
    wire.set_other_home(request.nextIsPreferred);
    wire.set_longest_pause_ms(static_cast<std::uint32_t>(request.maxTokenGap.count()));
    for (const PromptPart &part : request.parts) {
        balsamport::wire::PromptPart &added = *wire.add_parts();
        added.set_id(part.id);
        added.set_tokens(part.tokens);
    }
    return message;
}

} // namespace

GrantVerdict verdictFromWire(const wire::PlaceReply &reply)
{
    GrantVerdict verdict;
    verdict.kind = fromWire(reply.verdict());
    verdict.version = AdapterVersion(reply.adapter_version());
    verdict.retryAfter = Millis(reply.retry_after_ms());
    verdict.wait = Millis(reply.wait_ms());
    verdict.demand = reply.adapter_per_second();
    verdict.rateLimited = reply.rate_limited();
    return verdict;
}

EngineGrantClient::EngineGrantClient(EdgeContext &owner, PeerController &peerController,
                                     EngineController &engineController,
                                     const EngineOwnership &engineOwnership)
    : context(owner)
    , peers(peerController)
    , engines(engineController)
    , ownership(engineOwnership)
{ }

std::uint64_t EngineGrantClient::requestGrant(const EngineSite &engine, EngineGrantRequest request,
                                              Handler handler)
{
    const BackendServerId &server = engine.id;
    const std::uint64_t number = this->nextNumber++;
    const Millis now = monotonicNow();
    const std::optional<VmId> owner = ownerOf(this->ownership, this->peers.table(), engine, now);
    request.key = GrantKey{this->context.settings.vm, this->context.incarnation, number};
    PendingGrant entry{server, owner.value_or(VmId()), std::move(handler), nullptr};
    if (!owner || *owner == this->context.settings.vm) {
        this->grants.emplace(number, std::move(entry));
        // The handler must not be called before the number is returned.
        this->context.loop.post([this, server, owned = owner.has_value(), number,
                                 request = std::move(request)]() mutable {
            if (owned) {
                this->engines.submit(server, std::move(request));
            } else {
                this->handleVerdict(number,
                                    GrantVerdict{GrantVerdict::Kind::NotOwner, {}, {}, {}, {}});
            }
        });
        return number;
    }
    entry.timer = this->context.loop.makeTimer();
    entry.timer->set(firstResponseTimeout, [this, number] { this->expire(number); });
    this->grants.emplace(number, std::move(entry));
    this->peers.queryOwner(*owner, toWire(server, request, now),
                           std::max(request.deadlineAt - now, firstResponseTimeout),
                           [this, number](const wire::PlaceReply &reply) {
                               this->handleVerdict(number, verdictFromWire(reply));
                           });
    return number;
}

void EngineGrantClient::expire(std::uint64_t number)
{
    const auto found = this->grants.find(number);
    if (found == this->grants.end()) {
        return;
    }
    this->context.log.write(
            EventPriority::Notable, "owner_silent",
            {{"owner", found->second.owner.str()}, {"server", found->second.server.str()}});
    const Handler handler = found->second.handler;
    this->sendUpdate(number, GrantUpdate{GrantEvent::Cancelled, {}, {}});
    handler(GrantVerdict{GrantVerdict::Kind::NotOwner, {}, {}, {}, {}});
}

void EngineGrantClient::sendUpdate(std::uint64_t number, const GrantUpdate &update)
{
    const auto found = this->grants.find(number);
    if (found == this->grants.end()) {
        return;
    }
    if (found->second.owner == this->context.settings.vm) {
        const GrantKey key{this->context.settings.vm, this->context.incarnation, number};
        this->context.loop.post([this, key, update, server = found->second.server] {
            this->engines.updateGrant(server, key, update);
        });
    } else if (!found->second.owner.empty()) {
        wire::Envelope message;
        wire::PlaceUpdate &content = *message.mutable_place_update();
        content.set_place(number);
        content.set_backend_server(found->second.server.str());
        content.set_event(toWire(update.event));
        content.set_first_piece_ms(static_cast<std::uint32_t>(update.timeToFirstChunk.count()));
        if (update.stream) {
            *content.mutable_stream() = toWire(*update.stream);
        }
        this->peers.send(found->second.owner, std::move(message));
    }
    if (update.event != GrantEvent::Started) {
        this->grants.erase(found);
    }
}

void EngineGrantClient::handleVerdict(std::uint64_t number, const GrantVerdict &verdict)
{
    const auto found = this->grants.find(number);
    if (found == this->grants.end()) {
        return;
    }
    if (found->second.timer) {
        found->second.timer->cancel();
    }
    const Handler handler = found->second.handler;
    if (verdict.kind != GrantVerdict::Kind::Queued && verdict.kind != GrantVerdict::Kind::Granted) {
        this->grants.erase(found);
    }
    handler(verdict);
}

void EngineGrantClient::handlePeerMessage(const VmId &peer, std::uint64_t incarnation,
                                          const wire::PlaceRequest &request,
                                          const ReplySender &reply)
{
    const Millis now = monotonicNow();
    EngineGrantRequest received;
    received.key = GrantKey{peer, incarnation, request.place()};
    received.request = RequestId(request.request_id());
    received.base = BaseModelId(request.base());
    received.adapter = AdapterId(request.adapter());
    received.priority = request.priority();
    received.routePriority = request.route_priority();
    received.organisation = request.organisation();
    received.objectiveAt = now + Millis(request.objective_ms());
    received.deadlineAt = now + Millis(request.deadline_ms());
    received.maxWaitUntil = now + Millis(request.patience_ms());
    received.outputTokens = request.output_tokens();
    received.lastChoice = request.last_choice();
    received.nextIsPreferred = request.other_home();
    received.maxTokenGap = Millis(request.longest_pause_ms());
    for (const wire::PromptPart &part : request.parts()) {
        received.parts.push_back(PromptPart{part.id(), part.tokens()});
    }
    this->peerRequests.insert_or_assign(received.key, reply);
    this->engines.submit(BackendServerId(request.backend_server()), std::move(received));
}

void EngineGrantClient::handlePeerMessage(const VmId &peer, std::uint64_t incarnation,
                                          const wire::PlaceUpdate &update)
{
    this->peerRequests.erase(GrantKey{peer, incarnation, update.place()});
    GrantUpdate received{fromWire(update.event()), Millis(update.first_piece_ms()), std::nullopt};
    if (update.has_stream()) {
        received.stream = fromWire(update.stream());
    }
    this->engines.updateGrant(BackendServerId(update.backend_server()),
                              GrantKey{peer, incarnation, update.place()}, received);
}

void EngineGrantClient::sendVerdict(const GrantKey &key, const GrantVerdict &verdict)
{
    const auto request = this->peerRequests.find(key);
    if (request == this->peerRequests.end()) {
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
    reply.set_rate_limited(verdict.rateLimited);
    request->second(std::move(message));
    if (verdict.kind != GrantVerdict::Kind::Queued) {
        this->peerRequests.erase(request);
    }
}

void EngineGrantClient::dropRequestsOf(const VmId &peer, std::uint64_t incarnation)
{
    std::erase_if(this->peerRequests, [&](const auto &entry) {
        return entry.first.vm == peer && entry.first.incarnation != incarnation;
    });
}

} // namespace balsamport
