#include "crash_controller.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/http_status.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/edge/crash_note_relay.h>

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace balsamport {

namespace {

/// An engine that refuses connections has ended; one that does not respond at all may only be cut
/// off, and is left undecided after this time.
constexpr Millis probeTimeout{1'000};
constexpr Millis probeConnectTimeout{400};
/// An engine that still responds is queried once more after this time: its connections may have
/// broken just before it ended.
constexpr Millis secondProbeDelay{150};
/// Time for which a crash that the probe did not confirm may be confirmed by another daemon.
constexpr Millis undecidedTime{3'000};
/// Requests of one crash in one message; more add no evidence.
constexpr std::size_t maxReportedRequests = 64;
constexpr std::size_t maxReportedParts = 16;
/// Longest delay before completions are published. Each daemon has its own, so that those that
/// would publish the same mostly learn it from the first.
constexpr std::int64_t maxPublishDelayMs = 120;
constexpr Millis minJudgeDelay{10};
constexpr std::size_t maxEndedRuns = 500;

std::uint32_t ageOf(Millis at, Millis now)
{
    return static_cast<std::uint32_t>(std::max(now - at, Millis(0)).count());
}

wire::SuspectEvidence toWire(const SuspectKey &key, const Completions &completions, Millis now)
{
    wire::SuspectEvidence message;
    message.set_prompt_part(key.kind == SuspectKind::PromptPart);
    message.set_id(key.id);
    if (completions.lastAt >= Millis(0)) {
        message.set_completed(true);
        message.set_completed_sent_age_ms(ageOf(completions.lastSentAt, now));
        message.set_completed_age_ms(ageOf(completions.lastAt, now));
    }
    return message;
}

wire::SuspectEvidence toWire(const SuspectKey &key, const Suspect &suspect, Millis now)
{
    wire::SuspectEvidence message = toWire(key, suspect.completions, now);
    message.set_seen_age_ms(ageOf(suspect.lastSeenAt, now));
    for (const SuspectCrash &crash : suspect.crashes) {
        wire::SuspectCrash &added = *message.add_crashes();
        added.set_server_run(crash.serverRun);
        added.set_request(crash.request);
        added.set_sent_age_ms(ageOf(crash.sentAt, now));
        added.set_age_ms(ageOf(crash.at, now));
        added.set_late(!crash.early);
    }
    return message;
}

SuspectKey keyFromWire(const wire::SuspectEvidence &message)
{
    return {message.prompt_part() ? SuspectKind::PromptPart : SuspectKind::Request, message.id()};
}

Completions completionsFromWire(const wire::SuspectEvidence &message, Millis now)
{
    if (!message.completed()) {
        return {};
    }
    return {now - Millis(message.completed_sent_age_ms()),
            now - Millis(message.completed_age_ms())};
}

Suspect suspectFromWire(const wire::SuspectEvidence &message, Millis now)
{
    Suspect suspect;
    suspect.completions = completionsFromWire(message, now);
    suspect.lastSeenAt = now - Millis(message.seen_age_ms());
    for (const wire::SuspectCrash &crash : message.crashes()) {
        suspect.crashes.push_back(SuspectCrash{crash.server_run(), crash.request(),
                                               now - Millis(crash.sent_age_ms()),
                                               now - Millis(crash.age_ms()), !crash.late()});
    }
    return suspect;
}

wire::CrashReport toWire(const BackendServerId &server, const ServerCrash &crash, Millis now)
{
    wire::CrashReport message;
    message.set_backend_server(server.str());
    message.set_server_run(crash.serverRun);
    message.set_age_ms(ageOf(crash.at, now));
    for (const BrokenRequest &request : crash.requests) {
        wire::BrokenRequest &added = *message.add_requests();
        added.set_fingerprint(request.traits.fingerprint.number());
        for (const std::uint64_t part : request.traits.sharedParts) {
            added.add_shared_parts(part);
        }
        added.set_sent_age_ms(ageOf(request.sentAt, now));
        added.set_late(!request.early);
    }
    return message;
}

ServerCrash crashFromWire(const wire::CrashReport &message, Millis now)
{
    ServerCrash crash{message.server_run(), now - Millis(message.age_ms()), {}};
    for (const wire::BrokenRequest &request : message.requests()) {
        if (crash.requests.size() >= maxReportedRequests) {
            break;
        }
        BrokenRequest broken;
        broken.traits.fingerprint = Fingerprint(request.fingerprint());
        for (const std::uint64_t part : request.shared_parts()) {
            if (broken.traits.sharedParts.size() < maxReportedParts) {
                broken.traits.sharedParts.push_back(part);
            }
        }
        broken.sentAt = now - Millis(request.sent_age_ms());
        broken.early = !request.late();
        crash.requests.push_back(std::move(broken));
    }
    return crash;
}

std::string textOf(const SuspectKey &key)
{
    return key.kind == SuspectKind::PromptPart ? fmt::format("part {:x}", key.id)
                                               : fmt::format("request {:x}", key.id);
}

} // namespace

CrashController::CrashController(EdgeContext &owner, EdgeState &edgeState,
                                 PeerController &peerController,
                                 std::function<void()> convictionHandler)
    : context(owner)
    , state(edgeState)
    , peers(peerController)
    , onConviction(std::move(convictionHandler))
    , judgeTimer(owner.loop.makeTimer())
    , publishTimer(owner.loop.makeTimer())
{ }

void CrashController::handleBrokenRequest(const ServerEntry &server, bool isEngine,
                                          const RequestId &request, const BrokenRequest &broken)
{
    const Millis now = monotonicNow();
    const std::uint64_t run = serverRunOf(server.id, server.startedAtWallMs);
    std::string parts;
    for (const std::uint64_t part : broken.traits.sharedParts) {
        parts += fmt::format("{}{:x}", parts.empty() ? "" : ",", part);
    }
    this->context.metrics.counter(metric::edgeCrashReports, "observed").add();
    this->context.log.write(EventPriority::Notable, "crash_suspected",
                            {{"request", request.str()},
                             {"server", server.id.str()},
                             {"fingerprint", broken.traits.fingerprint.number()},
                             {"parts", parts},
                             {"after_ms", now - broken.sentAt},
                             {"early", broken.early}});
    if (!isEngine || this->endedRuns.count(run) != 0) {
        this->recordObserved(server.id, ServerCrash{run, now, {broken}});
        return;
    }
    const bool isFirst = this->pendingCrashes.count(run) == 0;
    PendingCrash &pending = this->pendingCrashes[run];
    pending.crash.serverRun = run;
    pending.crash.at = isFirst ? now : pending.crash.at;
    if (pending.crash.requests.size() < maxReportedRequests) {
        pending.crash.requests.push_back(broken);
    }
    if (isFirst) {
        pending.entry = server;
        pending.timer = this->context.loop.makeTimer();
        this->probe(run);
    }
}

void CrashController::probe(std::uint64_t serverRun)
{
    const auto pending = this->pendingCrashes.find(serverRun);
    if (pending == this->pendingCrashes.end()) {
        return;
    }
    pending->second.probedAt = monotonicNow();
    OutgoingRequest request = this->context.dialect.writeReportRequest(pending->second.entry);
    request.timeout = probeTimeout;
    request.connectTimeout = probeConnectTimeout;
    request.freshConnection = true;
    fetchOnLoop(this->context, std::move(request),
                [this, serverRun](const Result<HttpResponse> &response) {
                    this->handleProbe(serverRun, response);
                });
}

void CrashController::handleProbe(std::uint64_t serverRun, const Result<HttpResponse> &response)
{
    const auto pending = this->pendingCrashes.find(serverRun);
    if (pending == this->pendingCrashes.end()) {
        return;
    }
    const Millis elapsed = monotonicNow() - pending->second.probedAt;
    const bool responds
            = response.has_value() && response.value().status != httpstatus::misdirected;
    if (responds && !pending->second.probedTwice) {
        pending->second.probedTwice = true;
        pending->second.timer->set(secondProbeDelay, [this, serverRun] { this->probe(serverRun); });
    } else if (responds) {
        // A restart takes an engine longer than a probe.
        this->context.log.write(EventPriority::Notable, "crash_unconfirmed",
                                {{"server", pending->second.entry.id.str()},
                                 {"requests", pending->second.crash.requests.size()}});
        this->pendingCrashes.erase(pending);
    } else if (response.has_value()) {
        this->confirm(serverRun, "another server responds");
    } else if (response.error().code == ErrorCode::ConnectFailed && elapsed < probeConnectTimeout) {
        this->confirm(serverRun, "refuses connections");
    } else if (response.error().code == ErrorCode::ConnectionBroken) {
        this->confirm(serverRun, "closes connections");
    }
    // Otherwise undecided: update() drops it, unless another daemon confirms it before.
}

void CrashController::confirm(std::uint64_t serverRun, std::string_view evidence)
{
    const auto found = this->pendingCrashes.find(serverRun);
    if (found == this->pendingCrashes.end()) {
        return;
    }
    const PendingCrash pending = std::move(found->second);
    this->pendingCrashes.erase(found);
    this->context.log.write(EventPriority::Notable, "crash_confirmed",
                            {{"server", pending.entry.id.str()},
                             {"evidence", evidence},
                             {"requests", pending.crash.requests.size()},
                             {"age_ms", monotonicNow() - pending.crash.at}});
    this->recordObserved(pending.entry.id, pending.crash);
}

void CrashController::recordObserved(const BackendServerId &server, const ServerCrash &crash)
{
    const Millis now = monotonicNow();
    if (this->endedRuns.size() < maxEndedRuns) {
        this->endedRuns.emplace(crash.serverRun, now);
    }
    recordCrash(this->state.crashEvidence, this->limits, crash, now);
    wire::CrashNote note;
    *note.mutable_report() = toWire(server, reportableCrash(this->state.crashEvidence, crash), now);
    this->peers.broadcastCrashes(note);
    this->publishSoon();
    this->judgeAfter(minJudgeDelay);
}

void CrashController::recordCompletion(const RequestTraits &traits, Millis sentAt)
{
    balsamport::recordCompletion(this->state.crashEvidence, this->limits, traits, sentAt,
                                 monotonicNow());
    if (!this->state.crashEvidence.suspects.empty()) {
        this->publishSoon();
    }
}

bool CrashController::isRefused(const RequestTraits &traits, const RequestId &request,
                                std::string_view where)
{
    const auto suspect = convictedSuspect(this->state.crashEvidence, traits);
    if (!suspect) {
        return false;
    }
    const Millis now = monotonicNow();
    recordRefusal(this->state.crashEvidence, *suspect, now);
    const Suspect &evidence = this->state.crashEvidence.suspects.at(*suspect);
    this->context.metrics
            .counter(metric::edgeQuarantined,
                     suspect->kind == SuspectKind::PromptPart ? "part" : "request")
            .add();
    this->context.log.write(EventPriority::Notable, "quarantined",
                            {{"request", request.str()},
                             {"where", where},
                             {"suspect", textOf(*suspect)},
                             {"crashes", evidence.crashes.size()},
                             {"last_crash_ms", now - evidence.crashes.back().at},
                             {"convicted_ms", now - evidence.convictedAt}});
    return true;
}

bool CrashController::isUnderJudgement(const RequestTraits &traits) const
{
    return balsamport::isUnderJudgement(this->state.crashEvidence, this->limits, traits,
                                        monotonicNow());
}

void CrashController::handleNote(const VmId &peer, const wire::CrashNote &note)
{
    const Millis now = monotonicNow();
    if (note.has_report()) {
        this->applyReport(peer, note.report(), now);
    }
    for (const wire::CrashReport &report : note.relayed_reports()) {
        this->applyReport(peer, report, now);
    }
    if (note.has_report() || note.relayed_reports_size() > 0) {
        this->publishSoon();
        this->judgeAfter(minJudgeDelay);
    }
    for (const wire::SuspectEvidence &completions : note.completions()) {
        mergeCompletions(this->state.crashEvidence,
                         PublishedCompletions{keyFromWire(completions),
                                              completionsFromWire(completions, now)});
    }
    this->mergeSuspects(peer, note.suspects());
    this->peers.relayCrashes(note);
}

void CrashController::applyReport(const VmId &peer, const wire::CrashReport &report, Millis now)
{
    const ServerCrash crash = crashFromWire(report, now);
    this->context.metrics.counter(metric::edgeCrashReports, "received").add();
    this->context.log.write(EventPriority::Notable, "crash_reported",
                            {{"told_by", peer.str()},
                             {"server", report.backend_server()},
                             {"requests", crash.requests.size()},
                             {"age_ms", report.age_ms()}});
    this->confirm(crash.serverRun, "reported by another daemon");
    recordCrash(this->state.crashEvidence, this->limits, crash, now);
}

void CrashController::mergeSuspects(
        const VmId &peer, const google::protobuf::RepeatedPtrField<wire::SuspectEvidence> &suspects)
{
    const Millis now = monotonicNow();
    std::size_t merged = 0;
    for (const wire::SuspectEvidence &message : suspects) {
        if (merged++ >= maxSharedSuspects) {
            break;
        }
        const SuspectKey key = keyFromWire(message);
        const bool isNew = this->state.crashEvidence.suspects.count(key) == 0;
        mergeSuspect(this->state.crashEvidence, this->limits, key, suspectFromWire(message, now));
        if (isNew) {
            this->context.log.write(EventPriority::Notable, "suspect_reported",
                                    {{"told_by", peer.str()},
                                     {"suspect", textOf(key)},
                                     {"crashes", message.crashes_size()},
                                     {"seen_ms", message.seen_age_ms()}});
        }
    }
    if (merged > 0) {
        this->publishSoon();
        this->judgeAfter(minJudgeDelay);
    }
}

void CrashController::addToGossip(wire::EdgeGossip &gossip) const
{
    const Millis now = monotonicNow();
    for (const SuspectKey &key : suspectsToShare(this->state.crashEvidence, maxSharedSuspects)) {
        *gossip.add_suspects() = toWire(key, this->state.crashEvidence.suspects.at(key), now);
    }
}

void CrashController::applyGossip(const VmId &peer, const wire::EdgeGossip &gossip)
{
    this->mergeSuspects(peer, gossip.suspects());
}

void CrashController::update(Millis now)
{
    std::erase_if(this->pendingCrashes,
                  [now](const auto &entry) { return now - entry.second.probedAt > undecidedTime; });
    std::erase_if(this->endedRuns,
                  [&](const auto &entry) { return now - entry.second > this->limits.retention; });
    expireEvidence(this->state.crashEvidence, this->limits, now);
    const auto convicted = std::count_if(this->state.crashEvidence.suspects.begin(),
                                         this->state.crashEvidence.suspects.end(),
                                         [](const auto &entry) { return entry.second.convicted; });
    this->context.metrics.gauge(metric::edgeSuspects)
            .set(static_cast<double>(this->state.crashEvidence.suspects.size()));
    this->context.metrics.gauge(metric::edgeConvicted).set(static_cast<double>(convicted));
}

void CrashController::publishSoon()
{
    if (this->publishScheduled) {
        return;
    }
    this->publishScheduled = true;
    const auto delay = static_cast<std::int64_t>(hash64(this->context.settings.vm.str())
                                                 % maxPublishDelayMs);
    this->publishTimer->set(Millis(delay), [this] {
        this->publishScheduled = false;
        this->publish();
    });
}

void CrashController::publish()
{
    const Millis now = monotonicNow();
    wire::CrashNote note;
    for (const PublishedCompletions &published :
         completionsToPublish(this->state.crashEvidence, this->limits)) {
        *note.add_completions() = toWire(published.suspect, published.completions, now);
    }
    if (note.completions_size() > 0) {
        this->peers.broadcastCrashes(note);
    }
}

void CrashController::judgeAfter(Millis delay)
{
    const Millis at = monotonicNow() + delay;
    if (this->judgesAt >= Millis(0) && this->judgesAt <= at) {
        return;
    }
    this->judgesAt = at;
    this->judgeTimer->set(delay, [this] {
        this->judgesAt = Millis(-1);
        this->judgeNow();
    });
}

void CrashController::judgeNow()
{
    const Millis now = monotonicNow();
    CrashEvidence &evidence = this->state.crashEvidence;
    std::set<SuspectKey> before;
    for (const auto &[key, suspect] : evidence.suspects) {
        if (suspect.convicted) {
            before.insert(key);
        }
    }
    const std::vector<SuspectKey> convicted = judge(evidence, this->limits, now);
    wire::CrashNote note;
    for (const SuspectKey &key : convicted) {
        this->logSuspect("suspect_convicted", key, now);
        *note.add_suspects() = toWire(key, evidence.suspects.at(key), now);
    }
    for (const SuspectKey &key : before) {
        const auto suspect = evidence.suspects.find(key);
        if (suspect != evidence.suspects.end() && !suspect->second.convicted) {
            this->logSuspect("suspect_acquitted", key, now);
        }
    }
    if (!convicted.empty()) {
        this->peers.broadcastCrashes(note);
        this->onConviction();
    }
    const auto next = nextJudgement(evidence, this->limits);
    if (next) {
        constexpr Millis repeatedDelay{100};
        this->judgeAfter(std::max(*next - now, repeatedDelay));
    }
}

void CrashController::logSuspect(std::string_view event, const SuspectKey &key, Millis now)
{
    const Suspect &suspect = this->state.crashEvidence.suspects.at(key);
    const bool completed = suspect.completions.lastAt >= Millis(0);
    this->context.log.write(
            EventPriority::Notable, event,
            {{"suspect", textOf(key)},
             {"crashes", suspect.crashes.size()},
             {"first_crash_ms", now - suspect.crashes.front().at},
             {"last_crash_ms", now - suspect.crashes.back().at},
             {"last_completion_ms", completed ? (now - suspect.completions.lastAt).count() : -1}});
}

} // namespace balsamport
