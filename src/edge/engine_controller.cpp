#include "engine_controller.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/metric_names.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis commandTimeout{1'500};
constexpr Millis reportTimeout{1'000};
/// A command that has waited longer isn't sent: the owner may have changed.
constexpr Millis maxCommandAge{500};
constexpr Millis failedReportInterval{500};
/// Longer than callers wait: their requests for adapters to load are refused at once.
constexpr Millis longestCommandWait{60'000};
/// Longer than any command is on its way, and than an engine is mostly missing from the list.
constexpr Millis commandStateRetention{600'000};
constexpr std::size_t maxCommandStates = 4'096;
/// Samples of a service between two estimates of its profile.
constexpr std::uint64_t samplesPerEstimate = 4;
/// Most loads that count for a daemon's weight: its estimate reflects about as many.
constexpr std::uint32_t maxLoadWeight = 16;
/// A profile from another daemon is used for this long after it was received.
constexpr Millis receivedProfileLifetime{20'000};
constexpr double percent = 100.0;

MeasuredProfile profileFromWire(const wire::ServiceProfile &message)
{
    MeasuredProfile measured;
    EngineProfile &profile = measured.profile;
    profile.prefillMsPerToken = message.read_ms_per_token();
    profile.tokensPerMillionPairs = message.pairs_per_token();
    profile.decodeStepMs = message.step_ms();
    profile.decodeStepsPerEvent = message.steps_per_event();
    profile.prefillTokensPerStep = message.tokens_per_step();
    profile.storeLoadTime = Millis(message.cold_load_ms());
    profile.hostCacheLoadTime = Millis(message.warm_load_ms());
    profile.hostCachedAdapters = message.warm_adapters();
    measured.prefills = message.readings();
    measured.streams = message.streams();
    measured.tokenGaps = message.pauses();
    measured.loads = message.loads();
    return measured;
}

wire::ServiceProfile profileToWire(const ServiceId &service, const MeasuredProfile &measured)
{
    const EngineProfile &profile = measured.profile;
    wire::ServiceProfile message;
    message.set_service(service.str());
    message.set_read_ms_per_token(static_cast<float>(profile.prefillMsPerToken));
    message.set_pairs_per_token(static_cast<float>(profile.tokensPerMillionPairs));
    message.set_step_ms(static_cast<float>(profile.decodeStepMs));
    message.set_steps_per_event(static_cast<float>(profile.decodeStepsPerEvent));
    message.set_tokens_per_step(profile.prefillTokensPerStep);
    message.set_cold_load_ms(static_cast<std::uint32_t>(profile.storeLoadTime.count()));
    message.set_warm_load_ms(static_cast<std::uint32_t>(profile.hostCacheLoadTime.count()));
    message.set_warm_adapters(static_cast<std::uint32_t>(profile.hostCachedAdapters));
    message.set_readings(measured.prefills);
    message.set_streams(measured.streams);
    message.set_pauses(measured.tokenGaps);
    message.set_loads(measured.loads);
    return message;
}

std::string_view nameOf(CommandKind kind) noexcept
{
    switch (kind) {
    case CommandKind::LoadModel:
        return "load_model";
    case CommandKind::LoadAdapter:
        return "load_adapter";
    case CommandKind::UnloadAdapter:
        return "unload_adapter";
    }
    return "unknown";
}

std::string_view nameOf(CommandOutcome outcome) noexcept
{
    switch (outcome) {
    case CommandOutcome::Accepted:
        return "accepted";
    case CommandOutcome::AlreadyHolds:
        return "already_holds";
    case CommandOutcome::Conflict:
        return "conflict";
    case CommandOutcome::Fenced:
        return "fenced";
    case CommandOutcome::Refused:
        return "refused";
    case CommandOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

EngineController::EngineController(EdgeContext &owner, VerdictHandler handler,
                                   QuarantineCheck quarantineCheck)
    : context(owner)
    , onVerdict(std::move(handler))
    , isQuarantined(std::move(quarantineCheck))
    , startedAt(monotonicNow())
{ }

void EngineController::recordRun(const ServerEntry &server)
{
    CommandState &state = this->commandStateOf(server.id);
    if (state.seenStartWallMs == server.startedAtWallMs) {
        return;
    }
    // A daemon that has just started doesn't know what came before.
    const CommandLeaseTimings timings = this->leaseTimings(nullptr);
    const bool knowsEarlierRuns = this->context.settings.fleetStarts
            || monotonicNow() - this->startedAt > timings.lease + timings.margin;
    state.isFirstRun = knowsEarlierRuns && !state.seenStartWallMs;
    state.seenStartWallMs = server.startedAtWallMs;
}

CommandLeaseTimings EngineController::leaseTimings(const EngineLimits *limits) const
{
    CommandLeaseTimings timings;
    timings.lease = this->context.settings.leaseDuration;
    timings.acquirableFrom = balsamport::acquirableFrom(this->contact, timings);
    if (limits != nullptr && limits->maxReservation) {
        CommandLeaseTimings limited = timings;
        limited.reservationLifetime
                = std::min(timings.reservationLifetime, *limits->maxReservation);
        if (reservationUse(limited) > Millis(0)) {
            return limited;
        }
    }
    return timings; // A shorter reservation permits no command and isn't requested.
}

EngineController::Term *EngineController::find(const BackendServerId &server)
{
    const auto found = this->terms.find(server);
    return found == this->terms.end() ? nullptr : found->second.get();
}

EngineController::CommandState &EngineController::commandStateOf(const BackendServerId &server)
{
    const Millis now = monotonicNow();
    if (this->commandStates.size() >= maxCommandStates) {
        this->forgetUnusedCommandStates(now);
    }
    CommandState &state = this->commandStates[server];
    state.usedAt = now;
    return state;
}

void EngineController::forgetUnusedCommandStates(Millis now)
{
    std::erase_if(this->commandStates, [this, now](const auto &entry) {
        return this->terms.count(entry.first) == 0
                && now - entry.second.usedAt > commandStateRetention;
    });
}

void EngineController::observeCommandCount(const ServerEntry &server)
{
    CommandState &state = this->commandStateOf(server.id);
    if (state.observing || state.lease.unchangedSince >= Millis(0)) {
        return;
    }
    state.observing = true;
    OutgoingRequest request = this->context.dialect.writeReportRequest(server);
    request.timeout = reportTimeout;
    request.connectTimeout = reportConnectTimeout;
    fetchOnLoop(this->context, std::move(request),
                [this, server](const Result<HttpResponse> &response) {
                    this->handleObservedReport(server, response);
                });
}

void EngineController::handleObservedReport(const ServerEntry &server,
                                            const Result<HttpResponse> &response)
{
    CommandState &state = this->commandStateOf(server.id);
    state.observing = false;
    if (state.lease.unchangedSince >= Millis(0)) {
        return;
    }
    const Result<EngineReport> report = response.has_error()
            ? response.error()
            : this->context.dialect.readReport(response.value(), BaseModelId());
    if (report.has_error()) {
        this->context.log.write(EventPriority::Notable, "engine_report_failed",
                                {{"server", server.id.str()},
                                 {"error", errorName(report.error().code)},
                                 {"detail", report.error().detail}});
        return;
    }
    this->observe(server, report.value(), monotonicNow());
    this->context.log.write(
            EventPriority::Notable, "engine_watched",
            {{"server", server.id.str()}, {"order_count", report.value().commandCount}});
}

CountObservation EngineController::observe(const ServerEntry &server, const EngineReport &report,
                                           Millis now)
{
    CommandLease &lease = this->commandStateOf(server.id).lease;
    const std::uint64_t believed = lease.commandCount;
    const std::int64_t startedAtWallMs
            = report.startedAtWallMs != 0 ? report.startedAtWallMs : server.startedAtWallMs;
    const bool held = lease.held;
    const Term *term = this->find(server.id);
    CommandLeaseTimings timings
            = this->leaseTimings(term == nullptr ? nullptr : &term->limits.engine);
    timings.isFirstRun = this->commandStateOf(server.id).isFirstRun;
    const CountObservation result = balsamport::observeCommandCount(
            lease, timings, ObservedCommandCount{startedAtWallMs, report.commandCount}, now);
    EngineArbitration &arbitration = this->commandStateOf(server.id).arbitration;
    startArbitration(arbitration, lease.engineStartedAtWallMs);
    if (result == CountObservation::Changed) {
        recordOtherHolder(arbitration);
    }
    if (result != CountObservation::Unchanged && believed != report.commandCount) {
        this->context.log.write(EventPriority::Notable, "engine_order_count",
                                {{"server", server.id.str()},
                                 {"believed", believed},
                                 {"reported", report.commandCount},
                                 {"held", held}});
    }
    if (result == CountObservation::Acquired) {
        this->context.log.write(
                EventPriority::Notable, "orders_allowed",
                {{"server", server.id.str()},
                 {"number", fencingNumberFor(lease, this->context.settings.vm).number()},
                 {"unchanged_ms", now - lease.unchangedSince},
                 {"started_at_wall_ms", startedAtWallMs},
                 {"order_count", lease.commandCount}});
    }
    return result;
}

void EngineController::applyLease(Term &term)
{
    const CommandLease &lease = this->commandStateOf(term.server.id).lease;
    const CommandLeaseTimings timings = this->leaseTimings(&term.limits.engine);
    const Millis now = monotonicNow();
    const bool needsContact = now < timings.acquirableFrom;
    term.scheduler.commandsAllowed
            = lease.held && (!needsContact || now < repeatsUntil(lease, timings));
    term.scheduler.commandsFrom
            = std::min(expectedAcquisition(lease, timings), now + longestCommandWait);
    term.scheduler.commandsUntil = commandsUntil(lease, timings);
    term.scheduler.repeatsUntil = repeatsUntil(lease, timings);
    term.scheduler.countKnownSince = lease.unchangedSince;
}

void EngineController::acquire(const ServerEntry &server, const EngineLimits &limits)
{
    auto term = std::make_unique<Term>();
    term->server = server;
    term->acquiredAt = monotonicNow();
    term->limits.engine = limits;
    this->mergeServiceProfile(server.service);
    term->limits.profile = this->services[server.service].profile;
    term->scheduler.server = server.id;
    term->scheduler.self = this->context.settings.vm;
    if (!limits.models.empty()) {
        term->scheduler.base = limits.models.front();
    }
    term->decisionTimer = this->context.loop.makeTimer();
    term->reportTimer = this->context.loop.makeTimer();
    term->reservationTimer = this->context.loop.makeTimer();
    Term &acquired = *term;
    this->terms[server.id] = std::move(term);
    this->applyLease(acquired);
    this->context.log.write(EventPriority::Notable, "engine_owned",
                            {{"server", server.id.str()},
                             {"order_count", this->commandStateOf(server.id).lease.commandCount}});
    this->requestReport(acquired);
}

void EngineController::release(const BackendServerId &server)
{
    const auto found = this->terms.find(server);
    if (found == this->terms.end()) {
        return;
    }
    this->endReservation(*found->second);
    const std::unique_ptr<Term> term = std::move(found->second);
    this->terms.erase(found);
    this->context.log.write(
            EventPriority::Notable, "engine_given_up",
            {{"server", server.str()}, {"waiting", term->scheduler.waiting.size()}});
    this->rejectWaiting(*term);
}

void EngineController::rejectWaiting(Term &term)
{
    const std::vector<EngineGrantRequest> waiting = std::move(term.scheduler.waiting);
    term.scheduler.waiting.clear();
    for (const EngineGrantRequest &request : waiting) {
        this->onVerdict(request.key, term.server.id,
                        GrantVerdict{GrantVerdict::Kind::NotOwner, {}, {}, {}, {}});
    }
}

void EngineController::update(const ServerEntry &server, const EngineLimits &limits)
{
    Term *term = this->find(server.id);
    if (term == nullptr) {
        return;
    }
    const bool restarted = term->server.startedAtWallMs != server.startedAtWallMs
            || term->server.address != server.address;
    const bool startsDraining = server.draining && !term->server.draining;
    term->server = server;
    term->limits.engine = limits;
    if (startsDraining) {
        this->rejectWaiting(*term);
    }
    if (restarted) {
        term->draining = false;
        term->scheduler.backoffUntil = Millis(-1);
        this->context.log.write(EventPriority::Notable, "engine_restarted",
                                {{"server", server.id.str()}});
        term->scheduler.slots.clear();
        term->scheduler.hostCached.clear();
        term->scheduler.synced = false;
        term->scheduler.modelLoaded = false;
        // Also if the command count is the same as before: the next report must be applied.
        term->scheduler.resyncNeeded = true;
        this->requestReport(*term);
    }
}

void EngineController::applyAvailability(const BackendServerId &server, bool draining,
                                         Millis backoff)
{
    Term *term = this->find(server);
    if (term == nullptr) {
        return;
    }
    if (draining) {
        term->draining = true;
        this->rejectWaiting(*term);
    }
    if (backoff > Millis(0)) {
        term->scheduler.backoffUntil
                = std::max(term->scheduler.backoffUntil, monotonicNow() + backoff);
    }
    this->decide(*term);
}

void EngineController::setPermitRate(const BackendServerId &server, std::optional<double> perSecond)
{
    Term *term = this->find(server);
    if (term != nullptr && balsamport::setPermitRate(term->scheduler, perSecond, monotonicNow())) {
        this->decide(*term);
    }
}

void EngineController::restartPermits()
{
    for (const auto &[id, term] : this->terms) {
        balsamport::restartPermits(term->scheduler, monotonicNow() + permitHandover);
    }
}

void EngineController::submit(const BackendServerId &server, EngineGrantRequest request)
{
    Term *term = this->find(server);
    if (term == nullptr || term->server.draining || term->draining) {
        this->onVerdict(request.key, server,
                        GrantVerdict{GrantVerdict::Kind::NotOwner, {}, {}, {}, {}});
        return;
    }
    const GrantKey key = request.key;
    if (this->isQuarantined(request)) {
        this->onVerdict(key, server, GrantVerdict{GrantVerdict::Kind::Quarantined, {}, {}, {}, {}});
        return;
    }
    const Millis now = monotonicNow();
    this->context.log.write(
            EventPriority::Routine, "place_asked",
            {{"request", request.request.str()},
             {"server", server.str()},
             {"from", key.vm.str()},
             {"adapter", request.adapter.str()},
             {"expected_wait_ms", expectedWait(term->scheduler, term->limits, request, now)},
             {"waiting", term->scheduler.waiting.size()},
             {"running", term->scheduler.running.size()},
             {"places", term->scheduler.slots.size()},
             {"orders_allowed", term->scheduler.commandsAllowed}});
    submitGrantRequest(term->scheduler, term->limits, std::move(request), now);
    this->decide(*term);
    const auto &waiting = term->scheduler.waiting;
    if (std::any_of(waiting.begin(), waiting.end(),
                    [&key](const EngineGrantRequest &other) { return other.key == key; })) {
        this->onVerdict(key, server, GrantVerdict{GrantVerdict::Kind::Queued, {}, {}, {}, {}});
    }
}

void EngineController::rejectQuarantined()
{
    for (const auto &[id, term] : this->terms) {
        std::vector<EngineGrantRequest> &waiting = term->scheduler.waiting;
        const auto firstRejected = std::stable_partition(waiting.begin(), waiting.end(),
                                                         [this](const EngineGrantRequest &request) {
                                                             return !this->isQuarantined(request);
                                                         });
        const std::vector<EngineGrantRequest> rejected(firstRejected, waiting.end());
        waiting.erase(firstRejected, waiting.end());
        for (const EngineGrantRequest &request : rejected) {
            this->onVerdict(request.key, id,
                            GrantVerdict{GrantVerdict::Kind::Quarantined, {}, {}, {}, {}});
        }
    }
}

void EngineController::updateGrant(const BackendServerId &server, const GrantKey &key,
                                   const GrantUpdate &update)
{
    Term *term = this->find(server);
    if (term == nullptr) {
        return;
    }
    const Millis now = monotonicNow();
    switch (update.event) {
    case GrantEvent::Started:
        this->addSamples(*term,
                         recordGrantStarted(term->scheduler, term->limits, key,
                                            update.timeToFirstChunk, now),
                         std::nullopt, Millis(0));
        break;
    case GrantEvent::Ended:
    case GrantEvent::Cancelled:
        this->addSamples(*term, std::nullopt, update.stream,
                         longestOverlappingPrefill(term->scheduler, key));
        recordGrantEnded(term->scheduler, key, now);
        break;
    case GrantEvent::NotReady:
        recordAdapterNotReady(term->scheduler, key, now);
        this->requestReportAfter(*term, reportLag);
        break;
    case GrantEvent::Unreachable:
        recordGrantEnded(term->scheduler, key, now);
        this->suspect(*term, "a request did not reach the engine");
        break;
    }
    this->decide(*term);
}

void EngineController::addSamples(Term &term, const std::optional<PrefillSample> &prefill,
                                  const std::optional<StreamTiming> &stream, Millis longestPrefill)
{
    ServiceMeasurements &measurements = this->services[term.server.service];
    const std::uint64_t countBefore = measurements.samples.totalCount;
    if (prefill) {
        addPrefill(measurements.samples, measurements.profile, *prefill);
    }
    if (stream) {
        addStream(measurements.samples, measurements.profile, *stream, longestPrefill);
    }
    if (measurements.samples.totalCount == countBefore
        || measurements.samples.totalCount % samplesPerEstimate != 0) {
        return;
    }
    this->mergeServiceProfile(term.server.service);
}

void EngineController::addLoad(Term &term, const FinishedLoad &load)
{
    ServiceMeasurements &measurements = this->services[term.server.service];
    const bool fromHostCache = recordLoadTime(measurements.loadTimes, load.time, load.firstPoll);
    if (load.cacheDepth) {
        measurements.loadTimes.hostCachedAdapters = updatedHostCacheSize(
                measurements.loadTimes.hostCachedAdapters, *load.cacheDepth, fromHostCache);
    }
    measurements.loadCount = std::min(measurements.loadCount + 1, maxLoadWeight);
    this->mergeServiceProfile(term.server.service);
}

MeasuredProfile EngineController::ownMeasurements(const ServiceMeasurements &measurements)
{
    MeasuredProfile measured = measureProfile(measurements.samples, measurements.profile);
    measured.profile.storeLoadTime = measurements.loadTimes.storeLoadTime;
    measured.profile.hostCacheLoadTime = measurements.loadTimes.hostCacheLoadTime;
    measured.profile.hostCachedAdapters = measurements.loadTimes.hostCachedAdapters;
    measured.loads = measurements.loadCount;
    return measured;
}

void EngineController::mergeServiceProfile(const ServiceId &service)
{
    ServiceMeasurements &measurements = this->services[service];
    const Millis now = monotonicNow();
    std::erase_if(measurements.received, [now](const auto &entry) {
        return now - entry.second.at > receivedProfileLifetime;
    });
    std::vector<MeasuredProfile> measured{ownMeasurements(measurements)};
    for (const auto &[vm, received] : measurements.received) {
        measured.push_back(received.measured);
    }
    measurements.profile = mergeProfiles(measured, measurements.profile);
    for (const auto &[id, term] : this->terms) {
        if (term->server.service == service) {
            term->limits.profile = measurements.profile;
        }
    }
    if (differsSignificantly(measurements.profile, measurements.loggedProfile)) {
        measurements.loggedProfile = measurements.profile;
        this->logProfile(service, measurements);
    }
}

void EngineController::logProfile(const ServiceId &service, const ServiceMeasurements &measurements)
{
    constexpr double thousand = 1000.0;
    const EngineProfile &profile = measurements.profile;
    this->context.log.write(
            EventPriority::Notable, "engine_profile",
            {{"service", service.str()},
             {"read_us_per_token", static_cast<std::int64_t>(profile.prefillMsPerToken * thousand)},
             {"attention_tokens_per_million_pairs",
              static_cast<std::int64_t>(profile.tokensPerMillionPairs)},
             {"step_us", static_cast<std::int64_t>(profile.decodeStepMs * thousand)},
             {"steps_per_event", static_cast<std::int64_t>(profile.decodeStepsPerEvent)},
             {"tokens_per_step", profile.prefillTokensPerStep},
             {"cold_load_ms", profile.storeLoadTime},
             {"warm_load_ms", profile.hostCacheLoadTime},
             {"warm_adapters", profile.hostCachedAdapters},
             {"own_samples", measurements.samples.totalCount},
             {"daemons", measurements.received.size() + 1}});
}

void EngineController::applyPeerProfiles(const VmId &peer, const wire::EdgeGossip &gossip)
{
    for (const wire::ServiceProfile &message : gossip.profiles()) {
        const ServiceId service(message.service());
        const MeasuredProfile measured = profileFromWire(message);
        if (!isPlausible(measured)) {
            this->context.log.write(EventPriority::Notable, "profile_ignored",
                                    {{"peer", peer.str()}, {"service", service.str()}});
            continue;
        }
        ReceivedProfile &received = this->services[service].received[peer];
        const bool changed = received.measured != measured;
        received = ReceivedProfile{measured, monotonicNow()};
        const bool owned = std::any_of(
                this->terms.begin(), this->terms.end(),
                [&service](const auto &entry) { return entry.second->server.service == service; });
        if (changed && owned) {
            this->mergeServiceProfile(service);
        }
    }
}

void EngineController::addProfiles(wire::EdgeGossip &gossip) const
{
    for (const auto &[service, measurements] : this->services) {
        if (measurements.samples.totalCount > 0 || measurements.loadCount > 0) {
            *gossip.add_profiles() = profileToWire(service, ownMeasurements(measurements));
        }
    }
}

void EngineController::suspect(Term &term, std::string_view reason)
{
    if (!term.scheduler.suspected && !term.scheduler.unreachable) {
        this->context.log.write(EventPriority::Notable, "engine_suspected",
                                {{"server", term.server.id.str()},
                                 {"reason", reason},
                                 {"waiting", term.scheduler.waiting.size()}});
    }
    markSuspected(term.scheduler);
    this->requestReport(term);
}

void EngineController::dropGrantsOf(const VmId &vm, std::uint64_t incarnation)
{
    for (const auto &[id, term] : this->terms) {
        balsamport::dropGrantsOf(term->scheduler, vm, incarnation, monotonicNow());
        this->scheduleDecision(*term);
    }
}

void EngineController::declareVersion(const AdapterDeclaration &declaration)
{
    AdapterVersion &version = this->versions[{declaration.base, declaration.adapter}];
    if (declaration.version > version) {
        version = declaration.version;
        this->context.log.write(EventPriority::Notable, "adapter_version",
                                {{"base", declaration.base.str()},
                                 {"adapter", declaration.adapter.str()},
                                 {"version", version.number()}});
    }
}

void EngineController::confirmLeases(std::string_view reason)
{
    for (auto &[id, state] : this->commandStates) {
        expireReservation(state.lease);
    }
    for (const auto &[id, term] : this->terms) {
        this->applyLease(*term);
        this->context.log.write(EventPriority::Notable, "orders_doubted",
                                {{"server", id.str()}, {"reason", reason}});
        term->reportNeeded = true;
        this->requestReport(*term);
    }
}

void EngineController::applyContact(const ContactState &state,
                                    const std::set<BackendServerId> &contested)
{
    const Millis now = monotonicNow();
    this->contact = state;
    const bool suspended = now < balsamport::acquirableFrom(state, this->leaseTimings(nullptr));
    const bool resumes = this->acquisitionSuspended && !suspended;
    if (suspended != this->acquisitionSuspended) {
        this->context.log.write(EventPriority::Notable,
                                suspended ? "acquisition_suspended" : "acquisition_resumed",
                                {{"engines", this->terms.size()}});
    }
    this->acquisitionSuspended = suspended;
    for (const auto &[id, term] : this->terms) {
        if (contested.count(id) != 0) {
            term->contestedAt = now;
        }
        if (suspended || resumes) {
            this->applyLease(*term);
        }
        if (resumes) {
            term->reportNeeded = true;
            this->requestReport(*term);
        }
    }
}

std::map<BackendServerId, double> EngineController::engineLoads(Millis now) const
{
    std::map<BackendServerId, double> loads;
    for (const auto &[server, term] : this->terms) {
        loads.emplace(server, engineLoad(term->scheduler, term->limits, now));
    }
    return loads;
}

std::size_t EngineController::waitingRequests() const
{
    std::size_t count = 0;
    for (const auto &[id, term] : this->terms) {
        count += term->scheduler.waiting.size();
    }
    return count;
}

void EngineController::decide(Term &term)
{
    const Millis now = monotonicNow();
    const std::vector<SchedulerAction> actions
            = nextSchedulerActions(term.scheduler, term.limits, this->versions, now);
    for (const SchedulerAction &action : actions) {
        this->execute(term, action, now);
    }
    this->scheduleDecision(term);
}

void EngineController::scheduleDecision(Term &term)
{
    std::optional<Millis> next = nextSchedulerCheck(term.scheduler, term.limits);
    if (term.reserveFrom > monotonicNow()) {
        next = std::min(next.value_or(term.reserveFrom), term.reserveFrom);
    }
    if (!next) {
        term.decisionTimer->cancel();
        return;
    }
    const Millis delay = std::max(*next - monotonicNow(), minTimerDelay);
    term.decisionTimer->set(delay, [this, server = term.server.id] {
        Term *current = this->find(server);
        if (current != nullptr) {
            this->decide(*current);
        }
    });
}

void EngineController::logGrant(const Term &term, const GrantAction &grant, Millis now)
{
    const EngineScheduler &scheduler = term.scheduler;
    this->context.log.write(
            EventPriority::Routine, "place_granted",
            {{"request", grant.request.str()},
             {"server", term.server.id.str()},
             {"adapter_wait_ms", grant.waits.adapter},
             {"room_wait_ms", grant.waits.capacity},
             {"turn_wait_ms", grant.waits.prefill},
             {"limit_wait_ms", grant.waits.rateLimit},
             {"prompt_tokens", grant.prefillTokens},
             {"prompts_read_in_ms", std::max(scheduler.prefillUntil - now, Millis(0))},
             {"slowness_percent", static_cast<std::int64_t>(scheduler.speed.slowdown * percent)},
             {"running", scheduler.running.size()},
             {"waiting", scheduler.waiting.size()}});
}

void EngineController::execute(Term &term, const SchedulerAction &action, Millis now)
{
    const BackendServerId server = term.server.id;
    EngineGrantRequest unheld;
    unheld.adapter = AdapterId("?"); // An adapter that no engine holds.
    if (const auto *grant = std::get_if<GrantAction>(&action)) {
        const Millis wait = expectedWait(term.scheduler, term.limits, unheld, now);
        this->logGrant(term, *grant, now);
        if (term.scheduler.permitRate) {
            this->context.metrics.counter(metric::edgePermits, "issued").add();
        }
        this->onVerdict(
                grant->key, server,
                GrantVerdict{GrantVerdict::Kind::Granted, grant->version, {}, wait, grant->demand});
    } else if (const auto *redirect = std::get_if<RedirectAction>(&action)) {
        if (redirect->rateLimited) {
            this->context.metrics.counter(metric::edgePermits, "exhausted").add();
        }
        this->onVerdict(redirect->key, server,
                        GrantVerdict{GrantVerdict::Kind::Redirected,
                                     {},
                                     {},
                                     redirect->expectedWait,
                                     redirect->demand,
                                     redirect->rateLimited});
    } else if (const auto *down = std::get_if<EngineDownAction>(&action)) {
        this->onVerdict(down->key, server,
                        GrantVerdict{GrantVerdict::Kind::EngineDown, {}, {}, {}, {}});
    } else if (const auto *refusal = std::get_if<RefuseAction>(&action)) {
        if (refusal->rateLimited) {
            this->context.metrics.counter(metric::edgePermits, "exhausted").add();
        }
        this->onVerdict(refusal->key, server,
                        GrantVerdict{GrantVerdict::Kind::Refused,
                                     {},
                                     refusal->retryAfter,
                                     {},
                                     refusal->demand,
                                     refusal->rateLimited});
    } else if (const auto *command = std::get_if<EngineCommand>(&action)) {
        this->sendCommand(term, *command);
    } else if (std::get_if<ReportAction>(&action) != nullptr) {
        term.reportNeeded = true;
        this->requestReportAfter(term, reportLag);
    } else if (std::get_if<ReserveAction>(&action) != nullptr) {
        this->reserve(term);
    }
}

void EngineController::requestReportAfter(Term &term, Millis delay)
{
    const Millis dueAt = monotonicNow() + delay;
    if (term.reportDueAt >= Millis(0) && term.reportDueAt <= dueAt) {
        return;
    }
    term.reportDueAt = dueAt;
    term.reportTimer->set(delay, [this, server = term.server.id] {
        Term *current = this->find(server);
        if (current != nullptr) {
            this->requestReport(*current);
        }
    });
}

void EngineController::requestReport(Term &term)
{
    if (term.reportRequestedAt >= Millis(0)) {
        return;
    }
    term.reportTimer->cancel();
    term.reportDueAt = Millis(-1);
    term.reportRequestedAt = monotonicNow();
    OutgoingRequest request = this->context.dialect.writeReportRequest(term.server);
    request.timeout = reportTimeout;
    request.connectTimeout = reportConnectTimeout;
    fetchOnLoop(this->context, std::move(request),
                [this, server = term.server.id](const Result<HttpResponse> &response) {
                    this->handleReport(server, response);
                });
}

void EngineController::handleReport(const BackendServerId &server,
                                    const Result<HttpResponse> &response)
{
    Term *term = this->find(server);
    if (term == nullptr) {
        return;
    }
    const Millis requestedAt = std::exchange(term->reportRequestedAt, Millis(-1));
    const Result<EngineReport> report = response.has_error()
            ? response.error()
            : this->context.dialect.readReport(response.value(), term->scheduler.base);
    if (report.has_error()) {
        if (term->failedReports++ == 0) {
            this->context.log.write(EventPriority::Notable, "engine_report_failed",
                                    {{"server", server.str()},
                                     {"error", errorName(report.error().code)},
                                     {"detail", report.error().detail}});
        }
        term->reportNeeded = true; // The engine may have restarted.
        setReachable(term->scheduler, false);
        this->decide(*term);
        this->requestReportAfter(*term, failedReportInterval);
        return;
    }
    term->failedReports = 0;
    const CommandState &state = this->commandStateOf(server);
    if (term->scheduler.suspected || term->scheduler.unreachable) {
        this->context.log.write(
                EventPriority::Notable, "engine_answers",
                {{"server", server.str()}, {"order_count", report.value().commandCount}});
        setReachable(term->scheduler, true);
        // A lower count shows that the engine has restarted meanwhile.
        term->scheduler.resyncNeeded = term->scheduler.resyncNeeded
                || report.value().commandCount < state.lease.commandCount;
    }
    const Millis now = monotonicNow();
    const bool needed = term->reportNeeded || term->scheduler.resyncNeeded
            || !term->scheduler.commandsAllowed;
    if (needed && (state.commandInProgress != 0 || now - state.answeredAt < reportLag)) {
        this->requestReportAfter(*term, reportLag);
    } else if (needed) {
        this->applyCommandCount(*term, report.value(), requestedAt, now);
    }
    this->decide(*term);
    if (term->reservation && term->reservation->state == Reservation::State::Confirmed) {
        this->endReservation(*term); // Without a command, or with one that all reports show.
    }
}

void EngineController::applyCommandCount(Term &term, const EngineReport &report, Millis requestedAt,
                                         Millis now)
{
    term.reportNeeded = false;
    term.kvTokens = report.kvTokens;
    if (this->observe(term.server, report, now) != CountObservation::Unchanged) {
        forgetCommandsInProgress(term.scheduler);
    }
    applyReport(term.scheduler, report, now);
    const CommandLease &lease = this->commandStateOf(term.server.id).lease;
    if (term.reservation
        && term.reservation->engineStartedAtWallMs != lease.engineStartedAtWallMs) {
        term.reservation.reset(); // The engine has forgotten it.
        term.reservationTimer->cancel();
    }
    if (term.reservation && term.reservation->state == Reservation::State::Granted) {
        if (term.reservation->verifying) {
            term.reportNeeded = true; // Requested again once the engine has answered.
        } else if (requestedAt >= term.reservation->grantedAt) {
            term.reservation->state = Reservation::State::Confirmed;
            confirmReservation(this->commandStateOf(term.server.id).lease,
                               term.reservation->requestedAt);
        } else {
            term.reportNeeded = true;
            this->requestReportAfter(term, term.reservation->grantedAt - now);
        }
    }
    if (term.reservation && lease.countedAt >= term.reservation->requestedAt) {
        term.reservation->unsettled = false; // The report shows that the command was counted.
    }
    this->applyLease(term);
    applyReservation(term.scheduler, term.scheduler.commandsUntil, now);
    if (!term.scheduler.commandsAllowed) {
        this->requestReportAfter(term, term.scheduler.commandsFrom - now + minTimerDelay);
    }
}

void EngineController::sendCommand(Term &term, const EngineCommand &command)
{
    CommandState &state = this->commandStateOf(term.server.id);
    const CommandStamp stamp{this->context.settings.vm,
                             fencingNumberFor(state.lease, this->context.settings.vm),
                             state.lease.commandCount};
    OutgoingRequest request = this->context.dialect.writeCommand(term.server, command, stamp);
    request.timeout = commandTimeout;
    const Millis now = monotonicNow();
    state.commandInProgress = ++this->lastCommandNumber;
    state.sentAt = now;
    const Millis permitted = command.repeated || now < term.scheduler.repeatsUntil
            ? term.scheduler.repeatsUntil
            : term.scheduler.commandsUntil;
    if (term.reservation && now >= term.scheduler.repeatsUntil) {
        term.reservation->unsettled = true;
    }
    const Millis until = std::min(permitted, now + maxCommandAge);
    fetchOnLoop(
            this->context, std::move(request),
            [this, server = term.server.id, number = state.commandInProgress,
             command](const Result<HttpResponse> &response) {
                this->handleCommandResponse(server, number, command, response);
            },
            [until] { return monotonicNow() < until; });
}

void EngineController::recordOutcome(const BackendServerId &server, const EngineCommand &command,
                                     CommandOutcome outcome)
{
    CommandState &state = this->commandStateOf(server);
    // The engine doesn't count a repeated command again.
    const bool counted = !command.repeated
            && (outcome == CommandOutcome::Accepted
                || (outcome == CommandOutcome::AlreadyHolds
                    && command.kind == CommandKind::UnloadAdapter));
    if (counted) {
        // The engine may have accepted it as equal to one of an earlier owner.
        const bool uncertain = command.mayBeUncounted && outcome == CommandOutcome::Accepted;
        recordCounted(state.lease, this->leaseTimings(nullptr), uncertain, state.sentAt);
    } else if (outcome == CommandOutcome::Unknown) {
        recordUnconfirmed(state.lease, state.sentAt);
    } else if (outcome == CommandOutcome::Fenced) {
        ++state.lease.refusedNumbers;
    }
    state.commandInProgress = 0;
    state.answeredAt = monotonicNow();
}

void EngineController::handleCommandResponse(const BackendServerId &server,
                                             std::uint64_t commandNumber,
                                             const EngineCommand &command,
                                             const Result<HttpResponse> &response)
{
    const CommandOutcome outcome = response.has_error()
            ? CommandOutcome::Unknown
            : this->context.dialect.readCommandOutcome(response.value());
    CommandState &state = this->commandStateOf(server);
    if (state.commandInProgress != commandNumber) {
        return;
    }
    this->recordOutcome(server, command, outcome);
    Term *term = this->find(server);
    if (term == nullptr) {
        return;
    }
    this->applyLease(*term);
    if (term->reservation && term->reservation->unsettled) {
        term->reservation->unsettled
                = outcome == CommandOutcome::Unknown || state.lease.uncertainAt >= Millis(0);
        term->reservation->settledAt = state.answeredAt;
        if (term->reservation->byLastHolder) {
            this->endReservation(*term);
        } else {
            this->scheduleReservationEnd(*term, state.answeredAt + reportLag + minTimerDelay);
        }
    }
    if (!term->scheduler.commandInProgress) {
        this->decide(*term); // The command was sent in an earlier term.
        return;
    }
    this->context.log.write(outcome == CommandOutcome::Accepted
                                            || outcome == CommandOutcome::AlreadyHolds
                                    ? EventPriority::Routine
                                    : EventPriority::Notable,
                            "order",
                            {{"server", server.str()},
                             {"kind", nameOf(command.kind)},
                             {"adapter", command.adapter.str()},
                             {"version", command.version.number()},
                             {"outcome", nameOf(outcome)},
                             {"status", response.has_value() ? response.value().status : 0},
                             {"order_count", state.lease.commandCount}});
    this->context.metrics.counter(metric::edgeOrders, nameOf(outcome)).add();
    const auto slot = term->scheduler.slots.find(command.adapter);
    if (command.kind == CommandKind::LoadAdapter && outcome == CommandOutcome::AlreadyHolds
        && slot != term->scheduler.slots.end()) {
        constexpr double millisPerSecond = 1000.0;
        const Millis elapsed = monotonicNow() - slot->second.loadStartedAt;
        this->context.metrics.summary(metric::edgeLoadTime)
                .observe(static_cast<double>(elapsed.count()) / millisPerSecond, monotonicNow());
    }
    const std::optional<FinishedLoad> load
            = applyCommandOutcome(term->scheduler, term->limits, outcome, monotonicNow());
    if (load) {
        this->addLoad(*term, *load);
    }
    if (response.has_error() && response.error().code == ErrorCode::ConnectFailed) {
        this->suspect(*term, "a command did not reach the engine");
    } else if (term->scheduler.resyncNeeded) {
        this->requestReportAfter(*term, reportLag);
    }
    this->decide(*term);
}

} // namespace balsamport
