#include "engine_controller.h"

#include <balsamport/core/metric_names.h>
#include <balsamport/edge/order_ownership.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Added to the lease, for the way of an order and the lag of reports.
constexpr Millis leaseSlack{300};
/// Reports lag by some hundred milliseconds; a count is read again after this time.
constexpr Millis reportLag{350};
constexpr Millis orderTimeout{1'500};
constexpr Millis reportTimeout{1'000};
/// An engine that takes no connection for so long is down; its owner is mostly near.
constexpr Millis reportConnectTimeout{300};
/// An order that has waited longer to be sent is not sent: the owner may have changed.
constexpr Millis orderFreshness{500};
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
    profile.readMsPerToken = message.read_ms_per_token();
    profile.pairsPerToken = message.pairs_per_token();
    profile.stepMs = message.step_ms();
    profile.stepsPerEvent = message.steps_per_event();
    profile.tokensPerStep = message.tokens_per_step();
    profile.coldLoad = Millis(message.cold_load_ms());
    profile.warmLoad = Millis(message.warm_load_ms());
    profile.warmAdapters = message.warm_adapters();
    measured.readings = message.readings();
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
    message.set_read_ms_per_token(static_cast<float>(profile.readMsPerToken));
    message.set_pairs_per_token(static_cast<float>(profile.pairsPerToken));
    message.set_step_ms(static_cast<float>(profile.stepMs));
    message.set_steps_per_event(static_cast<float>(profile.stepsPerEvent));
    message.set_tokens_per_step(profile.tokensPerStep);
    message.set_cold_load_ms(static_cast<std::uint32_t>(profile.coldLoad.count()));
    message.set_warm_load_ms(static_cast<std::uint32_t>(profile.warmLoad.count()));
    message.set_warm_adapters(static_cast<std::uint32_t>(profile.warmAdapters));
    message.set_readings(measured.readings);
    message.set_streams(measured.streams);
    message.set_pauses(measured.pauses);
    message.set_loads(measured.loads);
    return message;
}

std::string_view nameOf(OrderKind kind) noexcept
{
    switch (kind) {
    case OrderKind::LoadModel:
        return "load_model";
    case OrderKind::LoadAdapter:
        return "load_adapter";
    case OrderKind::UnloadAdapter:
        return "unload_adapter";
    }
    return "unknown";
}

std::string_view nameOf(OrderOutcome outcome) noexcept
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::AlreadyHolds:
        return "already_holds";
    case OrderOutcome::Conflict:
        return "conflict";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Unknown:
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

void EngineController::watch(const ServerEntry &server)
{
    if (!this->watched.emplace(server.id, WatchedCount{}).second) {
        return;
    }
    OutgoingRequest request = this->context.dialect.writeReportRequest(server);
    request.timeout = reportTimeout;
    request.connectTimeout = reportConnectTimeout;
    fetchOnLoop(this->context, std::move(request),
                [this, server = server.id](const Result<HttpAnswer> &answer) {
                    this->takeWatched(server, answer);
                });
}

void EngineController::takeWatched(const BackendServerId &server, const Result<HttpAnswer> &answer)
{
    const auto found = this->watched.find(server);
    if (found == this->watched.end() || found->second.seenAt >= Millis(0)) {
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
        this->watched.erase(found);
        return;
    }
    found->second = WatchedCount{report.value().orderCount, monotonicNow()};
    this->context.log.write(EventWeight::Notable, "engine_watched",
                            {{"server", server.str()}, {"order_count", report.value().orderCount}});
}

void EngineController::gain(const ServerEntry &server, const EngineLimits &limits)
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
    const auto count = this->watched.find(server.id);
    if (count != this->watched.end()) {
        term->orderCount = count->second.orderCount;
        term->countSeenAt = count->second.seenAt;
        this->watched.erase(count);
    }
    Term &held = *term;
    this->terms[server.id] = std::move(term);
    this->context.log.write(EventWeight::Notable, "engine_owned",
                            {{"server", server.id.str()}, {"revision", this->contentRevision()}});
    this->readReport(held);
}

void EngineController::lose(const BackendServerId &server)
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
    const std::vector<PlaceRequest> waiting = std::move(term.places.waiting);
    term.places.waiting.clear();
    for (const PlaceRequest &request : waiting) {
        this->onVerdict(request.key, term.server.id,
                        PlaceVerdict{PlaceVerdict::Kind::NotOwner, {}, {}, {}, {}});
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
        term->places.pausedUntil = Millis(-1);
        this->context.log.write(EventWeight::Notable, "engine_restarted",
                                {{"server", server.id.str()}});
        term->places.places.clear();
        term->places.warm.clear();
        term->places.synced = false;
        term->places.modelLoaded = false;
        this->readReport(*term);
    }
}

