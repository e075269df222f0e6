#include "grant_shard.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>
#include <balsamport/wire/convert.h>

#include <algorithm>
#include <set>

namespace balsamport {

namespace {

constexpr std::uint32_t reportsUntilUnreachable = 3;

std::uint32_t wireMillis(Millis time) noexcept
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(time.count(), 0));
}

wire::Envelope grantedMessage(const IssueGrant &given, const GrantShard &shard)
{
    wire::Envelope message;
    wire::GrantReply &reply = *message.mutable_grant_reply();
    reply.set_decision(wire::GrantReply::GRANTED);
    reply.set_grant(given.grant.number());
    reply.set_fencing(shard.fencing.number());
    reply.set_waited_for_load_ms(wireMillis(given.waitedForLoad));
    reply.set_suspect(given.alone);
    reply.set_queue_depth(static_cast<std::uint32_t>(shard.state.waiters.size()));
    return message;
}

wire::Envelope redirectMessage(const RedirectAdmission &redirect)
{
    wire::Envelope message;
    message.mutable_grant_reply()->set_decision(wire::GrantReply::USE_ANOTHER);
    message.mutable_grant_reply()->set_expected_wait_ms(wireMillis(redirect.expectedWait));
    return message;
}

wire::Envelope refusedMessage(const RefuseAdmission &refusal)
{
    wire::Envelope message;
    wire::GrantReply &reply = *message.mutable_grant_reply();
    reply.set_decision(wire::GrantReply::REFUSED);
    reply.set_error_code(errorNumber(refusal.code));
    reply.set_retry_after_ms(wireMillis(refusal.retryAfter));
    return message;
}

/// The final answer that an action carries; nothing for orders to the engine.
std::optional<wire::Envelope> answerOf(const GrantSchedulerAction &action, const GrantShard &shard)
{
    if (const auto *given = std::get_if<IssueGrant>(&action)) {
        return grantedMessage(*given, shard);
    }
    if (const auto *redirect = std::get_if<RedirectAdmission>(&action)) {
        return redirectMessage(*redirect);
    }
    if (const auto *refusal = std::get_if<RefuseAdmission>(&action)) {
        return refusedMessage(*refusal);
    }
    return std::nullopt;
}

std::uint64_t ticketOf(const GrantSchedulerAction &action) noexcept
{
    if (const auto *given = std::get_if<IssueGrant>(&action)) {
        return given->ticket;
    }
    if (const auto *redirect = std::get_if<RedirectAdmission>(&action)) {
        return redirect->ticket;
    }
    if (const auto *refusal = std::get_if<RefuseAdmission>(&action)) {
        return refusal->ticket;
    }
    return 0;
}

void logDecision(const GrantSchedulerAction &action, const RequestId &request,
                 const GrantShard &shard)
{
    if (const auto *given = std::get_if<IssueGrant>(&action)) {
        LOG(INFO) << logprefix::grant << "Granted. request=" << request
                  << " server=" << shard.config.id << " grant=" << given->grant
                  << " load_wait=" << given->waitedForLoad;
    } else if (const auto *redirect = std::get_if<RedirectAdmission>(&action)) {
        LOG(INFO) << logprefix::grant << "Use another. request=" << request
                  << " server=" << shard.config.id << " wait=" << redirect->expectedWait;
    } else if (const auto *refusal = std::get_if<RefuseAdmission>(&action)) {
        LOG(INFO) << logprefix::grant << "Refused. request=" << request
                  << " server=" << shard.config.id << " error=" << errorName(refusal->code)
                  << " retry_after=" << refusal->retryAfter;
    }
}

