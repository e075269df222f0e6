#include "request_flow.h"
#include "request_times.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/http_status.h>
#include <balsamport/core/metric_names.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Time-out of a caller that specifies none and whose route has none.
constexpr Millis defaultTimeout{30'000};
/// Retry-After while the daemon has no configuration or knows no servers.
constexpr Millis startupRetryAfter{1'000};
/// Within this time after its start a daemon has read its configuration from a peer or the store;
/// later requests without a configuration are refused immediately. Source: initialReadDelay(), and
/// the round trip to the store.
constexpr Millis startupTime{1'500};
/// A request waits for the first configuration for at most its time-out divided by this.
constexpr std::int64_t configWaitDivisor = 4;

} // namespace

RequestFlow::RequestFlow(FlowContext &flowContext, std::shared_ptr<const IncomingRequest> request,
                         std::shared_ptr<ResponseWriter> responseWriter)
    : context(flowContext)
    , incoming(std::move(request))
    , writer(std::move(responseWriter))
    , arrivedAt(this->incoming->receivedAt)
    , timer(flowContext.edge.loop.makeTimer())
{ }

void RequestFlow::start()
{
    this->context.running.insert(this->shared_from_this());
    if (!this->readRequest()) {
        return;
    }
    this->writer->onDisconnect([weak = this->weak_from_this(), &loop = this->context.edge.loop] {
        loop.post([weak] {
            if (const auto self = weak.lock()) {
                self->handleCallerDisconnect();
            }
        });
    });
    if (this->context.state.config) {
        this->process();
        return;
    }
    const Millis timeout = this->request.timeout.value_or(defaultTimeout);
    this->deadlineAt = this->arrivedAt + timeout;
    this->waitForConfig(
            std::min(timeUntil(this->context.state.startedAt + startupTime, this->arrivedAt),
                     timeout / configWaitDivisor));
}

void RequestFlow::waitForConfig(Millis maxWait)
{
    this->waitsForConfig = true;
    this->timer->set(maxWait, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->waitsForConfig = false;
            self->process();
        }
    });
}

void RequestFlow::resumeWithConfig()
{
    if (this->waitsForConfig && !this->ended) {
        this->waitsForConfig = false;
        this->process();
    }
}

void RequestFlow::process()
{
    if (this->ended || !this->resolveRoute() || !this->isWithinQuota() || !this->admit()) {
        return;
    }
    if (!this->canEndBeforeStop(monotonicNow())) {
        this->refuse(ErrorCode::Leaving, stopRetryAfter);
        return;
    }
    this->timer->set(timeUntil(this->deadlineAt, monotonicNow()), [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->handleDeadline();
        }
    });
    if (!this->waitIfUnderJudgement()) {
        this->selectServer();
    }
}

void RequestFlow::selectServer()
{
    this->selectCandidates();
    if (this->usesEngine) {
        this->requestNextGrant();
    } else if (this->candidates.empty()) {
        if (!this->refuseIfAllBackingOff()) {
            this->refuse(ErrorCode::NoBackendServer, startupRetryAfter);
        }
    } else {
        this->sendToNextReplica();
    }
}

bool RequestFlow::refuseIfQuarantined(std::string_view where)
{
    if (!this->context.crashes.isRefused(this->traits, this->request.id, where)) {
        return false;
    }
    this->refuse(ErrorCode::Quarantined, Millis(0));
    return true;
}

void RequestFlow::handleConviction()
{
    const bool hasBegun = this->attempt && this->attempt->started;
    if (this->ended || hasBegun
        || !convictedSuspect(this->context.state.crashEvidence, this->traits)) {
        return;
    }
    this->cancelUnfinished();
    (void)this->refuseIfQuarantined("conviction");
}

RequestTraits traitsOf(const std::vector<PromptPart> &parts)
{
    RequestTraits traits;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        traits.sharedParts.push_back(parts[i].id);
    }
    return traits;
}

bool RequestFlow::readRequest()
{
    Result<CallerRequest> read = this->context.edge.dialect.readRequest(*this->incoming);
    if (read.has_error()) {
        this->fail(httpstatus::badRequest, read.error().code);
        return false;
    }
    this->request = std::move(read).value();
    return true;
}

bool RequestFlow::resolveRoute()
{
    if (!this->context.state.config) {
        this->refuse(ErrorCode::ConfigUnavailable, startupRetryAfter);
        return false;
    }
    const EdgeConfig &config = *this->context.state.config;
    const EdgeRoute *found = findRoute(config, this->request.host, this->request.path);
    if (found == nullptr) {
        this->fail(httpstatus::notFound, ErrorCode::UnknownPath);
        return false;
    }
    this->route = *found;
    if (!this->authenticateCaller(config)) {
        return false;
    }
    const ServiceId *chosen = chooseService(this->route, hash64(this->request.id.str()));
    if (chosen == nullptr) {
        this->refuse(ErrorCode::NoBackendServer, startupRetryAfter);
        return false;
    }
    this->service = *chosen;
    const auto known = config.services.find(this->service);
    this->usesEngine = known != config.services.end() && known->second.engine.has_value()
            && !this->request.base.empty();
    return true;
}

