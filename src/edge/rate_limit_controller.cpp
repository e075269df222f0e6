#include "rate_limit_controller.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/metric_names.h>

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace balsamport {

namespace {

/// Limits in one gossip message. Changes are sent at once; gossip only repairs what was lost.
constexpr int maxLimitsPerGossip = 4;
/// An issuer without a response for longer is skipped: a round trip between regions, with a margin
/// for a busy machine.
constexpr Millis issuerTimeout{250};
/// Time until another permit is requested where the issuer is unknown or doesn't respond.
constexpr Millis issuerRetryInterval{500};
/// A request waits for this long at an engine before another engine is better. Source: the times of
/// adapter loads.
constexpr Millis grantPatience{500};
/// Shortest time until an engine whose rate limit is used up is asked again.
constexpr Millis minEngineRetry{50};
/// Longest time over which refused callers of one server are spread.
constexpr Millis maxRetrySpread{5'000};
/// A lifted limit is gossiped for this long, until no peer can still hold the old one.
constexpr Millis liftedLimitLifetime{60'000};

wire::ServerRateLimit toWire(const ServerEntry &server, const KnownRateLimit &limit, Millis now)
{
    wire::ServerRateLimit message;
    message.set_backend_server(server.id.str());
    message.set_address(server.address);
    message.set_started_at_wall_ms(server.startedAtWallMs);
    message.set_limited(limit.perSecond.has_value());
    message.set_per_second(limit.perSecond.value_or(0));
    constexpr std::int64_t maxAge = std::numeric_limits<std::uint32_t>::max();
    message.set_age_ms(
            static_cast<std::uint32_t>(std::min((now - limit.observedAt).count(), maxAge)));
    return message;
}

/// @return nothing where the message holds no valid limit
std::optional<KnownRateLimit> fromWire(const wire::ServerRateLimit &message, Millis now)
{
    KnownRateLimit limit{std::nullopt, now - Millis(message.age_ms())};
    if (message.limited()) {
        // The negated comparison also rejects NaN.
        if (!(message.per_second() >= 0)) {
            return std::nullopt;
        }
        limit.perSecond = message.per_second();
    }
    return limit;
}

constexpr std::string_view issuedOutcome = "issued";

std::string_view nameOf(PermitDecision::Kind kind) noexcept
{
    switch (kind) {
    case PermitDecision::Kind::Issued:
        return issuedOutcome;
    case PermitDecision::Kind::Exhausted:
        return "exhausted";
    case PermitDecision::Kind::NotIssuer:
        return "not_issuer";
    }
    return "unknown";
}

wire::PermitReply::Verdict toWire(PermitDecision::Kind kind) noexcept
{
    switch (kind) {
    case PermitDecision::Kind::Issued:
        return wire::PermitReply::ISSUED;
    case PermitDecision::Kind::Exhausted:
        return wire::PermitReply::EXHAUSTED;
    case PermitDecision::Kind::NotIssuer:
        return wire::PermitReply::NOT_ISSUER;
    }
    return wire::PermitReply::NOT_ISSUER;
}

std::string_view nameOf(wire::PermitReply::Verdict verdict) noexcept
{
    switch (verdict) {
    case wire::PermitReply::ISSUED:
        return issuedOutcome;
    case wire::PermitReply::EXHAUSTED:
        return nameOf(PermitDecision::Kind::Exhausted);
    default:
        return nameOf(PermitDecision::Kind::NotIssuer);
    }
}

bool isWorthGossip(const KnownRateLimit &limit, Millis now)
{
    return limit.perSecond
            || (limit.observedAt >= Millis(0) && now - limit.observedAt < liftedLimitLifetime);
}

} // namespace

RateLimitController::RateLimitController(EdgeContext &owner, EdgeState &edgeState,
                                         PeerController &peerController, EngineRateSetter setter)
    : context(owner)
    , state(edgeState)
    , peers(peerController)
    , setEngineRate(std::move(setter))
{ }

const ServerEntry *RateLimitController::findServer(const BackendServerId &server) const
{
    const auto found = this->state.catalog.servers.find(server);
    return found == this->state.catalog.servers.end() ? nullptr : &found->second.entry;
}

bool RateLimitController::needsPermit(const BackendServerId &server) const
{
    const ServerEntry *entry = this->findServer(server);
    return entry != nullptr && rateLimitOf(this->state.availability, *entry).perSecond;
}

bool RateLimitController::isWithheld(const BackendServerId &server, Millis now) const
{
    const auto found = this->permits.find(server);
    return found != this->permits.end() && now < found->second.withheldUntil
            && this->needsPermit(server);
}

void RateLimitController::recordEngineWait(const BackendServerId &engine, Millis wait)
{
    if (this->needsPermit(engine)) {
        Millis &until = this->permits[engine].withheldUntil;
        until = std::max(until, monotonicNow() + std::max(wait - grantPatience, minEngineRetry));
    }
}

std::optional<Millis>
RateLimitController::allWithheldFor(const std::vector<const ServerEntry *> &servers,
                                    const RequestId &request, Millis now) const
{
    std::optional<Millis> shortest;
    for (const ServerEntry *server : servers) {
        if (!this->isWithheld(server->id, now)) {
            return std::nullopt;
        }
        const Millis wait = this->permits.at(server->id).withheldUntil - now
                + this->retrySpread(server->id, request);
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest;
}

wire::ServerRateLimit RateLimitController::currentLimit(const ServerEntry &server, Millis now) const
{
    return toWire(server, rateLimitOf(this->state.availability, server), now);
}

PermitGroup &RateLimitController::groupOf(const DataCentreId &dataCentre, Millis now)
{
    PermitGroup &group = this->groups[dataCentre];
    updateMembers(group,
                  permitMembers(this->peers.table(), dataCentre, this->state.stop.has_value(), now),
                  now);
    return group;
}

void RateLimitController::update(Millis now)
{
    std::map<DataCentreId, double> shares;
    for (const auto &[id, server] : this->state.catalog.servers) {
        const DataCentreId &dataCentre = server.entry.dataCentre;
        auto share = shares.find(dataCentre);
        if (share == shares.end()) {
            share = shares.emplace(dataCentre, visibleShare(this->groupOf(dataCentre, now))).first;
        }
        const KnownRateLimit limit = rateLimitOf(this->state.availability, server.entry);
        this->setEngineRate(id,
                            limit.perSecond
                                    ? std::optional(permitRate(*limit.perSecond, share->second))
                                    : std::nullopt);
    }
    std::erase_if(this->permits,
                  [this](const auto &entry) { return !this->needsPermit(entry.first); });
}

void RateLimitController::restartPermits(Millis now)
{
    this->permits.clear();
    for (auto &[dataCentre, group] : this->groups) {
        group.changedAt = now;
    }
}

PermitDecision RateLimitController::decide(const ServerEntry &server, const RequestId &request,
                                           const VmId &requester, Millis now)
{
    const PermitGroup &group = this->groupOf(server.dataCentre, now);
    const double perSecond = rateLimitOf(this->state.availability, server).perSecond.value_or(0);
    const PermitDecision decision
            = decidePermit(this->permits[server.id].bucket, group, this->context.settings.vm,
                           server.id.str(), perSecond, now);
    this->context.metrics.counter(metric::edgePermits, nameOf(decision.kind)).add();
    constexpr double percent = 100.0;
    this->context.log.write(
            EventPriority::Routine, "permit",
            {{"request", request.str()},
             {"server", server.id.str()},
             {"from", requester.str()},
             {"verdict", nameOf(decision.kind)},
             {"retry_after_ms", decision.retryAfter},
             {"per_second", fmt::format("{:.3f}", perSecond)},
             {"share_percent", static_cast<std::int64_t>(visibleShare(group) * percent)}});
    return decision;
}

void RateLimitController::requestPermit(const BackendServerId &server, const RequestId &request,
                                        PermitHandler handler)
{
    const Millis now = monotonicNow();
    const ServerEntry *entry = this->findServer(server);
    if (entry == nullptr || !this->needsPermit(server)) {
        handler(PermitVerdict{true, Millis(0)});
        return;
    }
    const Millis withheldUntil = this->permits[server].withheldUntil;
    if (now < withheldUntil) {
        this->finish(server, request, "withheld", withheldUntil - now, handler);
        return;
    }
    const std::optional<VmId> issuer
            = permitIssuer(this->groupOf(entry->dataCentre, now), server.str());
    if (!issuer) {
        this->finish(server, request, "no_issuer", issuerRetryInterval, handler);
        return;
    }
    if (*issuer == this->context.settings.vm) {
        const PermitDecision decision
                = this->decide(*entry, request, this->context.settings.vm, now);
        this->finish(server, request, nameOf(decision.kind), decision.retryAfter, handler);
        return;
    }
    wire::Envelope message;
    message.mutable_permit_request()->set_request_id(request.str());
    *message.mutable_permit_request()->mutable_rate_limit() = this->currentLimit(*entry, now);
    this->peers.queryIssuer(
            *issuer, std::move(message), issuerTimeout,
            [this, server, request, handler = std::move(handler),
             issuer = *issuer](const std::optional<wire::PermitReply> &reply) {
                if (!reply) {
                    this->finish(server, request, "issuer_silent", issuerRetryInterval, handler);
                    return;
                }
                this->applyFromPeer(issuer, reply->rate_limit());
                const bool exhausted = reply->verdict() == wire::PermitReply::EXHAUSTED;
                this->finish(server, request, nameOf(reply->verdict()),
                             exhausted ? Millis(reply->retry_after_ms()) : issuerRetryInterval,
                             handler);
            });
}

void RateLimitController::finish(const BackendServerId &server, const RequestId &request,
                                 std::string_view outcome, Millis retryAfter,
                                 const PermitHandler &handler)
{
    if (outcome == issuedOutcome) {
        handler(PermitVerdict{true, Millis(0)});
        return;
    }
    const Millis now = monotonicNow();
    ServerPermits &held = this->permits[server];
    held.withheldUntil = std::max(held.withheldUntil, now + retryAfter);
    this->context.metrics.counter(metric::edgeLimitedRequests, outcome).add();
    this->context.log.write(EventPriority::Routine, "withheld",
                            {{"request", request.str()},
                             {"server", server.str()},
                             {"reason", outcome},
                             {"retry_after_ms", retryAfter}});
    handler(PermitVerdict{false, retryAfter + this->retrySpread(server, request)});
}

Millis RateLimitController::retrySpread(const BackendServerId &server,
                                        const RequestId &request) const
{
    const ServerEntry *entry = this->findServer(server);
    const std::optional<double> perSecond = entry == nullptr
            ? std::nullopt
            : rateLimitOf(this->state.availability, *entry).perSecond;
    if (!perSecond) {
        return Millis(0);
    }
    constexpr double millisPerSecond = 1000.0;
    const auto interval
            = static_cast<std::uint64_t>(std::min(millisPerSecond / permitRate(*perSecond, 1.0),
                                                  static_cast<double>(maxRetrySpread.count())));
    return Millis(static_cast<std::int64_t>(hash64(request.str()) % (interval + 1)));
}

void RateLimitController::handlePermitRequest(const VmId &peer, const wire::PermitRequest &request,
                                              const ReplySender &reply)
{
    this->applyFromPeer(peer, request.rate_limit());
    const Millis now = monotonicNow();
    const ServerEntry *entry
            = this->findServer(BackendServerId(request.rate_limit().backend_server()));
    wire::Envelope message;
    wire::PermitReply &content = *message.mutable_permit_reply();
    content.set_verdict(wire::PermitReply::NOT_ISSUER);
    if (entry != nullptr && entry->startedAtWallMs == request.rate_limit().started_at_wall_ms()) {
        // The limit may have been lifted since the peer received it.
        const bool limited = this->needsPermit(entry->id);
        const PermitDecision decision = limited
                ? this->decide(*entry, RequestId(request.request_id()), peer, now)
                : PermitDecision{PermitDecision::Kind::Issued, Millis(0)};
        content.set_verdict(toWire(decision.kind));
        content.set_retry_after_ms(static_cast<std::uint32_t>(decision.retryAfter.count()));
        *content.mutable_rate_limit() = this->currentLimit(*entry, now);
    }
    reply(std::move(message));
}

void RateLimitController::applyResponse(const BackendServerId &server, const RequestId &request,
                                        const RateLimitReport &report)
{
    const ServerEntry *entry = this->findServer(server);
    if (entry == nullptr) {
        return;
    }
    if (report.kind == RateLimitReport::Kind::Malformed) {
        this->context.metrics.counter(metric::edgeNotices, "limit_malformed").add();
        this->context.log.write(EventPriority::Notable, "server_limit_ignored",
                                {{"server", server.str()}, {"request", request.str()}});
        return;
    }
    const Millis now = monotonicNow();
    if (!recordRateLimit(this->state.availability, *entry, report, now)) {
        return;
    }
    this->context.metrics.counter(metric::edgeNotices, "limit").add();
    this->logChange(server, "request", request.str());
    this->peers.broadcastRateLimit(this->currentLimit(*entry, now));
    this->applyChange(server, now);
}

void RateLimitController::applyChange(const BackendServerId &server, Millis now)
{
    const auto found = this->permits.find(server);
    if (found != this->permits.end()) {
        found->second.withheldUntil = Millis(-1); // Expected with the limit of before.
    }
    this->update(now);
}

void RateLimitController::handleNotice(const VmId &peer, const wire::RateLimitNotice &notice)
{
    this->applyFromPeer(peer, notice.rate_limit());
    this->peers.relayRateLimit(notice);
}

void RateLimitController::applyGossip(const VmId &peer, const wire::EdgeGossip &gossip)
{
    for (const wire::ServerRateLimit &message : gossip.rate_limits()) {
        this->applyFromPeer(peer, message);
    }
}

void RateLimitController::applyFromPeer(const VmId &peer, const wire::ServerRateLimit &message)
{
    const BackendServerId server(message.backend_server());
    const ServerEntry *entry = this->findServer(server);
    if (entry == nullptr || entry->address != message.address()
        || entry->startedAtWallMs != message.started_at_wall_ms()) {
        return; // About a previous run of the server, or a server that is not listed here yet.
    }
    const Millis now = monotonicNow();
    const std::optional<KnownRateLimit> limit = fromWire(message, now);
    if (!limit) {
        this->context.log.write(EventPriority::Notable, "message_ignored", {{"peer", peer.str()}});
        return;
    }
    if (recordRateLimit(this->state.availability, *entry, *limit, now)) {
        this->logChange(server, "told_by", peer.str());
        this->applyChange(server, now);
    }
}

void RateLimitController::logChange(const BackendServerId &server, std::string_view source,
                                    std::string_view name)
{
    const KnownRateLimit limit = rateLimitOf(this->state.availability, *this->findServer(server));
    this->context.log.write(EventPriority::Notable, "server_limit",
                            {{"server", server.str()},
                             {"limited", limit.perSecond.has_value()},
                             {"per_second", fmt::format("{:.3f}", limit.perSecond.value_or(0))},
                             {"age_ms", monotonicNow() - limit.observedAt},
                             {source, name},
                             {"daemons", static_cast<std::uint64_t>(this->peers.liveDaemons())}});
}

void RateLimitController::addToGossip(wire::EdgeGossip &gossip)
{
    const Millis now = monotonicNow();
    const auto &entries = this->state.availability.entries;
    auto next = entries.upper_bound(this->lastGossiped);
    for (std::size_t seen = 0;
         seen < entries.size() && gossip.rate_limits_size() < maxLimitsPerGossip; ++seen) {
        next = next == entries.end() ? entries.begin() : next;
        const ServerEntry *server = this->findServer(next->first);
        const KnownRateLimit limit = server == nullptr
                ? KnownRateLimit()
                : rateLimitOf(this->state.availability, *server);
        if (isWorthGossip(limit, now)) {
            *gossip.add_rate_limits() = toWire(*server, limit, now);
        }
        this->lastGossiped = next->first;
        ++next;
    }
}

void RateLimitController::recordSend(const BackendServerId &server)
{
    const ServerEntry *entry = this->findServer(server);
    if (entry != nullptr && rateLimitOf(this->state.availability, *entry).perSecond) {
        this->context.metrics.counter(metric::edgeLimitedRequests, "sent").add();
    }
}

void RateLimitController::updateGauges(Millis now)
{
    std::size_t limited = 0;
    Millis oldest{0};
    for (const auto &[id, server] : this->state.catalog.servers) {
        const KnownRateLimit limit = rateLimitOf(this->state.availability, server.entry);
        if (limit.perSecond) {
            ++limited;
            oldest = std::max(oldest, now - limit.observedAt);
        }
    }
    constexpr double millisPerSecond = 1000.0;
    this->context.metrics.gauge(metric::edgeLimitedServers).set(static_cast<double>(limited));
    this->context.metrics.gauge(metric::edgeOldestLimit)
            .set(static_cast<double>(oldest.count()) / millisPerSecond);
}

} // namespace balsamport