void EngineController::heed(const BackendServerId &server, bool leaving, Millis pause)
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
        term->places.pausedUntil = std::max(term->places.pausedUntil, monotonicNow() + pause);
    }
    this->decide(*term);
}

void EngineController::submit(const BackendServerId &server, PlaceRequest request)
{
    Term *term = this->find(server);
    if (term == nullptr || term->server.draining || term->leaving) {
        this->onVerdict(request.key, server,
                        PlaceVerdict{PlaceVerdict::Kind::NotOwner, {}, {}, {}, {}});
        return;
    }
    const PlaceKey key = request.key;
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
             {"orders_allowed", term->places.ordersAllowed}});
    submitPlaceRequest(term->places, term->limits, std::move(request), now);
    this->decide(*term);
    const auto &waiting = term->places.waiting;
    if (std::any_of(waiting.begin(), waiting.end(),
                    [&key](const PlaceRequest &other) { return other.key == key; })) {
        this->onVerdict(key, server, PlaceVerdict{PlaceVerdict::Kind::Queued, {}, {}, {}, {}});
    }
}

void EngineController::notePlace(const BackendServerId &server, const PlaceKey &key,
                                 const PlaceNote &note)
{
    Term *term = this->find(server);
    if (term == nullptr) {
        return;
    }
    const Millis now = monotonicNow();
    switch (note.event) {
    case PlaceEvent::Started:
        this->learnFrom(*term,
                        notePlaceStarted(term->places, term->limits, key, note.firstPiece, now),
                        std::nullopt, Millis(0));
        break;
    case PlaceEvent::Ended:
    case PlaceEvent::Cancelled:
        this->learnFrom(*term, std::nullopt, note.stream, longestReadingBeside(term->places, key));
        notePlaceEnded(term->places, key, now);
        break;
    case PlaceEvent::NotReady:
        notePlaceNotReady(term->places, key, now);
        this->reportAfter(*term, reportLag);
        break;
    case PlaceEvent::Unreachable:
        notePlaceEnded(term->places, key, now);
        this->suspect(*term, "a request did not reach it");
        break;
    }
    this->decide(*term);
}

void EngineController::learnFrom(Term &term, const std::optional<ReadingSample> &reading,
                                 const std::optional<StreamPace> &stream, Millis longestReading)
{
    ServiceLearning &learning = this->learnt[term.server.service];
    const std::uint64_t before = learning.samples.taken;
    if (reading) {
        addReading(learning.samples, learning.profile, *reading);
    }
    if (stream) {
        addStream(learning.samples, learning.profile, *stream, longestReading);
    }
    if (learning.samples.taken == before || learning.samples.taken % samplesPerEstimate != 0) {
        return;
    }
    this->joinService(term.server.service);
}

void EngineController::learnLoad(Term &term, const FinishedLoad &load)
{
    ServiceLearning &learning = this->learnt[term.server.service];
    const bool warm = noteLoadTime(learning.loads, load.time, load.firstLook);
    if (load.depth) {
        learning.loads.warmAdapters
                = warmBoundAfter(learning.loads.warmAdapters, *load.depth, warm);
    }
    learning.loadCount = std::min(learning.loadCount + 1, mostLoadWeight);
    this->joinService(term.server.service);
}

MeasuredProfile EngineController::measuredBy(const ServiceLearning &learning)
{
    MeasuredProfile measured = measureProfile(learning.samples, learning.profile);
    measured.profile.coldLoad = learning.loads.coldLoad;
    measured.profile.warmLoad = learning.loads.warmLoad;
    measured.profile.warmAdapters = learning.loads.warmAdapters;
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
    learning.profile = joinProfiles(measured, learning.profile);
    for (const auto &[id, term] : this->terms) {
        if (term->server.service == service) {
            term->limits.profile = learning.profile;
        }
    }
    if (differsMuch(learning.profile, learning.logged)) {
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
             {"read_us_per_token", static_cast<std::int64_t>(profile.readMsPerToken * thousand)},
             {"attention_tokens_per_million_pairs",
              static_cast<std::int64_t>(profile.pairsPerToken)},
             {"step_us", static_cast<std::int64_t>(profile.stepMs * thousand)},
             {"steps_per_event", static_cast<std::int64_t>(profile.stepsPerEvent)},
             {"tokens_per_step", profile.tokensPerStep},
             {"cold_load_ms", profile.coldLoad},
             {"warm_load_ms", profile.warmLoad},
             {"warm_adapters", profile.warmAdapters},
             {"own_samples", learning.samples.taken},
             {"daemons", learning.told.size() + 1}});
}