bool RequestFlow::authenticateCaller(const EdgeConfig &config)
{
    const std::string key = std::exchange(this->request.apiKey, std::string());
    if (!config.needsKeys || this->route.isPublic) {
        return true;
    }
    const Organisation *found = findOrganisation(config.organisations, key);
    if (found == nullptr) {
        this->fail(httpstatus::unauthorized, ErrorCode::Unauthorized);
        return false;
    }
    this->organisation = found->id;
    if (found->priority) {
        this->routePriority = std::exchange(this->route.priority, *found->priority);
    }
    return true;
}

bool RequestFlow::isWithinQuota()
{
    const std::optional<Millis> retryAfter = this->context.quotas.refuseOverQuota(
            this->organisation, this->request.statedTokens, this->request.id, this->quotaCharge);
    if (retryAfter) {
        this->respondNotRun(httpstatus::tooManyRequests, ErrorCode::QuotaExceeded, *retryAfter);
    }
    return !retryAfter;
}

bool RequestFlow::admit()
{
    Millis timeout = this->request.timeout.value_or(defaultTimeout);
    if (this->route.timeout > Millis(0)) {
        timeout = std::min(timeout, this->route.timeout);
    }
    this->deadlineAt = this->arrivedAt + timeout;
    const Millis objective = this->route.objective > Millis(0)
            ? std::min(this->route.objective, timeout)
            : timeout;
    Millis &longestTimeout = this->context.state.longestTimeouts[this->route.name];
    const Millis requested = this->request.timeout.value_or(longestTimeout);
    longestTimeout = std::max(longestTimeout, requested);
    // The objective counts from the caller's first attempt, before any refusals.
    this->objectiveAt = this->arrivedAt + objective - (longestTimeout - requested);
    this->traits = traitsOf(this->request.promptParts);
    this->traits.fingerprint
            = Fingerprint(mixHash(hash64(this->request.target), hash64(this->request.body)));
    this->retryBudget().recordRequest(this->context.edge.settings.retryBudget, monotonicNow());
    if (timeUntil(this->deadlineAt, monotonicNow()) == Millis(0)) {
        this->refuse(ErrorCode::DeadlineExceeded, defaultRetryAfter);
        return false;
    }
    return !this->refuseIfQuarantined("arrival");
}

SharedRetryBudget &RequestFlow::retryBudget()
{
    EdgeState &state = this->context.state;
    const SharedRetryBudget unused = this->context.edge.settings.fleetStarts
            ? SharedRetryBudget()
            : SharedRetryBudget(state.startedAt);
    return state.retryBudgets.try_emplace(this->service, unused).first->second;
}

void RequestFlow::cancelUnfinished()
{
    if (this->attempt) {
        this->context.edge.http.cancel(this->attempt->exchange);
        this->endAttempt(std::exchange(this->attempt, nullptr), GrantEvent::Ended);
    }
    if (this->pendingGrant != 0) {
        this->context.grants.sendUpdate(this->pendingGrant,
                                        GrantUpdate{GrantEvent::Cancelled, {}, std::nullopt});
        this->pendingGrant = 0;
    }
}

void RequestFlow::handleDeadline()
{
    if (this->ended) {
        return;
    }
    if (this->attempt) {
        this->recordServerTime(*this->attempt, monotonicNow());
    }
    this->cancelUnfinished();
    if (this->streamStarted) {
        this->context.edge.log.write(EventPriority::Notable, "stream_expired",
                                     {{"request", this->request.id.str()}});
        this->breakStream(ErrorCode::DeadlineExceeded, {}, 0);
    } else if (this->possibleRuns > 0) {
        this->fail(httpstatus::gatewayTimeout, ErrorCode::DeadlineExceeded);
    } else {
        this->refuse(ErrorCode::DeadlineExceeded, defaultRetryAfter);
    }
}

bool RequestFlow::canEndBeforeStop(Millis now) const
{
    const EdgeState &state = this->context.state;
    if (!state.stop) {
        return true;
    }
    const auto known = state.durations.find({this->route.name, this->service});
    const std::optional<Millis> expected
            = known == state.durations.end() ? std::nullopt : expectedDuration(known->second);
    return canEndInTime(*state.stop, expected, this->deadlineAt, now);
}

void RequestFlow::recordServerTime(const Attempt &sent, Millis now)
{
    recordDuration(this->context.state.durations[{this->route.name, this->service}],
                   now - sent.sentAt);
}

