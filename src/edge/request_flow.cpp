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

/// Wait of a caller that names none and whose route has no time-out.
constexpr Millis defaultWait{30'000};
/// Retry-After while the daemon knows no configuration or no servers.
constexpr Millis startRetryAfter{1'000};
/// A daemon has read its configuration within this time of its start, from a peer or the store;
/// later ones are refused at once. Source: initialReadDelay(), and the way to the store.
constexpr Millis startTime{1'500};
/// Part of a caller's time that its request waits for the first configuration.
constexpr std::int64_t startPatience = 4;

} // namespace

RequestFlow::RequestFlow(FlowContext &flowContext, std::shared_ptr<const IncomingRequest> request,
                         std::shared_ptr<ResponseWriter> responseWriter)
    : context(flowContext)
    , incoming(std::move(request))
    , writer(std::move(responseWriter))
    , arrivedAt(monotonicNow())
    , timer(flowContext.edge.loop.makeTimer())
{ }

void RequestFlow::start()
{
    this->context.running.insert(this->shared_from_this());
    if (!this->readRequest()) {
        return;
    }
    this->writer->onGone([weak = this->weak_from_this(), &loop = this->context.edge.loop] {
        loop.post([weak] {
            if (const auto self = weak.lock()) {
                self->callerGone();
            }
        });
    });
    if (this->context.state.config) {
        this->begin();
        return;
    }
    const Millis wait = this->request.timeout.value_or(defaultWait);
    this->awaitConfig(
            std::min(timeUntil(this->context.state.startedAt + startTime, this->arrivedAt),
                     wait / startPatience));
}

void RequestFlow::awaitConfig(Millis patience)
{
    this->early = true;
    this->timer->set(patience, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->early = false;
            self->begin();
        }
    });
}

void RequestFlow::configInForce()
{
    if (this->early && !this->ended) {
        this->early = false;
        this->begin();
    }
}

void RequestFlow::begin()
{
    if (this->ended || !this->readRoute() || !this->admit()) {
        return;
    }
    this->timer->set(timeUntil(this->deadlineAt, monotonicNow()), [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->expire();
        }
    });
    this->planServers();
    if (this->engine) {
        this->askNext();
    } else if (this->plan.empty()) {
        if (!this->refusePaused()) {
            this->refuse(ErrorCode::NoBackendServer, startRetryAfter);
        }
    } else {
        this->sendToNextReplica();
    }
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

bool RequestFlow::readRoute()
{
    if (!this->context.state.config) {
        this->refuse(ErrorCode::ConfigUnavailable, startRetryAfter);
        return false;
    }
    const EdgeConfig &config = *this->context.state.config;
    const EdgeRoute *found = findRoute(config, this->request.host, this->request.path);
    if (found == nullptr) {
        this->fail(httpstatus::notFound, ErrorCode::UnknownPath);
        return false;
    }
    this->route = *found;
    if (!this->identifyCaller(config)) {
        return false;
    }
    const ServiceId *chosen = chooseService(this->route, hash64(this->request.id.str()));
    if (chosen == nullptr) {
        this->refuse(ErrorCode::NoBackendServer, startRetryAfter);
        return false;
    }
    this->service = *chosen;
    const auto known = config.services.find(this->service);
    this->engine = known != config.services.end() && known->second.engine.has_value()
            && !this->request.base.empty();
    return true;
}

bool RequestFlow::identifyCaller(const EdgeConfig &config)
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
    this->route.priority = found->priority.value_or(this->route.priority);
    return true;
}

bool RequestFlow::admit()
{
    Millis wait = this->request.timeout.value_or(defaultWait);
    if (this->route.timeout > Millis(0)) {
        wait = std::min(wait, this->route.timeout);
    }
    this->deadlineAt = this->arrivedAt + wait;
    const Millis objective
            = this->route.objective > Millis(0) ? std::min(this->route.objective, wait) : wait;
    Millis &longest = this->context.state.callerWaits[this->route.name];
    const Millis asked = this->request.timeout.value_or(longest);
    longest = std::max(longest, asked);
    // The objective counts from the caller's first attempt.
    this->objectiveAt = this->arrivedAt + objective - (longest - asked);
    this->fingerprint
            = Fingerprint(mixHash(hash64(this->request.target), hash64(this->request.body)));
    this->context.state.retryBudgets[this->service].recordRequest(
            this->context.edge.settings.retryBudget, this->arrivedAt);
    if (isQuarantined(this->context.state.crashes, this->fingerprint, this->arrivedAt)) {
        this->refuse(ErrorCode::Quarantined, Millis(0));
        return false;
    }
    return true;
}