AdmissionRequest placeRequestOf(const wire::GrantRequest &request, const std::string &gateway,
                                bool adapterless, Millis now)
{
    AdmissionRequest place;
    place.request = RequestId(request.request_id());
    place.gateway = gateway;
    if (!adapterless) {
        place.adapter = fromWire(request.adapter());
        place.adapterHash = hashOf(place.adapter);
    }
    place.priority = request.priority();
    place.callerClass = CallerClassId(request.caller_class());
    place.deadline = now + Millis(request.deadline_ms());
    place.maxTokens = request.max_tokens();
    place.lastChoice = request.last_choice();
    place.fingerprint = Fingerprint(request.fingerprint());
    place.alone = request.run_alone();
    return place;
}

Grant grantOf(const wire::HeldGrant &held, const std::string &gateway, bool adapterless, Millis now)
{
    Grant grant;
    grant.id = GrantId(held.grant());
    grant.request = RequestId(held.request_id());
    grant.gateway = gateway;
    grant.alone = held.run_alone();
    grant.since = now;
    if (!adapterless) {
        grant.adapter = fromWire(held.adapter());
        grant.adapterHash = hashOf(grant.adapter);
    }
    return grant;
}

void answerAllNotOwner(GrantShard &shard)
{
    wire::Envelope message;
    *message.mutable_error() = toWire(Error{ErrorCode::NotOwner, "the owner has changed"});
    for (const auto &[ticket, waiting] : shard.waiting) {
        waiting.reply(message);
    }
    shard.waiting.clear();
    shard.state.waiters.clear();
}

void raiseFencing(GrantShard &shard)
{
    const std::uint64_t floor
            = std::max(shard.ownership.fencing.number(), shard.reportedFencing.number() + 1);
    shard.fencing = FencingNumber(std::max(shard.fencing.number(), floor));
}

} // namespace

void applyConfig(GrantShard &shard, const BackendServerConfig &config, const LimitsConfig &limits,
                 const std::map<CallerClassId, CallerClassConfig> &classes, bool packed)
{
    shard.config = config;
    shard.limits = limits;
    setLimits(shard.state,
              {config.adapterSlots, std::max(config.batchWidth, 1U), config.mixesAdapters,
               config.kind == BackendServerKind::Service, packed});
    shard.classWeights.clear();
    shard.classQueueLimits.clear();
    for (const auto &[id, callerClass] : classes) {
        shard.classWeights[id] = callerClass.weight;
        shard.classQueueLimits[id] = callerClass.queueLimit;
    }
}

void applyLink(GrantShard &shard, const Snapshot &snapshot, Millis now)
{
    std::set<RegionId> storeRegions;
    for (const auto &[id, config] : snapshot.dataCentres) {
        if (config.hasWeightStore) {
            storeRegions.insert(config.region);
        }
    }
    const auto isFar = [&](const BackendServerConfig &config) {
        return config.kind == BackendServerKind::Engine && !storeRegions.empty()
                && !storeRegions.contains(snapshot.regionOf(config.dataCentre));
    };
    shard.crossesLink = isFar(shard.config);
    if (!shard.crossesLink) {
        return;
    }
    const auto far = std::count_if(snapshot.backendServers.begin(), snapshot.backendServers.end(),
                                   [&](const auto &entry) { return isFar(entry.second); });
    shard.loadBytes = 0;
    for (const auto &[id, adapter] : snapshot.adapters) {
        const bool same = adapter.base == shard.config.base;
        shard.loadBytes = same ? std::max(shard.loadBytes, adapter.bytes) : shard.loadBytes;
    }
    for (const auto &[prefix, range] : snapshot.adapterRanges) {
        const bool same = range.common.base == shard.config.base;
        shard.loadBytes = same ? std::max(shard.loadBytes, range.common.bytes) : shard.loadBytes;
    }
    const std::uint64_t forLoads = snapshot.limits.linkBytesPerSecond * linkLoadPercent / 100;
    setLinkShare(shard.link, forLoads, static_cast<std::uint32_t>(far), now);
    // However large, an adapter can be saved up for.
    shard.link.capacity = std::max(shard.link.capacity, static_cast<double>(shard.loadBytes));
}

