#include "request_flow.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/metric_names.h>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Wait of a caller that names none and whose route has no time-out.
constexpr Millis defaultWait{30'000};
/// Engines that are asked for a place before a request waits at the least busy of them.
constexpr std::size_t fewestEngines = 2;
constexpr std::size_t mostEngines = 3;
/// Engines that are asked in place of those that are down, or whose owner is not known.
constexpr std::size_t maxSpares = 4;
/// Sends of one request, those included that did not run it.
constexpr std::uint32_t maxSends = 5;
/// Replicas of a plain service that are tried.
constexpr std::size_t maxReplicas = 4;
constexpr Millis connectTimeout{400};
/// Shortest time in which a backend server can still answer.
constexpr Millis leastUsefulTime{20};
/// Retry-After where nothing better is known.
constexpr Millis defaultRetryAfter{500};
/// Retry-After while the daemon knows no configuration or no servers.
constexpr Millis startRetryAfter{1'000};
/// Bytes that wait for a slow caller before the backend server is held up.
constexpr std::size_t maxUnwritten = 256 * 1024;
constexpr std::size_t maxAnswerBytes = 8 * 1024 * 1024;
constexpr int notFound = 404;
constexpr int badRequest = 400;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;
constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
constexpr int firstServerError = 500;

double secondsOf(Millis time)
{
    constexpr double millisPerSecond = 1000.0;
    return static_cast<double>(time.count()) / millisPerSecond;
}

Millis left(Millis at, Millis now)
{
    return std::max(at - now, Millis(0));
}

std::uint32_t promptTokensOf(const CallerRequest &request)
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : request.promptParts) {
        tokens += part.tokens;
    }
    return tokens;
}

std::string_view nameOf(PlaceVerdict::Kind kind) noexcept
{
    switch (kind) {
    case PlaceVerdict::Kind::Queued:
        return "queued";
    case PlaceVerdict::Kind::Granted:
        return "granted";
    case PlaceVerdict::Kind::Elsewhere:
        return "elsewhere";
    case PlaceVerdict::Kind::Refused:
        return "refused";
    case PlaceVerdict::Kind::NotOwner:
        return "not_owner";
    case PlaceVerdict::Kind::EngineDown:
        return "engine_down";
    }
    return "unknown";
}

bool isSuccess(int status) noexcept
{
    return status >= firstSuccess && status < firstRedirect;
}

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
    if (!this->readRoute() || !this->admit()) {
        return;
    }
    const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
    this->timer->set(left(this->deadlineAt, this->arrivedAt), [weak] {
        if (const auto self = weak.lock()) {
            self->expire();
        }
    });
    this->writer->onGone([weak, &loop = this->context.edge.loop] {
        loop.post([weak] {
            if (const auto self = weak.lock()) {
                self->callerGone();
            }
        });
    });
    this->planServers();
    if (this->plan.empty()) {
        this->refuse(ErrorCode::NoBackendServer, startRetryAfter);
    } else if (this->engine) {
        this->askNext();
    } else {
        this->sendToNextReplica();
    }
}

