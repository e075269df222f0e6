#include "engine_controller.h"

#include <balsamport/core/metric_names.h>
#include <balsamport/edge/engine_ownership.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Added to the lease, for the way of an order and the lag of reports.
constexpr Millis leaseSlack{300};
/// Reports lag by some hundred milliseconds; a count is read again after this time.
constexpr Millis reportLag{350};
constexpr Millis commandTimeout{1'500};
constexpr Millis reportTimeout{1'000};
/// An engine that takes no connection for so long is down; its owner is mostly near.
constexpr Millis reportConnectTimeout{300};
/// An order that has waited longer to be sent is not sent: the owner may have changed.
constexpr Millis maxCommandAge{500};
constexpr Millis failedReportPace{500};
constexpr Millis soonest{1};
/// Samples of a service between two estimates of its profile.
constexpr std::uint64_t samplesPerEstimate = 4;
/// Loads that count in a daemon's weight, as its estimate follows about as many.
constexpr std::uint32_t mostLoadWeight = 16;
/// What another daemon measured counts for this long after it was told.
constexpr Millis toldTime{20'000};
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
    measured.pauses = message.pauses();
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
    message.set_pauses(measured.pauses);
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

EngineController::EngineController(EdgeContext &owner, std::function<std::uint64_t()> revision,
                                   std::function<bool(const BackendServerId &, Millis)> uncontested,
                                   VerdictHandler handler)
    : context(owner)
    , contentRevision(std::move(revision))
    , isUncontested(std::move(uncontested))
    , onVerdict(std::move(handler))
{ }

EngineController::Term *EngineController::find(const BackendServerId &server)
{
    const auto found = this->terms.find(server);
    return found == this->terms.end() ? nullptr : found->second.get();
}

void EngineController::observeCommandCount(const ServerEntry &server)
{
    if (!this->observed.emplace(server.id, ObservedCount{}).second) {
        return;
    }
    OutgoingRequest request = this->context.dialect.writeReportRequest(server);
    request.timeout = reportTimeout;
    request.connectTimeout = reportConnectTimeout;
    fetchOnLoop(this->context, std::move(request),
                [this, server = server.id](const Result<HttpResponse> &answer) {
                    this->handleObservedReport(server, answer);
                });
}

void EngineController::handleObservedReport(const BackendServerId &server,
                                            const Result<HttpResponse> &answer)
{
    const auto found = this->observed.find(server);
    if (found == this->observed.end() || found->second.seenAt >= Millis(0)) {
        return;
    }
    const Result<EngineReport> report = answer.has_error()
            ? answer.error()
            : this->context.dialect.readReport(answer.value(), BaseModelId());
    if (report.has_error()) {
        this->context.log.write(EventWeight::Notable, "engine_report_failed",
                                {{"server", server.str()},
                                 {"error", errorName(report.error().code)},
                                 {"detail", report.error().detail}});
        this->observed.erase(found);
        return;
    }
    found->second = ObservedCount{report.value().commandCount, monotonicNow()};
    this->context.log.write(
            EventWeight::Notable, "engine_watched",
            {{"server", server.str()}, {"order_count", report.value().commandCount}});
}

void EngineController::acquire(const ServerEntry &server, const EngineLimits &limits)
{
    auto term = std::make_unique<Term>();
    term->server = server;
    term->limits.engine = limits;
    this->joinService(server.service);
    term->limits.profile = this->learnt[server.service].profile;
    term->places.server = server.id;
    if (!limits.models.empty()) {
        term->places.base = limits.models.front();
    }
    term->timer = this->context.loop.makeTimer();
    term->reportTimer = this->context.loop.makeTimer();
    const auto count = this->observed.find(server.id);
    if (count != this->observed.end()) {
        term->commandCount = count->second.commandCount;
        term->countSeenAt = count->second.seenAt;
        this->observed.erase(count);
    }
    Term &held = *term;
    this->terms[server.id] = std::move(term);
    this->context.log.write(EventWeight::Notable, "engine_owned",
                            {{"server", server.id.str()}, {"revision", this->contentRevision()}});
    this->readReport(held);
}

void EngineController::release(const BackendServerId &server)
{
    const auto found = this->terms.find(server);
    if (found == this->terms.end()) {
        return;
    }
    const std::unique_ptr<Term> term = std::move(found->second);
    this->terms.erase(found);
    this->context.log.write(EventWeight::Notable, "engine_given_up",
                            {{"server", server.str()}, {"waiting", term->places.waiting.size()}});
    this->sendWaitingAway(*term);
}

void EngineController::sendWaitingAway(Term &term)
{
    const std::vector<EngineGrantRequest> waiting = std::move(term.places.waiting);
    term.places.waiting.clear();
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
    const bool leaves = server.draining && !term->server.draining;
    term->server = server;
    term->limits.engine = limits;
    if (leaves) {
        this->sendWaitingAway(*term);
    }
    if (restarted) {
        term->leaving = false;
        term->places.backoffUntil = Millis(-1);
        this->context.log.write(EventWeight::Notable, "engine_restarted",
                                {{"server", server.id.str()}});
        term->places.places.clear();
        term->places.warm.clear();
        term->places.synced = false;
        term->places.modelLoaded = false;
        this->readReport(*term);
    }
}

void EngineController::applyAvailability(const BackendServerId &server, bool leaving, Millis pause)
{
    Term *term = this->find(server);
    if (term == nullptr) {
        return;
    }
    if (leaving) {
        term->leaving = true;
        this->sendWaitingAway(*term);
    }
    if (pause > Millis(0)) {
        term->places.backoffUntil = std::max(term->places.backoffUntil, monotonicNow() + pause);
    }
    this->decide(*term);
}

void EngineController::submit(const BackendServerId &server, EngineGrantRequest request)
{
    Term *term = this->find(server);
    if (term == nullptr || term->server.draining || term->leaving) {
        this->onVerdict(request.key, server,
                        GrantVerdict{GrantVerdict::Kind::NotOwner, {}, {}, {}, {}});
        return;
    }
    const GrantKey key = request.key;
    const Millis now = monotonicNow();
    this->context.log.write(
            EventWeight::Routine, "place_asked",
            {{"request", request.request.str()},
             {"server", server.str()},
             {"from", key.vm.str()},
             {"adapter", request.adapter.str()},
             {"expected_wait_ms", expectedWait(term->places, term->limits, request, now)},
             {"waiting", term->places.waiting.size()},
             {"running", term->places.running.size()},
             {"places", term->places.places.size()},
             {"orders_allowed", term->places.commandsAllowed}});
    submitGrantRequest(term->places, term->limits, std::move(request), now);
    this->decide(*term);
    const auto &waiting = term->places.waiting;
    if (std::any_of(waiting.begin(), waiting.end(),
                    [&key](const EngineGrantRequest &other) { return other.key == key; })) {
        this->onVerdict(key, server, GrantVerdict{GrantVerdict::Kind::Queued, {}, {}, {}, {}});
    }
}

void EngineController::updateGrant(const BackendServerId &server, const GrantKey &key,
                                   const GrantUpdate &note)
{
    Term *term = this->find(server);
    if (term == nullptr) {
        return;
    }
    const Millis now = monotonicNow();
    switch (note.event) {
    case GrantEvent::Started:
        this->learnFrom(*term,
                        recordGrantStarted(term->places, term->limits, key, note.firstPiece, now),
                        std::nullopt, Millis(0));
        break;
    case GrantEvent::Ended:
    case GrantEvent::Cancelled:
        this->learnFrom(*term, std::nullopt, note.stream,
                        longestOverlappingPrefill(term->places, key));
        recordGrantEnded(term->places, key, now);
        break;
    case GrantEvent::NotReady:
        recordAdapterNotReady(term->places, key, now);
        this->reportAfter(*term, reportLag);
        break;
    case GrantEvent::Unreachable:
        recordGrantEnded(term->places, key, now);
        this->suspect(*term, "a request did not reach it");
        break;
    }
    this->decide(*term);
}

void EngineController::learnFrom(Term &term, const std::optional<PrefillSample> &reading,
                                 const std::optional<StreamTiming> &stream, Millis longestPrefill)
{
    ServiceLearning &learning = this->learnt[term.server.service];
    const std::uint64_t before = learning.samples.taken;
    if (reading) {
        addPrefill(learning.samples, learning.profile, *reading);
    }
    if (stream) {
        addStream(learning.samples, learning.profile, *stream, longestPrefill);
    }
    if (learning.samples.taken == before || learning.samples.taken % samplesPerEstimate != 0) {
        return;
    }
    this->joinService(term.server.service);
}

void EngineController::learnLoad(Term &term, const FinishedLoad &load)
{
    ServiceLearning &learning = this->learnt[term.server.service];
    const bool warm = recordLoadTime(learning.loads, load.time, load.firstPoll);
    if (load.depth) {
        learning.loads.hostCachedAdapters
                = updatedHostCacheSize(learning.loads.hostCachedAdapters, *load.depth, warm);
    }
    learning.loadCount = std::min(learning.loadCount + 1, mostLoadWeight);
    this->joinService(term.server.service);
}

MeasuredProfile EngineController::measuredBy(const ServiceLearning &learning)
{
    MeasuredProfile measured = measureProfile(learning.samples, learning.profile);
    measured.profile.storeLoadTime = learning.loads.storeLoadTime;
    measured.profile.hostCacheLoadTime = learning.loads.hostCacheLoadTime;
    measured.profile.hostCachedAdapters = learning.loads.hostCachedAdapters;
    measured.loads = learning.loadCount;
    return measured;
}

void EngineController::joinService(const ServiceId &service)
{
    ServiceLearning &learning = this->learnt[service];
    const Millis now = monotonicNow();
    std::erase_if(learning.told,
                  [now](const auto &entry) { return now - entry.second.at > toldTime; });
    std::vector<MeasuredProfile> measured{measuredBy(learning)};
    for (const auto &[vm, told] : learning.told) {
        measured.push_back(told.measured);
    }
    learning.profile = mergeProfiles(measured, learning.profile);
    for (const auto &[id, term] : this->terms) {
        if (term->server.service == service) {
            term->limits.profile = learning.profile;
        }
    }
    if (differsSignificantly(learning.profile, learning.logged)) {
        learning.logged = learning.profile;
        this->logProfile(service, learning);
    }
}

void EngineController::logProfile(const ServiceId &service, const ServiceLearning &learning)
{
    constexpr double thousand = 1000.0;
    const EngineProfile &profile = learning.profile;
    this->context.log.write(
            EventWeight::Notable, "engine_profile",
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
             {"own_samples", learning.samples.taken},
             {"daemons", learning.told.size() + 1}});
}

void EngineController::applyPeerProfiles(const VmId &peer, const wire::EdgeGossip &gossip)
{
    for (const wire::ServiceProfile &message : gossip.profiles()) {
        const ServiceId service(message.service());
        const MeasuredProfile measured = profileFromWire(message);
        if (!isPlausible(measured)) {
            this->context.log.write(EventWeight::Notable, "profile_ignored",
                                    {{"peer", peer.str()}, {"service", service.str()}});
            continue;
        }
        ToldProfile &told = this->learnt[service].told[peer];
        const bool changed = told.measured != measured;
        told = ToldProfile{measured, monotonicNow()};
        const bool owned = std::any_of(
                this->terms.begin(), this->terms.end(),
                [&service](const auto &entry) { return entry.second->server.service == service; });
        if (changed && owned) {
            this->joinService(service);
        }
    }
}

void EngineController::addProfiles(wire::EdgeGossip &gossip) const
{
    for (const auto &[service, learning] : this->learnt) {
        if (learning.samples.taken > 0 || learning.loadCount > 0) {
            *gossip.add_profiles() = profileToWire(service, measuredBy(learning));
        }
    }
}

void EngineController::suspect(Term &term, std::string_view reason)
{
    if (!term.places.suspected && !term.places.unreachable) {
        this->context.log.write(EventWeight::Notable, "engine_suspected",
                                {{"server", term.server.id.str()},
                                 {"reason", reason},
                                 {"waiting", term.places.waiting.size()}});
    }
    markSuspected(term.places);
    this->readReport(term);
}

void EngineController::dropGrantsOf(const VmId &vm, std::uint64_t incarnation)
{
    for (const auto &[id, term] : this->terms) {
        balsamport::dropGrantsOf(term->places, vm, incarnation, monotonicNow());
        this->decideSoon(*term);
    }
}

void EngineController::declareVersion(const AdapterDeclaration &declaration)
{
    AdapterVersion &version = this->versions[{declaration.base, declaration.adapter}];
    if (declaration.version > version) {
        version = declaration.version;
        this->context.log.write(EventWeight::Notable, "adapter_version",
                                {{"base", declaration.base.str()},
                                 {"adapter", declaration.adapter.str()},
                                 {"version", version.number()}});
    }
}

void EngineController::suspendCommands(std::string_view reason)
{
    this->observed.clear();
    for (const auto &[id, term] : this->terms) {
        term->places.commandsAllowed = false;
        term->countSeenAt = Millis(-1);
        this->context.log.write(EventWeight::Notable, "orders_doubted",
                                {{"server", id.str()}, {"reason", reason}});
        this->readReport(*term);
    }
}

std::size_t EngineController::waitingRequests() const
{
    std::size_t count = 0;
    for (const auto &[id, term] : this->terms) {
        count += term->places.waiting.size();
    }
    return count;
}

void EngineController::decide(Term &term)
{
    const Millis now = monotonicNow();
    const std::vector<SchedulerAction> actions
            = nextSchedulerActions(term.places, term.limits, this->versions, now);
    for (const SchedulerAction &action : actions) {
        this->tell(term, action, now);
    }
    this->decideSoon(term);
}

void EngineController::decideSoon(Term &term)
{
    const std::optional<Millis> next = nextSchedulerCheck(term.places, term.limits);
    if (!next) {
        term.timer->cancel();
        return;
    }
    const Millis delay = std::max(*next - monotonicNow(), soonest);
    term.timer->set(delay, [this, server = term.server.id] {
        Term *held = this->find(server);
        if (held != nullptr) {
            this->decide(*held);
        }
    });
}

void EngineController::logGrant(const Term &term, const GrantAction &grant, Millis now)
{
    const EngineScheduler &places = term.places;
    this->context.log.write(
            EventWeight::Routine, "place_granted",
            {{"request", grant.request.str()},
             {"server", term.server.id.str()},
             {"adapter_wait_ms", grant.waits.adapter},
             {"room_wait_ms", grant.waits.room},
             {"turn_wait_ms", grant.waits.turn},
             {"prompt_tokens", grant.promptTokens},
             {"prompts_read_in_ms", std::max(places.prefillUntil - now, Millis(0))},
             {"slowness_percent", static_cast<std::int64_t>(places.pace.slowdown * percent)},
             {"running", places.running.size()},
             {"waiting", places.waiting.size()}});
}

void EngineController::tell(Term &term, const SchedulerAction &action, Millis now)
{
    const BackendServerId server = term.server.id;
    EngineGrantRequest fresh;
    fresh.adapter = AdapterId("?"); // One that is held nowhere.
    if (const auto *grant = std::get_if<GrantAction>(&action)) {
        const Millis wait = expectedWait(term.places, term.limits, fresh, now);
        this->logGrant(term, *grant, now);
        this->onVerdict(
                grant->key, server,
                GrantVerdict{GrantVerdict::Kind::Granted, grant->version, {}, wait, grant->demand});
    } else if (const auto *elsewhere = std::get_if<RedirectAction>(&action)) {
        this->onVerdict(elsewhere->key, server,
                        GrantVerdict{GrantVerdict::Kind::Redirected,
                                     {},
                                     {},
                                     elsewhere->wait,
                                     elsewhere->demand});
    } else if (const auto *down = std::get_if<EngineDown>(&action)) {
        this->onVerdict(down->key, server,
                        GrantVerdict{GrantVerdict::Kind::EngineDown, {}, {}, {}, {}});
    } else if (const auto *refusal = std::get_if<RefuseAction>(&action)) {
        this->onVerdict(
                refusal->key, server,
                GrantVerdict{
                        GrantVerdict::Kind::Refused, {}, refusal->retryAfter, {}, refusal->demand});
    } else if (const auto *command = std::get_if<EngineCommand>(&action)) {
        this->sendCommand(term, *command);
    }
}

void EngineController::reportAfter(Term &term, Millis delay)
{
    term.reportTimer->set(delay, [this, server = term.server.id] {
        Term *held = this->find(server);
        if (held != nullptr) {
            this->readReport(*held);
        }
    });
}

void EngineController::readReport(Term &term)
{
    if (term.reading) {
        return;
    }
    term.reading = true;
    OutgoingRequest request = this->context.dialect.writeReportRequest(term.server);
    request.timeout = reportTimeout;
    request.connectTimeout = reportConnectTimeout;
    fetchOnLoop(this->context, std::move(request),
                [this, server = term.server.id](const Result<HttpResponse> &answer) {
                    this->takeReport(server, answer);
                });
}

void EngineController::takeReport(const BackendServerId &server, const Result<HttpResponse> &answer)
{
    Term *term = this->find(server);
    if (term == nullptr) {
        return;
    }
    term->reading = false;
    const Result<EngineReport> report = answer.has_error()
            ? answer.error()
            : this->context.dialect.readReport(answer.value(), term->places.base);
    if (report.has_error()) {
        if (term->failedReports++ == 0) {
            this->context.log.write(EventWeight::Notable, "engine_report_failed",
                                    {{"server", server.str()},
                                     {"error", errorName(report.error().code)},
                                     {"detail", report.error().detail}});
        }
        setReachable(term->places, false);
        this->decide(*term);
        this->reportAfter(*term, failedReportPace);
        return;
    }
    term->failedReports = 0;
    if (term->places.suspected || term->places.unreachable) {
        this->context.log.write(
                EventWeight::Notable, "engine_answers",
                {{"server", server.str()}, {"order_count", report.value().commandCount}});
        setReachable(term->places, true);
        // It may have started again meanwhile.
        term->places.resyncWanted
                = term->places.resyncWanted || report.value().commandCount < term->commandCount;
    }
    const Millis now = monotonicNow();
    const bool wanted = term->places.resyncWanted || !term->places.commandsAllowed;
    if (wanted && (term->places.commandInProgress || now - term->lastCommandAt < reportLag)) {
        this->reportAfter(*term, reportLag);
    } else if (wanted) {
        this->checkCount(*term, report.value(), now);
    }
    this->decide(*term);
}

void EngineController::checkCount(Term &term, const EngineReport &report, Millis now)
{
    applyReport(term.places, report, now);
    if (term.places.commandsAllowed && report.commandCount == term.commandCount) {
        return;
    }
    // An order without an answer may have been accepted; it was this daemon's own.
    if (term.places.commandsAllowed && term.lastCommandUnconfirmed
        && report.commandCount == term.commandCount + 1) {
        term.commandCount = report.commandCount;
        term.lastCommandUnconfirmed = false;
        return;
    }
    if (term.countSeenAt < Millis(0) || report.commandCount != term.commandCount) {
        this->context.log.write(EventWeight::Notable, "engine_order_count",
                                {{"server", term.server.id.str()},
                                 {"believed", term.commandCount},
                                 {"reported", report.commandCount}});
        term.places.commandsAllowed = false;
        term.commandCount = report.commandCount;
        term.countSeenAt = now;
    }
    const Millis quiet = this->context.settings.leaseTime + leaseSlack;
    term.places.commandsFrom = term.countSeenAt + quiet;
    const bool uncontested = this->isUncontested(term.server.id, quiet);
    if (!uncontested && now - term.countSeenAt < quiet) {
        this->reportAfter(term, quiet - (now - term.countSeenAt) + soonest);
        return;
    }
    term.places.commandsAllowed = true;
    term.number = fencingNumberFor(this->contentRevision(), term.commandCount,
                                   this->context.settings.vm);
    this->context.log.write(EventWeight::Notable, "orders_allowed",
                            {{"server", term.server.id.str()},
                             {"number", term.number.number()},
                             {"uncontested", uncontested},
                             {"order_count", term.commandCount}});
}

void EngineController::sendCommand(Term &term, const EngineCommand &command)
{
    const CommandStamp stamp{this->context.settings.vm, term.number, term.commandCount};
    OutgoingRequest request = this->context.dialect.writeCommand(term.server, command, stamp);
    request.timeout = commandTimeout;
    const Millis decidedAt = monotonicNow();
    fetchOnLoop(
            this->context, std::move(request),
            [this, server = term.server.id, number = term.number,
             command](const Result<HttpResponse> &answer) {
                this->handleCommandResponse(server, number, command, answer);
            },
            [decidedAt] { return monotonicNow() - decidedAt < maxCommandAge; });
}

void EngineController::handleCommandResponse(const BackendServerId &server, FencingNumber number,
                                             const EngineCommand &command,
                                             const Result<HttpResponse> &answer)
{
    Term *term = this->find(server);
    if (term == nullptr || term->number != number) {
        return;
    }
    const CommandOutcome outcome = answer.has_error()
            ? CommandOutcome::Unknown
            : this->context.dialect.readCommandOutcome(answer.value());
    // A repeated order for what is already under way does not count again.
    const bool counted = !command.repeated
            && (outcome == CommandOutcome::Accepted
                || (outcome == CommandOutcome::AlreadyHolds
                    && command.kind == CommandKind::UnloadAdapter));
    term->commandCount += counted ? 1 : 0;
    term->lastCommandAt = monotonicNow();
    term->lastCommandUnconfirmed = outcome == CommandOutcome::Unknown;
    this->context.log.write(outcome == CommandOutcome::Accepted
                                            || outcome == CommandOutcome::AlreadyHolds
                                    ? EventWeight::Routine
                                    : EventWeight::Notable,
                            "order",
                            {{"server", server.str()},
                             {"kind", nameOf(command.kind)},
                             {"adapter", command.adapter.str()},
                             {"version", command.version.number()},
                             {"outcome", nameOf(outcome)},
                             {"status", answer.has_value() ? answer.value().status : 0},
                             {"order_count", term->commandCount}});
    this->context.metrics.counter(metric::edgeOrders, nameOf(outcome)).add();
    const auto place = term->places.places.find(command.adapter);
    if (command.kind == CommandKind::LoadAdapter && outcome == CommandOutcome::AlreadyHolds
        && place != term->places.places.end()) {
        constexpr double millisPerSecond = 1000.0;
        const Millis took = monotonicNow() - place->second.loadStartedAt;
        this->context.metrics.summary(metric::edgeLoadTime)
                .observe(static_cast<double>(took.count()) / millisPerSecond, monotonicNow());
    }
    const std::optional<FinishedLoad> load
            = applyCommandOutcome(term->places, term->limits, outcome, monotonicNow());
    if (load) {
        this->learnLoad(*term, *load);
    }
    if (answer.has_error() && answer.error().code == ErrorCode::ConnectFailed) {
        this->suspect(*term, "an order did not reach it");
    } else if (term->places.resyncWanted) {
        this->reportAfter(*term, reportLag);
    }
    this->decide(*term);
}

} // namespace balsamport