void applyOwnership(GrantShard &shard, const ServerOwnership &ownership, const VmId &self)
{
    const bool wasOwner = shard.ownership.authority != OwnerAuthority::None;
    const bool isOwner = ownership.authority != OwnerAuthority::None;
    const bool changed = wasOwner != isOwner || shard.ownership.ownerSince != ownership.ownerSince;
    shard.ownership = ownership;
    if (wasOwner && (!isOwner || changed)) {
        answerAllNotOwner(shard);
    }
    if (isOwner && changed) {
        const std::string range = self.str() + "/" + shard.config.id.str() + "/"
                + std::to_string(ownership.ownerSince.count()) + "/"
                + std::to_string(wallNow().count());
        // Nothing is known of the slots until the engine reports; announced grants are kept.
        const ServerState old = std::move(shard.state);
        shard.state = makeServerState(old.limits, GrantId(hash64(range) >> 1U));
        for (const Grant &grant : old.grants) {
            adoptGrant(shard.state, grant);
        }
        shard.fencing = FencingNumber();
        shard.reportPending = false;
        shard.reportAskedAt = Millis();
        shard.failedReports = 0;
    }
    if (isOwner) {
        shard.fencing = FencingNumber(std::max(shard.fencing.number(), ownership.fencing.number()));
    }
}

SchedulerContext contextOf(GrantShard &shard, Millis now)
{
    SchedulerContext context;
    context.right = shard.ownership.authority;
    if (context.right == OwnerAuthority::Full && now >= shard.ownership.confirmedUntil) {
        context.right = OwnerAuthority::GrantsOnly;
    }
    context.draining = shard.config.draining;
    context.reachable = shard.failedReports < reportsUntilUnreachable;
    context.weightPercent = shard.limits.weightPercent;
    context.gatherTime = shard.limits.gatherTime;
    context.link = shard.crossesLink ? &shard.link : nullptr;
    context.loadBytes = shard.loadBytes;
    context.classWeights = &shard.classWeights;
    context.classQueueLimits = &shard.classQueueLimits;
    return context;
}

std::optional<wire::Envelope> admitToShard(GrantShard &shard, const LoadBudget &budget,
                                           const wire::GrantRequest &request,
                                           const std::string &gateway, const ReplySender &reply,
                                           Millis now)
{
    const std::uint64_t ticket = shard.nextTicket++;
    AdmissionRequest place = placeRequestOf(request, gateway, shard.state.limits.adapterless, now);
    const RequestId id = place.request;
    const auto action = admitRequest(shard.state, budget, contextOf(shard, now), std::move(place),
                                     ticket, now);
    if (action) {
        logDecision(*action, id, shard);
        return answerOf(*action, shard);
    }
    shard.waiting[ticket] = {id, reply, Millis()};
    return std::nullopt;
}

void releaseFromShard(GrantShard &shard, const wire::GrantRelease &released,
                      const std::string &gateway, Millis now)
{
    const RequestId request(released.request_id());
    if (released.grant() == 0) {
        dropWaiter(shard.state, request, gateway);
        std::erase_if(shard.waiting, [&](const auto &entry) {
            return std::none_of(shard.state.waiters.begin(), shard.state.waiters.end(),
                                [&entry](const Waiter &w) { return w.ticket == entry.first; });
        });
        dropRequestGrants(shard.state, request, gateway);
        return;
    }
    const GrantId id(released.grant());
    const auto held = std::find_if(shard.state.grants.begin(), shard.state.grants.end(),
                                   [id](const Grant &g) { return g.id == id; });
    if (held == shard.state.grants.end()) {
        return;
    }
    const std::uint64_t hash = held->adapterHash;
    releaseGrant(shard.state, id, now);
    if (released.how() == wire::GrantRelease::RETURNED) {
        markNotLoaded(shard.state, hash, now);
        shard.reportAskedAt = Millis();
    } else if (released.how() == wire::GrantRelease::SERVER_CRASHED) {
        // Each request that is still sent there costs a retry; its next report clears it.
        shard.failedReports = std::max(shard.failedReports, reportsUntilUnreachable);
        shard.reportAskedAt = Millis();
    }
}

