#include "rate_limit_controller.h"

#include <balsamport/core/metric_names.h>

#include <fmt/format.h>

#include <algorithm>

namespace balsamport {

namespace {

/// Limits in one gossip message. Changes are sent at once; gossip only repairs what was lost.
constexpr int maxLimitsPerGossip = 4;
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
    message.set_age_ms(static_cast<std::uint32_t>((now - limit.observedAt).count()));
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

bool isWorthGossip(const KnownRateLimit &limit, Millis now)
{
    return limit.perSecond
            || (limit.observedAt >= Millis(0) && now - limit.observedAt < liftedLimitLifetime);
}

} // namespace

RateLimitController::RateLimitController(EdgeContext &owner, EdgeState &edgeState,
                                         PeerController &peerController)
    : context(owner)
    , state(edgeState)
    , peers(peerController)
{ }

const ServerEntry *RateLimitController::findServer(const BackendServerId &server) const
{
    const auto found = this->state.catalog.servers.find(server);
    return found == this->state.catalog.servers.end() ? nullptr : &found->second.entry;
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
    this->peers.broadcastRateLimit(
            toWire(*entry, rateLimitOf(this->state.availability, *entry), now));
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