void EngineController::takeProfiles(const VmId &peer, const wire::EdgeGossip &gossip)
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
    noteSuspected(term.places);
    this->readReport(term);
}

void EngineController::dropPlacesOf(const VmId &vm, std::uint64_t incarnation)
{
    for (const auto &[id, term] : this->terms) {
        balsamport::dropPlacesOf(term->places, vm, incarnation, monotonicNow());
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

void EngineController::doubt(std::string_view reason)
{
    this->watched.clear();
    for (const auto &[id, term] : this->terms) {
        term->places.ordersAllowed = false;
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
    const std::vector<PlaceAction> actions
            = nextPlaceActions(term.places, term.limits, this->versions, now);
    for (const PlaceAction &action : actions) {
        this->tell(term, action, now);
    }
    this->decideSoon(term);
}

void EngineController::decideSoon(Term &term)
{
    const std::optional<Millis> next = nextPlaceCheck(term.places, term.limits);
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

void EngineController::logGrant(const Term &term, const GrantPlace &grant, Millis now)
{
    const EnginePlaces &places = term.places;
    this->context.log.write(
            EventWeight::Routine, "place_granted",
            {{"request", grant.request.str()},
             {"server", term.server.id.str()},
             {"adapter_wait_ms", grant.waits.adapter},
             {"room_wait_ms", grant.waits.room},
             {"turn_wait_ms", grant.waits.turn},
             {"prompt_tokens", grant.promptTokens},
             {"prompts_read_in_ms", std::max(places.prefillUntil - now, Millis(0))},
             {"slowness_percent", static_cast<std::int64_t>(places.pace.slowness * percent)},
             {"running", places.running.size()},
             {"waiting", places.waiting.size()}});
}

void EngineController::tell(Term &term, const PlaceAction &action, Millis now)
{
    const BackendServerId server = term.server.id;
    PlaceRequest fresh;
    fresh.adapter = AdapterId("?"); // One that is held nowhere.
    if (const auto *grant = std::get_if<GrantPlace>(&action)) {
        const Millis wait = expectedWait(term.places, term.limits, fresh, now);
        this->logGrant(term, *grant, now);
        this->onVerdict(
                grant->key, server,
                PlaceVerdict{PlaceVerdict::Kind::Granted, grant->version, {}, wait, grant->demand});
    } else if (const auto *elsewhere = std::get_if<SendElsewhere>(&action)) {
        this->onVerdict(
                elsewhere->key, server,
                PlaceVerdict{
                        PlaceVerdict::Kind::Elsewhere, {}, {}, elsewhere->wait, elsewhere->demand});
    } else if (const auto *down = std::get_if<EngineDown>(&action)) {
        this->onVerdict(down->key, server,
                        PlaceVerdict{PlaceVerdict::Kind::EngineDown, {}, {}, {}, {}});
    } else if (const auto *refusal = std::get_if<RefusePlace>(&action)) {
        this->onVerdict(
                refusal->key, server,
                PlaceVerdict{
                        PlaceVerdict::Kind::Refused, {}, refusal->retryAfter, {}, refusal->demand});
    } else if (const auto *order = std::get_if<EngineOrder>(&action)) {
        this->giveOrder(term, *order);
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
                [this, server = term.server.id](const Result<HttpAnswer> &answer) {
                    this->takeReport(server, answer);
                });
}

void EngineController::takeReport(const BackendServerId &server, const Result<HttpAnswer> &answer)
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
        noteReachable(term->places, false);
        this->decide(*term);
        this->reportAfter(*term, failedReportPace);
        return;
    }
    term->failedReports = 0;
    if (term->places.suspected || term->places.unreachable) {
        this->context.log.write(
                EventWeight::Notable, "engine_answers",
                {{"server", server.str()}, {"order_count", report.value().orderCount}});
        noteReachable(term->places, true);
        // It may have started again meanwhile.
        term->places.resyncWanted
                = term->places.resyncWanted || report.value().orderCount < term->orderCount;
    }
    const Millis now = monotonicNow();
    const bool wanted = term->places.resyncWanted || !term->places.ordersAllowed;
    if (wanted && (term->places.orderInProgress || now - term->orderedAt < reportLag)) {
        this->reportAfter(*term, reportLag);
    } else if (wanted) {
        this->checkCount(*term, report.value(), now);
    }
    this->decide(*term);
}

void EngineController::checkCount(Term &term, const EngineReport &report, Millis now)
{
    applyReport(term.places, report, now);
    if (term.places.ordersAllowed && report.orderCount == term.orderCount) {
        return;
    }
    // An order without an answer may have been accepted; it was this daemon's own.
    if (term.places.ordersAllowed && term.lostOrder && report.orderCount == term.orderCount + 1) {
        term.orderCount = report.orderCount;
        term.lostOrder = false;
        return;
    }
    if (term.countSeenAt < Millis(0) || report.orderCount != term.orderCount) {
        this->context.log.write(EventWeight::Notable, "engine_order_count",
                                {{"server", term.server.id.str()},
                                 {"believed", term.orderCount},
                                 {"reported", report.orderCount}});
        term.places.ordersAllowed = false;
        term.orderCount = report.orderCount;
        term.countSeenAt = now;
    }
    const Millis quiet = this->context.settings.leaseDuration + leaseSlack;
    term.places.ordersFrom = term.countSeenAt + quiet;
    const bool uncontested = this->isUncontested(term.server.id, quiet);
    if (!uncontested && now - term.countSeenAt < quiet) {
        this->reportAfter(term, quiet - (now - term.countSeenAt) + soonest);
        return;
    }
    term.places.ordersAllowed = true;
    term.number
            = fencingNumberFor(this->contentRevision(), term.orderCount, this->context.settings.vm);
    this->context.log.write(EventWeight::Notable, "orders_allowed",
                            {{"server", term.server.id.str()},
                             {"number", term.number.number()},
                             {"uncontested", uncontested},
                             {"order_count", term.orderCount}});
}

void EngineController::giveOrder(Term &term, const EngineOrder &order)
{
    const OrderStamp stamp{this->context.settings.vm, term.number, term.orderCount};
    OutgoingRequest request = this->context.dialect.writeCommand(term.server, order, stamp);
    request.timeout = orderTimeout;
    const Millis decidedAt = monotonicNow();
    fetchOnLoop(
            this->context, std::move(request),
            [this, server = term.server.id, number = term.number,
             order](const Result<HttpAnswer> &answer) {
                this->takeOrderAnswer(server, number, order, answer);
            },
            [decidedAt] { return monotonicNow() - decidedAt < orderFreshness; });
}

void EngineController::takeOrderAnswer(const BackendServerId &server, FencingNumber number,
                                       const EngineOrder &order, const Result<HttpAnswer> &answer)
{
    Term *term = this->find(server);
    if (term == nullptr || term->number != number) {
        return;
    }
    const OrderOutcome outcome = answer.has_error()
            ? OrderOutcome::Unknown
            : this->context.dialect.readCommandOutcome(answer.value());
    // A repeated order for what is already under way does not count again.
    const bool counted = !order.repeated
            && (outcome == OrderOutcome::Accepted
                || (outcome == OrderOutcome::AlreadyHolds
                    && order.kind == OrderKind::UnloadAdapter));
    term->orderCount += counted ? 1 : 0;
    term->orderedAt = monotonicNow();
    term->lostOrder = outcome == OrderOutcome::Unknown;
    this->context.log.write(outcome == OrderOutcome::Accepted
                                            || outcome == OrderOutcome::AlreadyHolds
                                    ? EventWeight::Routine
                                    : EventWeight::Notable,
                            "order",
                            {{"server", server.str()},
                             {"kind", nameOf(order.kind)},
                             {"adapter", order.adapter.str()},
                             {"version", order.version.number()},
                             {"outcome", nameOf(outcome)},
                             {"status", answer.has_value() ? answer.value().status : 0},
                             {"order_count", term->orderCount}});
    this->context.metrics.counter(metric::edgeOrders, nameOf(outcome)).add();
    const auto place = term->places.places.find(order.adapter);
    if (order.kind == OrderKind::LoadAdapter && outcome == OrderOutcome::AlreadyHolds
        && place != term->places.places.end()) {
        constexpr double millisPerSecond = 1000.0;
        const Millis took = monotonicNow() - place->second.loadStartedAt;
        this->context.metrics.summary(metric::edgeLoadTime)
                .observe(static_cast<double>(took.count()) / millisPerSecond, monotonicNow());
    }
    const std::optional<FinishedLoad> load
            = noteOrderOutcome(term->places, term->limits, outcome, monotonicNow());
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
