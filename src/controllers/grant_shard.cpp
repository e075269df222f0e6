#include "grant_shard.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>
#include <balsamport/wire/convert.h>

#include <algorithm>
#include <set>

namespace balsamport {

namespace {

constexpr std::uint32_t failedReportsUntilUnreachable = 3;

std::uint32_t wireMillis(Millis time) noexcept
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(time.count(), 0));
}

wire::Envelope grantedMessage(const IssueGrant &issued, const GrantShard &shard)
{
    wire::Envelope message;
    wire::GrantReply &reply = *message.mutable_grant_reply();
    reply.set_decision(wire::GrantReply::GRANTED);
    reply.set_grant(issued.grant.number());
    reply.set_fencing(shard.fencing.number());
    reply.set_waited_for_load_ms(wireMillis(issued.waitedForLoad));
    reply.set_suspect(issued.alone);
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

/// The final reply for an action; empty for load commands.
std::optional<wire::Envelope> replyFor(const GrantSchedulerAction &action, const GrantShard &shard)
{
    if (const auto *issued = std::get_if<IssueGrant>(&action)) {
        return grantedMessage(*issued, shard);
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
    if (const auto *issued = std::get_if<IssueGrant>(&action)) {
        return issued->ticket;
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
    if (const auto *issued = std::get_if<IssueGrant>(&action)) {
        LOG(INFO) << logprefix::grant << "Granted. request=" << request
                  << " server=" << shard.config.id << " grant=" << issued->grant
                  << " load_wait=" << issued->waitedForLoad;
    } else if (const auto *redirect = std::get_if<RedirectAdmission>(&action)) {
        LOG(INFO) << logprefix::grant << "Redirected. request=" << request
                  << " server=" << shard.config.id << " wait=" << redirect->expectedWait;
    } else if (const auto *refusal = std::get_if<RefuseAdmission>(&action)) {
        LOG(INFO) << logprefix::grant << "Refused. request=" << request
                  << " server=" << shard.config.id << " error=" << errorName(refusal->code)
                  << " retry_after=" << refusal->retryAfter;
    }
}

AdmissionRequest admissionRequestFrom(const wire::GrantRequest &request, const std::string &gateway,
                                      bool adapterless, Millis now)
{
    AdmissionRequest admission;
    admission.request = RequestId(request.request_id());
    admission.gateway = gateway;
    if (!adapterless) {
        admission.adapter = fromWire(request.adapter());
        admission.adapterHash = hashOf(admission.adapter);
    }
    admission.priority = request.priority();
    admission.callerClass = CallerClassId(request.caller_class());
    admission.deadline = now + Millis(request.deadline_ms());
    admission.maxTokens = request.max_tokens();
    admission.lastChoice = request.last_choice();
    admission.fingerprint = Fingerprint(request.fingerprint());
    admission.alone = request.run_alone();
    return admission;
}

Grant grantFrom(const wire::HeldGrant &held, const std::string &gateway, bool adapterless,
                Millis now)
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

void refuseAllNotOwner(GrantShard &shard)
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
    const auto isOutsideStoreRegion = [&](const BackendServerConfig &config) {
        return config.kind == BackendServerKind::Engine && !storeRegions.empty()
                && !storeRegions.contains(snapshot.regionOf(config.dataCentre));
    };
    shard.crossesLink = isOutsideStoreRegion(shard.config);
    if (!shard.crossesLink) {
        return;
    }
    const auto remoteEngines
            = std::count_if(snapshot.backendServers.begin(), snapshot.backendServers.end(),
                            [&](const auto &entry) { return isOutsideStoreRegion(entry.second); });
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
    setLinkShare(shard.link, forLoads, static_cast<std::uint32_t>(remoteEngines), now);
    // The capacity allows saving bytes for the largest adapter, so that it can always be loaded.
    shard.link.capacity = std::max(shard.link.capacity, static_cast<double>(shard.loadBytes));
}

void applyOwnership(GrantShard &shard, const ServerOwnership &ownership, const VmId &self)
{
    const bool wasOwner = shard.ownership.authority != OwnerAuthority::None;
    const bool isOwner = ownership.authority != OwnerAuthority::None;
    const bool changed = wasOwner != isOwner || shard.ownership.ownerSince != ownership.ownerSince;
    shard.ownership = ownership;
    if (wasOwner && (!isOwner || changed)) {
        refuseAllNotOwner(shard);
    }
    if (isOwner && changed) {
        const std::string range = self.str() + "/" + shard.config.id.str() + "/"
                + std::to_string(ownership.ownerSince.count()) + "/"
                + std::to_string(wallNow().count());
        // The state of the slots is unknown until the engine reports; announced grants are kept.
        const ServerState previous = std::move(shard.state);
        shard.state = makeServerState(previous.limits, GrantId(hash64(range) >> 1U));
        for (const Grant &grant : previous.grants) {
            adoptGrant(shard.state, grant);
        }
        shard.fencing = FencingNumber();
        shard.reportPending = false;
        shard.reportRequestedAt = Millis();
        shard.failedReports = 0;
    }
    if (isOwner) {
        shard.fencing = FencingNumber(std::max(shard.fencing.number(), ownership.fencing.number()));
    }
}

SchedulerContext contextOf(GrantShard &shard, Millis now)
{
    SchedulerContext context;
    context.authority = shard.ownership.authority;
    if (context.authority == OwnerAuthority::Full && now >= shard.ownership.confirmedUntil) {
        context.authority = OwnerAuthority::GrantsOnly;
    }
    context.draining = shard.config.draining;
    context.reachable = shard.failedReports < failedReportsUntilUnreachable;
    context.weightPercent = shard.limits.weightPercent;
    context.gatherTime = shard.limits.gatherTime;
    context.link = shard.crossesLink ? &shard.link : nullptr;
    context.loadBytes = shard.loadBytes;
    context.classWeights = &shard.classWeights;
    context.classQueueLimits = &shard.classQueueLimits;
    return context;
}

std::optional<wire::Envelope> admitRequestToShard(GrantShard &shard, const LoadBudget &budget,
                                                  const wire::GrantRequest &request,
                                                  const std::string &gateway,
                                                  const ReplySender &reply, Millis now)
{
    const std::uint64_t ticket = shard.nextTicket++;
    AdmissionRequest admission
            = admissionRequestFrom(request, gateway, shard.state.limits.adapterless, now);
    const RequestId id = admission.request;
    const auto action = admitRequest(shard.state, budget, contextOf(shard, now),
                                     std::move(admission), ticket, now);
    if (action) {
        logDecision(*action, id, shard);
        return replyFor(*action, shard);
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
        shard.reportRequestedAt = Millis();
    } else if (released.how() == wire::GrantRelease::SERVER_CRASHED) {
        // Counts as unreachable until its next report, since each request sent there costs a retry.
        shard.failedReports = std::max(shard.failedReports, failedReportsUntilUnreachable);
        shard.reportRequestedAt = Millis();
    }
}

void applyAnnouncement(GrantShard &shard, const std::vector<wire::HeldGrant> &held,
                       const std::string &gateway, Millis now, Millis grace)
{
    for (const wire::HeldGrant &grant : held) {
        adoptGrant(shard.state, grantFrom(grant, gateway, shard.state.limits.adapterless, now));
    }
    std::vector<GrantId> endedGrants;
    for (const Grant &grant : shard.state.grants) {
        const bool announced = std::any_of(held.begin(), held.end(), [&grant](const auto &h) {
            return h.grant() == grant.id.number();
        });
        if (grant.gateway == gateway && !announced && now - grant.since > grace) {
            endedGrants.push_back(grant.id);
        }
    }
    for (const GrantId id : endedGrants) {
        LOG(INFO) << logprefix::grant
                  << "Released a grant that its gateway no longer holds. grant=" << id
                  << " server=" << shard.config.id << " gateway=" << gateway;
        releaseGrant(shard.state, id, now);
    }
}

void sendFinalReplies(GrantShard &shard, const std::vector<GrantSchedulerAction> &actions,
                      Millis now)
{
    (void)now;
    for (const GrantSchedulerAction &action : actions) {
        const auto finalReply = replyFor(action, shard);
        const auto found = shard.waiting.find(ticketOf(action));
        if (!finalReply || found == shard.waiting.end()) {
            continue;
        }
        logDecision(action, found->second.request, shard);
        found->second.reply(*finalReply);
        shard.waiting.erase(found);
    }
}

void sendQueuedUpdates(GrantShard &shard, Millis now, Millis interval)
{
    for (auto &[ticket, waiting] : shard.waiting) {
        if (waiting.queuedSentAt != Millis() && now - waiting.queuedSentAt < interval) {
            continue;
        }
        waiting.queuedSentAt = now;
        wire::Envelope message;
        message.mutable_grant_reply()->set_decision(wire::GrantReply::QUEUED);
        message.mutable_grant_reply()->set_queue_depth(
                static_cast<std::uint32_t>(shard.waiting.size()));
        waiting.reply(message);
    }
}

void applyReport(GrantShard &shard, LoadBudget &budget, const Result<EngineLoadReport> &report,
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
        LOG(INFO) << logprefix::load << "Engine restarted. server=" << shard.config.id;
    }
}

void fillServerStatus(const GrantShard &shard, wire::ServerStatus &status)
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