void announceToShard(GrantShard &shard, const std::vector<wire::HeldGrant> &held,
                     const std::string &gateway, Millis now, Millis grace)
{
    for (const wire::HeldGrant &grant : held) {
        adoptGrant(shard.state, grantOf(grant, gateway, shard.state.limits.adapterless, now));
    }
    std::vector<GrantId> ended;
    for (const Grant &grant : shard.state.grants) {
        const bool named = std::any_of(held.begin(), held.end(), [&grant](const auto &h) {
            return h.grant() == grant.id.number();
        });
        if (grant.gateway == gateway && !named && now - grant.since > grace) {
            ended.push_back(grant.id);
        }
    }
    for (const GrantId id : ended) {
        LOG(INFO) << logprefix::grant << "Gateway no longer holds it. grant=" << id
                  << " server=" << shard.config.id << " gateway=" << gateway;
        releaseGrant(shard.state, id, now);
    }
}

void answerWaiters(GrantShard &shard, const std::vector<GrantSchedulerAction> &actions, Millis now)
{
    (void)now;
    for (const GrantSchedulerAction &action : actions) {
        const auto answer = answerOf(action, shard);
        const auto found = shard.waiting.find(ticketOf(action));
        if (!answer || found == shard.waiting.end()) {
            continue;
        }
        logDecision(action, found->second.request, shard);
        found->second.reply(*answer);
        shard.waiting.erase(found);
    }
}

void tellQueued(GrantShard &shard, Millis now, Millis interval)
{
    for (auto &[ticket, waiting] : shard.waiting) {
        if (waiting.toldAt != Millis() && now - waiting.toldAt < interval) {
            continue;
        }
        waiting.toldAt = now;
        wire::Envelope message;
        message.mutable_grant_reply()->set_decision(wire::GrantReply::QUEUED);
        message.mutable_grant_reply()->set_queue_depth(
                static_cast<std::uint32_t>(shard.waiting.size()));
        waiting.reply(message);
    }
}

void takeReport(GrantShard &shard, LoadBudget &budget, const Result<EngineLoadReport> &report,
                Millis now)
{
    shard.reportPending = false;
    shard.reachable = report.has_value();
    shard.failedReports = shard.reachable ? 0 : shard.failedReports + 1;
    if (!report.has_value() || shard.ownership.authority == OwnerAuthority::None) {
        return;
    }
    const bool first = !shard.state.reported;
    shard.reportedFencing = std::max(shard.reportedFencing, report.value().fencing);
    if (first) {
        raiseFencing(shard);
    }
    if (applyLoadReport(shard.state, budget, report.value(), now)) {
        LOG(INFO) << logprefix::load << "Engine has restarted. server=" << shard.config.id;
    }
}

void describeShard(const GrantShard &shard, wire::ServerStatus &status)
{
    status.set_backend_server(shard.config.id.str());
    status.set_effective(shard.ownership.authority == OwnerAuthority::Full);
    status.set_fencing(shard.fencing.number());
    status.set_slots(static_cast<std::uint32_t>(shard.state.slots.size()));
    std::uint32_t loading = 0;
    for (const Slot &slot : shard.state.slots) {
        loading += slot.state == SlotState::Loading ? 1 : 0;
        if (slot.state == SlotState::Resident) {
            status.add_resident_adapters(slot.adapter.str());
        }
    }
    status.set_resident(static_cast<std::uint32_t>(status.resident_adapters_size()));
    status.set_running(static_cast<std::uint32_t>(shard.state.grants.size()));
    status.set_queued(static_cast<std::uint32_t>(shard.state.waiters.size()));
    status.set_loads_in_flight(loading);
    status.set_leaving(shard.config.draining);
    status.set_reachable(shard.reachable);
}

} // namespace balsamport