bool RequestFlow::readRoute()
{
    Result<CallerRequest> read = this->context.edge.dialect.readRequest(*this->incoming);
    if (read.has_error()) {
        this->fail(badRequest, read.error().code);
        return false;
    }
    this->request = std::move(read).value();
    if (!this->context.state.config) {
        this->refuse(ErrorCode::ConfigUnavailable, startRetryAfter);
        return false;
    }
    const EdgeConfig &config = *this->context.state.config;
    const EdgeRoute *found = findRoute(config, this->request.host, this->request.path);
    if (found == nullptr) {
        this->fail(notFound, ErrorCode::UnknownPath);
        return false;
    }
    this->route = *found;
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

bool RequestFlow::admit()
{
    Millis wait = this->request.timeLeft.value_or(defaultWait);
    if (this->route.timeout > Millis(0)) {
        wait = std::min(wait, this->route.timeout);
    }
    this->deadlineAt = this->arrivedAt + wait;
    const Millis objective
            = this->route.objective > Millis(0) ? std::min(this->route.objective, wait) : wait;
    Millis &longest = this->context.state.callerWaits[this->route.name];
    const Millis asked = this->request.timeLeft.value_or(longest);
    longest = std::max(longest, asked);
    // The objective counts from the caller's first attempt.
    this->objectiveAt = this->arrivedAt + objective - (longest - asked);
    this->fingerprint
            = Fingerprint(mixHash(hash64(this->request.target), hash64(this->request.body)));
    this->context.state.retryBudgets[this->service].noteRequest(
            this->context.edge.settings.retryBudget, this->arrivedAt);
    if (isPoison(this->context.state.crashes, this->fingerprint, this->arrivedAt)) {
        this->refuse(ErrorCode::Quarantined, Millis(0));
        return false;
    }
    return true;
}

void RequestFlow::planServers()
{
    const EdgeState &state = this->context.state;
    const Location &location = this->context.edge.settings.location;
    const auto servers = usableServers(state.catalog, this->service);
    const Millis now = monotonicNow();
    if (!this->engine) {
        this->plan = rankReplicas(servers, location, state.experiences,
                                  hash64(this->request.id.str()), now);
        this->leaveOutFailed();
        this->plan.resize(std::min(this->plan.size(), maxReplicas));
        return;
    }
    this->ranking = rankEngines(servers, location, state.experiences, this->request.adapter.str(),
                                demandFor(state.demand, this->adapterName(), now),
                                lastHome(state.homes, this->request.adapter.str(), now),
                                hash64(this->request.id.str()), now);
    this->plan = this->ranking.servers;
    this->leaveOutFailed();
    // A busy adapter has further homes that hold it; another engine would have to load it.
    const std::size_t engines = std::clamp(this->ranking.homes.size(), fewestEngines, mostEngines);
    const auto tried = static_cast<std::ptrdiff_t>(std::min(this->plan.size(), engines));
    const auto spare
            = static_cast<std::ptrdiff_t>(std::min(this->plan.size(), engines + maxSpares));
    this->spares.assign(this->plan.begin() + tried, this->plan.begin() + spare);
    this->plan.resize(static_cast<std::size_t>(tried));
    // Back to the least busy one to wait there: a third engine would have to load the adapter.
    if (!this->plan.empty()) {
        const BackendServerId first = this->plan.front();
        this->plan.push_back(first);
    }
}

std::string RequestFlow::adapterName() const
{
    return this->request.base.str() + "/" + this->request.adapter.str();
}

void RequestFlow::askSpareInstead()
{
    if (this->spares.empty()) {
        return;
    }
    this->plan.insert(this->plan.begin(), this->spares.front());
    this->spares.erase(this->spares.begin());
}

bool RequestFlow::isHome(const BackendServerId &server) const
{
    const std::vector<BackendServerId> &homes = this->ranking.homes;
    return std::find(homes.begin(), homes.end(), server) != homes.end();
}

void RequestFlow::noteTold(const BackendServerId &server, double perSecond, Millis now)
{
    const std::vector<BackendServerId> &homes = this->ranking.homes;
    if (this->request.adapter.empty() || !this->isHome(server)) {
        return; // Elsewhere only those ask that found no place at a home.
    }
    // A home of all regions is asked by all of them; one of several homes by a part.
    const double share = this->ranking.regional
            ? static_cast<double>(homes.size())
            : 1.0 / static_cast<double>(regionCount(this->context.edge.settings.location));
    noteDemand(this->context.state.demand, this->adapterName(), perSecond * share, now);
}

void RequestFlow::leaveOutFailed()
{
    std::vector<BackendServerId> others;
    for (const BackendServerId &server : this->plan) {
        if (this->failedAt.count(server) == 0) {
            others.push_back(server);
        }
    }
    if (!others.empty()) {
        this->plan = std::move(others);
    }
}

void RequestFlow::askNext()
{
    if (this->ended) {
        return;
    }
    const Millis now = monotonicNow();
    if (this->plan.empty() || left(this->deadlineAt, now) < leastUsefulTime) {
        this->refuse(ErrorCode::Overloaded, std::max(this->retryHint, defaultRetryAfter));
        return;
    }
    BackendServerId server = this->plan.front();
    this->plan.erase(this->plan.begin());
    if (this->plan.empty() && !this->leastBusy.empty()) {
        server = this->leastBusy;
    }
    ++this->asks;
    PlaceRequest asked;
    asked.request = this->request.id;
    asked.base = this->request.base;
    asked.adapter = this->request.adapter;
    asked.priority = this->route.priority;
    asked.objectiveAt = this->objectiveAt;
    asked.deadlineAt = this->deadlineAt;
    asked.outputTokens = this->request.outputTokens;
    asked.parts = this->request.promptParts;
    asked.lastChoice = this->plan.empty();
    asked.otherHome
            = this->plan.size() > 1 && this->isHome(server) && this->isHome(this->plan.front());
    const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
    auto number = std::make_shared<std::uint64_t>(0);
    const auto known = this->context.state.catalog.servers.find(server);
    const DataCentreId dataCentre = known == this->context.state.catalog.servers.end()
            ? DataCentreId()
            : known->second.entry.dataCentre;
    this->place = this->context.places.ask(EngineSite{server, dataCentre}, std::move(asked),
                                           [weak, server, number](const PlaceVerdict &verdict) {
                                               if (const auto self = weak.lock()) {
                                                   self->takeVerdict(*number, server, verdict);
                                               }
                                           });
    *number = this->place;
}

void RequestFlow::takeVerdict(std::uint64_t number, const BackendServerId &server,
                              const PlaceVerdict &verdict)
{
    if (this->ended || number != this->place) {
        return;
    }
    const Millis now = monotonicNow();
    this->context.edge.log.write(EventWeight::Routine, "place",
                                 {{"request", this->request.id.str()},
                                  {"server", server.str()},
                                  {"verdict", nameOf(verdict.kind)},
                                  {"ask", this->asks},
                                  {"wait_ms", verdict.wait},
                                  {"retry_after_ms", verdict.retryAfter},
                                  {"since_arrival_ms", now - this->arrivedAt}});
    ServerExperience &experience = this->context.state.experiences[server];
    if (verdict.kind == PlaceVerdict::Kind::Granted
        || verdict.kind == PlaceVerdict::Kind::Elsewhere) {
        experience.wait = verdict.wait;
        experience.waitToldAt = now;
    }
    if (verdict.kind == PlaceVerdict::Kind::Granted || verdict.kind == PlaceVerdict::Kind::Elsewhere
        || verdict.kind == PlaceVerdict::Kind::Refused) {
        this->noteTold(server, verdict.demand, now);
    }
    switch (verdict.kind) {
    case PlaceVerdict::Kind::Queued:
        return;
    case PlaceVerdict::Kind::Granted:
        this->place = 0;
        noteHome(this->context.state.homes, this->request.adapter.str(), server, now);
        this->send(server, number, verdict.version);
        return;
    case PlaceVerdict::Kind::Elsewhere:
        if (this->leastBusy.empty() || verdict.wait < this->leastWait) {
            this->leastBusy = server;
            this->leastWait = verdict.wait;
        }
        this->retryHint = std::max(this->retryHint, verdict.wait);
        this->place = 0;
        this->askNext();
        return;
    case PlaceVerdict::Kind::EngineDown:
        noteUnreachable(experience, now);
        [[fallthrough]];
    case PlaceVerdict::Kind::NotOwner:
        this->place = 0;
        this->askSpareInstead();
        this->askNext();
        return;
    case PlaceVerdict::Kind::Refused:
        this->place = 0;
        this->refuse(ErrorCode::Overloaded, verdict.retryAfter);
        return;
    }
}

void RequestFlow::sendToNextReplica()
{
    if (this->plan.empty()) {
        this->refuse(ErrorCode::NoBackendServer, defaultRetryAfter);
        return;
    }
    const BackendServerId server = this->plan.front();
    this->plan.erase(this->plan.begin());
    this->send(server, 0, AdapterVersion());
}

void RequestFlow::send(const BackendServerId &server, std::uint64_t placeNumber,
                       AdapterVersion version)
{
    const Millis now = monotonicNow();
    const auto found = this->context.state.catalog.servers.find(server);
    auto sent = std::make_shared<Attempt>();
    sent->server = server;
    sent->place = placeNumber;
    sent->sentAt = now;
    this->attempt = sent;
    if (found == this->context.state.catalog.servers.end() || found->second.entry.draining) {
        this->takeNotRun(sent);
        return;
    }
    if (this->sends == 0) {
        this->context.edge.metrics.summary(metric::edgeWait)
                .observe(secondsOf(now - this->arrivedAt), now);
    }
    ++this->sends;
    ++this->runs;
    ++this->context.state.experiences[server].inFlight;
    Dispatch dispatch;
    dispatch.server = server;
    dispatch.address = found->second.entry.address;
    dispatch.timeLeft = left(this->deadlineAt, now);
    dispatch.version = version;
    dispatch.priority = this->route.priority;
    dispatch.resumeAfter = this->streamStarted ? this->splitter.lastId : std::string();
    dispatch.engine = this->engine;
    OutgoingRequest outgoing = this->context.edge.dialect.writeRequest(this->request, dispatch);
    outgoing.connectTimeout = connectTimeout;
    // The flow's own timer ends the request; this one only keeps the exchange from staying.
    outgoing.timeout = dispatch.timeLeft + connectTimeout;
    this->context.edge.log.write(EventWeight::Routine, "sent",
                                 {{"request", this->request.id.str()},
                                  {"server", server.str()},
                                  {"adapter", this->request.adapter.str()},
                                  {"version", version.number()},
                                  {"config", this->context.state.config->version},
                                  {"waited_ms", now - this->arrivedAt},
                                  {"send", this->sends}});
    sent->exchange = this->context.edge.http.start(std::move(outgoing), this->handlersOf(sent));
}

ExchangeHandlers RequestFlow::handlersOf(const std::shared_ptr<Attempt> &sent)
{
    const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
    Loop &loop = this->context.edge.loop;
    ExchangeHandlers handlers;
    handlers.mayStillSend = [sent] { return !sent->abandoned; };
    handlers.onHead = [weak, sent, &loop](const ResponseHead &head) {
        loop.post([weak, sent, head] {
            if (const auto self = weak.lock()) {
                self->takeHead(sent, head);
            }
        });
    };
    handlers.onPiece = [weak, sent, &loop](std::string_view piece) {
        if (sent->unwritten > maxUnwritten) {
            sent->paused = true;
            // The caller may have taken all just before; then nobody would resume.
            if (sent->unwritten > maxUnwritten || !sent->paused.exchange(false)) {
                return false;
            }
        }
        sent->unwritten += piece.size();
        loop.post([weak, sent, text = std::string(piece)] {
            if (const auto self = weak.lock()) {
                self->takeBody(sent, text);
            }
        });
        return true;
    };
    handlers.onDone = [weak, sent, &loop](const Result<void> &result) {
        loop.post([weak, sent, result] {
            if (const auto self = weak.lock()) {
                self->takeEnd(sent, result);
            }
        });
    };
    return handlers;
}

void RequestFlow::takeHead(const std::shared_ptr<Attempt> &sent, const ResponseHead &head)
{
    if (this->ended || sent != this->attempt) {
        return;
    }
    sent->answer = this->context.edge.dialect.readAnswer(this->request, head);
    if (!sent->answer.belongsToRequest && !sent->answer.didNotRun) {
        sent->foreign = true;
        this->context.edge.http.cancel(sent->exchange);
        return;
    }
    const bool streams = this->route.streaming && isSuccess(sent->answer.status)
            && sent->answer.valid && !sent->answer.didNotRun;
    if (streams && !this->streamStarted) {
        this->streamStarted = true;
        this->writer->startStream(sent->answer.status, sent->answer.headers);
    }
}

void RequestFlow::takeBody(const std::shared_ptr<Attempt> &sent, const std::string &piece)
{
    if (this->ended || sent != this->attempt || sent->foreign) {
        return;
    }
    const bool streams
            = this->streamStarted && isSuccess(sent->answer.status) && !sent->answer.didNotRun;
    if (!streams) {
        sent->unwritten = 0;
        if (sent->body.size() + piece.size() > maxAnswerBytes) {
            this->context.edge.http.cancel(sent->exchange);
            return;
        }
        sent->body += piece;
        return;
    }
    std::string events = takePiece(this->splitter, piece);
    sent->unwritten -= std::min(piece.size(), sent->unwritten.load());
    if (events.empty()) {
        return;
    }
    const Millis now = monotonicNow();
    if (this->lastPieceAt > Millis(0)) {
        this->longestGap = std::max(this->longestGap, now - this->lastPieceAt);
    }
    this->lastPieceAt = now;
    if (!sent->started) {
        sent->started = true;
        this->firstPieceAt = now;
        this->context.edge.metrics.summary(metric::edgeFirstPiece, this->route.name)
                .observe(secondsOf(now - this->arrivedAt), now);
        if (sent->place != 0) {
            this->context.places.note(sent->place, PlaceEvent::Started,
                                      this->isNear(sent->server) ? now - sent->sentAt : Millis(0));
        }
    }
    this->relay(sent, std::move(events));
}

bool RequestFlow::isNear(const BackendServerId &server) const
{
    const auto known = this->context.state.catalog.servers.find(server);
    return known != this->context.state.catalog.servers.end()
            && distanceTo(this->context.edge.settings.location, known->second.entry.dataCentre)
            != Distance::OtherRegion;
}

void RequestFlow::relay(const std::shared_ptr<Attempt> &sent, std::string text)
{
    const std::size_t bytes = text.size();
    sent->unwritten += bytes;
    this->writer->write(std::move(text), [sent, bytes, &http = this->context.edge.http] {
        sent->unwritten -= std::min(bytes, sent->unwritten.load());
        if (sent->paused.exchange(false)) {
            http.resume(sent->exchange);
        }
    });
}

void RequestFlow::takeEnd(const std::shared_ptr<Attempt> &sent, const Result<void> &result)
{
    if (this->ended || sent != this->attempt) {
        return;
    }
    if (sent->foreign) {
        this->takeFailure(sent, ErrorCode::BadResponse);
        return;
    }
    if (sent->answer.didNotRun) {
        this->takeNotRun(sent);
        return;
    }
    if (result.has_error()) {
        this->takeFailure(sent, result.error().code);
        return;
    }
    if (sent->answer.status == 0 || !sent->answer.valid) {
        this->takeFailure(sent, ErrorCode::BadResponse);
        return;
    }
    this->finishAnswer(sent);
}

void RequestFlow::finishAnswer(const std::shared_ptr<Attempt> &sent)
{
    const bool serverFailed = sent->answer.status >= firstServerError;
    noteAnswer(this->context.state.experiences[sent->server], serverFailed);
    if (serverFailed && this->mayRepeat() && this->takeRetry("server_error")) {
        this->failedAt.insert(sent->server);
        this->endAttempt(sent, PlaceEvent::Ended);
        this->tryAgain();
        return;
    }
    noteSurvival(this->context.state.crashes, this->fingerprint);
    this->endAttempt(sent, PlaceEvent::Ended);
    if (!this->streamStarted) {
        HttpAnswer whole{sent->answer.status, sent->answer.headers, std::move(sent->body)};
        this->answer(std::move(whole), serverFailed ? "server_failed" : "served",
                     ErrorCode::Internal);
        return;
    }
    if (!isSuccess(sent->answer.status) || !this->splitter.pending.empty()) {
        // A second server refused to go on, or the last event is not whole.
        this->writer->abort();
        this->context.edge.log.write(EventWeight::Notable, "stream_broken",
                                     {{"request", this->request.id.str()},
                                      {"server", sent->server.str()},
                                      {"status", sent->answer.status}});
        this->end();
        return;
    }
    this->writer->finish();
    this->context.edge.metrics.counter(metric::edgeAnswers, "served").add();
    this->context.edge.log.write(EventWeight::Routine, "served",
                                 {{"request", this->request.id.str()},
                                  {"server", sent->server.str()},
                                  {"status", sent->answer.status},
                                  {"took_ms", monotonicNow() - this->arrivedAt},
                                  {"first_ms", this->firstPieceAt - this->arrivedAt},
                                  {"gap_ms", this->longestGap},
                                  {"prompt_tokens", promptTokensOf(this->request)},
                                  {"sends", this->sends}});
    this->end();
}

void RequestFlow::endAttempt(const std::shared_ptr<Attempt> &sent, PlaceEvent event)
{
    sent->abandoned = true;
    this->attempt.reset();
    if (sent->sentAt >= Millis(0) && sent->exchange != 0) {
        ServerExperience &experience = this->context.state.experiences[sent->server];
        experience.inFlight -= experience.inFlight > 0 ? 1 : 0;
    }
    if (sent->place != 0) {
        this->context.places.note(sent->place, event);
    }
}

void RequestFlow::takeNotRun(const std::shared_ptr<Attempt> &sent)
{
    this->context.edge.log.write(EventWeight::Notable, "not_run",
                                 {{"request", this->request.id.str()},
                                  {"server", sent->server.str()},
                                  {"status", sent->answer.status},
                                  {"after_ms", monotonicNow() - sent->sentAt}});
    this->runs -= this->runs > 0 && sent->exchange != 0 ? 1 : 0;
    if (!this->engine) {
        // An engine may only have had to load the adapter first.
        this->failedAt.insert(sent->server);
    }
    this->endAttempt(sent, PlaceEvent::NotReady);
    if (this->sends >= maxSends || !this->takeRetry("not_run")) {
        if (this->streamStarted) {
            this->writer->abort();
            this->end();
        } else {
            this->refuse(ErrorCode::Overloaded, defaultRetryAfter);
        }
        return;
    }
    this->tryAgain();
}

bool RequestFlow::mayRepeat() const
{
    const bool repeatable = this->route.repeatability == Repeatability::Idempotent
            || (this->route.streaming && this->route.resumable);
    return repeatable && this->runs < this->route.maxAttempts && this->sends < maxSends
            && left(this->deadlineAt, monotonicNow()) > leastUsefulTime;
}

bool RequestFlow::takeRetry(std::string_view reason)
{
    const bool taken = this->context.state.retryBudgets[this->service].take(
            this->context.edge.settings.retryBudget, this->context.peers.liveDaemons(),
            monotonicNow());
    if (taken) {
        this->context.edge.metrics.counter(metric::edgeRetries, reason).add();
    }
    this->context.edge.log.write(
            EventWeight::Notable, "retry",
            {{"request", this->request.id.str()}, {"reason", reason}, {"allowed", taken}});
    return taken;
}

void RequestFlow::tryAgain()
{
    this->splitter.pending.clear();
    this->planServers();
    if (this->engine) {
        this->askNext();
    } else if (this->plan.empty()) {
        this->refuse(ErrorCode::NoBackendServer, defaultRetryAfter);
    } else {
        this->sendToNextReplica();
    }
}

void RequestFlow::noteCrashOf(const std::shared_ptr<Attempt> &sent)
{
    const std::uint32_t crashes
            = noteCrash(this->context.state.crashes, this->fingerprint, monotonicNow());
    wire::Envelope message;
    message.mutable_crash_note()->set_fingerprint(this->fingerprint.number());
    message.mutable_crash_note()->set_crashes(crashes);
    this->context.peers.sendToAll(message);
    this->context.edge.log.write(EventWeight::Notable, "crash_suspected",
                                 {{"request", this->request.id.str()},
                                  {"server", sent->server.str()},
                                  {"fingerprint", this->fingerprint.number()},
                                  {"crashes", crashes}});
}

void RequestFlow::takeFailure(const std::shared_ptr<Attempt> &sent, ErrorCode code)
{
    const Millis now = monotonicNow();
    this->failedAt.insert(sent->server);
    const bool unsent = code == ErrorCode::ConnectFailed || code == ErrorCode::ClaimExpired;
    ServerExperience &experience = this->context.state.experiences[sent->server];
    if (unsent) {
        noteUnreachable(experience, now);
        this->runs -= this->runs > 0 ? 1 : 0;
    } else {
        noteAnswer(experience, true);
    }
    this->context.edge.log.write(EventWeight::Notable, "send_failed",
                                 {{"request", this->request.id.str()},
                                  {"server", sent->server.str()},
                                  {"error", errorName(code)},
                                  {"after_ms", now - sent->sentAt},
                                  {"stream_started", this->streamStarted}});
    if (code == ErrorCode::ConnectionBroken) {
        this->noteCrashOf(sent);
    }
    this->endAttempt(
            sent, code == ErrorCode::ConnectFailed ? PlaceEvent::Unreachable : PlaceEvent::Ended);
    const bool poison = isPoison(this->context.state.crashes, this->fingerprint, now);
    const bool again = !poison && (unsent || this->mayRepeat()) && this->sends < maxSends
            && (!this->streamStarted || this->mayRepeat());
    if (again && this->takeRetry(errorName(code))) {
        this->tryAgain();
        return;
    }
    if (this->streamStarted) {
        this->writer->abort();
        this->end();
    } else if (unsent) {
        this->refuse(ErrorCode::NoBackendServer, defaultRetryAfter);
    } else {
        this->fail(code == ErrorCode::Timeout ? gatewayTimeout : badGateway, code);
    }
}

void RequestFlow::expire()
{
    if (this->ended) {
        return;
    }
    if (this->attempt) {
        this->context.edge.http.cancel(this->attempt->exchange);
        this->endAttempt(std::exchange(this->attempt, nullptr), PlaceEvent::Ended);
    }
    if (this->place != 0) {
        this->context.places.note(this->place, PlaceEvent::Cancelled);
        this->place = 0;
    }
    if (this->streamStarted) {
        this->writer->abort();
        this->context.edge.log.write(EventWeight::Notable, "stream_expired",
                                     {{"request", this->request.id.str()}});
        this->end();
    } else if (this->runs > 0) {
        this->fail(gatewayTimeout, ErrorCode::DeadlineExceeded);
    } else {
        this->refuse(ErrorCode::DeadlineExceeded, Millis(0));
    }
}

void RequestFlow::callerGone()
{
    if (this->ended) {
        return;
    }
    if (this->attempt) {
        this->context.edge.http.cancel(this->attempt->exchange);
        this->endAttempt(std::exchange(this->attempt, nullptr), PlaceEvent::Ended);
    }
    if (this->place != 0) {
        this->context.places.note(this->place, PlaceEvent::Cancelled);
        this->place = 0;
    }
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
        this->fail(badGateway, code);
        return;
    }
    HttpAnswer refusal{unavailable, {}, std::string(errorName(code))};
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
    if (this->context.state.leaving) {
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
    // The caller of this function still uses the flow.
    this->context.edge.loop.post([&running = this->context.running,
                                  self = this->shared_from_this()] { running.erase(self); });
}

} // namespace balsamport