void RequestFlow::dropUnfinished()
{
    if (this->attempt) {
        this->context.edge.http.cancel(this->attempt->exchange);
        this->endAttempt(std::exchange(this->attempt, nullptr), PlaceEvent::Ended);
    }
    if (this->place != 0) {
        this->context.places.note(this->place, PlaceNote{PlaceEvent::Cancelled, {}, std::nullopt});
        this->place = 0;
    }
}

void RequestFlow::expire()
{
    if (this->ended) {
        return;
    }
    this->dropUnfinished();
    if (this->streamStarted) {
        this->writer->abort();
        this->context.edge.log.write(EventWeight::Notable, "stream_expired",
                                     {{"request", this->request.id.str()}});
        this->end();
    } else if (this->runs > 0) {
        this->fail(httpstatus::gatewayTimeout, ErrorCode::DeadlineExceeded);
    } else {
        this->refuse(ErrorCode::DeadlineExceeded, Millis(0));
    }
}

void RequestFlow::callerGone()
{
    if (this->ended) {
        return;
    }
    this->dropUnfinished();
    this->context.edge.log.write(
            EventWeight::Routine, "caller_gone",
            {{"request", this->request.id.str()}, {"after_ms", monotonicNow() - this->arrivedAt}});
    this->writer->abort();
    this->end();
}

void RequestFlow::refuse(ErrorCode code, Millis retryAfter)
{
    if (this->streamStarted) {
        this->writer->abort();
        this->end();
        return;
    }
    if (this->runs > 0) {
        // It may have run, so that not-run must not be said.
        this->fail(httpstatus::badGateway, code);
        return;
    }
    HttpAnswer refusal{httpstatus::unavailable, {}, std::string(errorName(code))};
    if (retryAfter > Millis(0)) {
        constexpr double millisPerSecond = 1000.0;
        refusal.headers.push_back(
                {"Retry-After",
                 fmt::format("{:.3f}", static_cast<double>(retryAfter.count()) / millisPerSecond)});
    }
    this->answer(std::move(refusal), "refused", code);
}

void RequestFlow::fail(int status, ErrorCode code)
{
    this->answer(HttpAnswer{status, {}, std::string(errorName(code))}, "failed", code);
}

void RequestFlow::answer(HttpAnswer whole, std::string_view outcome, ErrorCode code)
{
    if (this->ended) {
        return;
    }
    const bool own = outcome == "refused" || outcome == "failed";
    this->context.edge.metrics.counter(metric::edgeAnswers, outcome).add();
    if (own) {
        this->context.edge.metrics.counter(metric::edgeFailures, errorName(code)).add();
    }
    if (this->context.state.draining) {
        whole.headers.push_back({"Connection", "close"});
    }
    this->context.edge.log.write(own ? EventWeight::Notable : EventWeight::Routine, outcome,
                                 {{"request", this->request.id.str()},
                                  {"route", this->route.name},
                                  {"adapter", this->request.adapter.str()},
                                  {"status", whole.status},
                                  {"error", own ? errorName(code) : std::string_view()},
                                  {"took_ms", monotonicNow() - this->arrivedAt},
                                  {"asks", this->asks},
                                  {"sends", this->sends}});
    this->writer->send(whole);
    this->end();
}

void RequestFlow::end()
{
    this->ended = true;
    this->timer->cancel();
    if (this->ownerTimer) {
        this->ownerTimer->cancel();
    }
    // The caller of this function still uses the flow.
    this->context.edge.loop.post([&running = this->context.running,
                                  self = this->shared_from_this()] { running.erase(self); });
}

} // namespace balsamport