void RequestFlow::applyStop(const StopPlan &plan, Millis now)
{
    const bool mayGoOn = this->attempt ? now < plan.answerAt : this->canEndBeforeStop(now);
    if (this->ended || mayGoOn) {
        return;
    }
    const BackendServerId server = this->attempt ? this->attempt->server : BackendServerId();
    const int status = this->attempt ? this->attempt->response.status : 0;
    this->waitsForConfig = false;
    this->cancelUnfinished();
    if (this->streamStarted) {
        this->breakStream(ErrorCode::Leaving, server, status);
    } else if (this->possibleRuns > 0) {
        this->fail(httpstatus::gatewayTimeout, ErrorCode::Leaving);
    } else {
        this->refuse(ErrorCode::Leaving, stopRetryAfter);
    }
}

void RequestFlow::handleCallerDisconnect()
{
    if (this->ended) {
        return;
    }
    this->cancelUnfinished();
    this->context.edge.log.write(EventPriority::Routine, "caller_gone",
                                 {{"request", this->request.id.str()},
                                  {"after_ms", monotonicNow() - this->arrivedAt},
                                  {"sends", this->sendCount},
                                  {"stream_started", this->streamStarted}});
    this->writer->abort();
    this->end();
}

void RequestFlow::breakStream(ErrorCode code, const BackendServerId &server, int status)
{
    const std::uint64_t unsent = *this->unsentBytes;
    this->writer->abort();
    this->context.edge.metrics.counter(metric::edgeBrokenStreams, errorName(code)).add();
    this->context.edge.log.write(EventPriority::Notable, "stream_broken",
                                 {{"request", this->request.id.str()},
                                  {"route", this->route.name},
                                  {"adapter", this->request.adapter.str()},
                                  {"server", server.str()},
                                  {"status", status},
                                  {"error", errorName(code)},
                                  {"events", this->splitter.eventCount},
                                  {"last_event", this->splitter.lastId},
                                  {"bytes", this->streamBytes},
                                  {"unsent_bytes", unsent},
                                  {"dropped_bytes", this->splitter.pending.size()},
                                  {"sends", this->sendCount},
                                  {"took_ms", monotonicNow() - this->arrivedAt}});
    this->end();
}

void RequestFlow::refuse(ErrorCode code, Millis retryAfter)
{
    if (this->streamStarted) {
        this->breakStream(code, {}, 0);
        return;
    }
    if (this->possibleRuns > 0) {
        // The request may have run, so the response must not state that it did not.
        this->fail(httpstatus::badGateway, code);
        return;
    }
    this->respondNotRun(httpstatus::unavailable, code, retryAfter);
}

void RequestFlow::respondNotRun(int status, ErrorCode code, Millis retryAfter)
{
    HttpResponse response{status, {}, std::string(errorName(code))};
    if (retryAfter > Millis(0)) {
        constexpr double millisPerSecond = 1000.0;
        response.headers.push_back(
                {"Retry-After",
                 fmt::format("{:.3f}", static_cast<double>(retryAfter.count()) / millisPerSecond)});
    }
    this->respond(std::move(response), "refused", code);
}

void RequestFlow::fail(int status, ErrorCode code)
{
    this->respond(HttpResponse{status, {}, std::string(errorName(code))}, "failed", code);
}

void RequestFlow::respond(HttpResponse response, std::string_view outcome, ErrorCode code)
{
    if (this->ended) {
        return;
    }
    const bool isOwnError = outcome == "refused" || outcome == "failed";
    this->context.edge.metrics.counter(metric::edgeAnswers, outcome).add();
    if (isOwnError) {
        this->context.edge.metrics.counter(metric::edgeFailures, errorName(code)).add();
    }
    this->context.edge.log.write(isOwnError ? EventPriority::Notable : EventPriority::Routine,
                                 outcome,
                                 {{"request", this->request.id.str()},
                                  {"route", this->route.name},
                                  {"adapter", this->request.adapter.str()},
                                  {"status", response.status},
                                  {"error", isOwnError ? errorName(code) : std::string_view()},
                                  {"took_ms", monotonicNow() - this->arrivedAt},
                                  {"asks", this->grantRequests},
                                  {"sends", this->sendCount}});
    this->writer->send(response);
    this->end();
}

void RequestFlow::end()
{
    this->ended = true;
    if (this->possibleRuns == 0) {
        this->context.quotas.returnCharge(this->quotaCharge, this->request.id);
    }
    this->timer->cancel();
    if (this->ownerTimer) {
        this->ownerTimer->cancel();
    }
    // Deferred, because the caller of this function still uses the flow.
    this->context.edge.loop.post([&running = this->context.running,
                                  self = this->shared_from_this()] { running.erase(self); });
}

} // namespace balsamport
