#include "request_flow.h"
#include "request_times.h"

#include <balsamport/core/http_status.h>
#include <balsamport/core/metric_names.h>

#include <algorithm>
#include <utility>

// Of a request: its exchange with a server, and whether it is sent again.

namespace balsamport {

namespace {

/// Sends of one request, those included that did not run it.
constexpr std::uint32_t maxSends = 5;
constexpr Millis connectTimeout{400};
/// Bytes that wait for a slow caller before the backend server is held up.
constexpr std::size_t maxUnwritten = 256 * 1024;
constexpr std::size_t maxAnswerBytes = 8 * 1024 * 1024;
/// Gaps of a stream that are remembered to judge its engine by.
constexpr std::size_t mostGaps = 64;

double secondsOf(Millis time)
{
    constexpr double millisPerSecond = 1000.0;
    return static_cast<double>(time.count()) / millisPerSecond;
}

std::uint32_t promptTokensOf(const CallerRequest &request)
{
    std::uint32_t tokens = 0;
    for (const PromptPart &part : request.promptParts) {
        tokens += part.tokens;
    }
    return tokens;
}

} // namespace

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
    const auto takes = [&](const ServerEntry &entry) {
        return !entry.draining && !isLeaving(this->context.state.notices, entry)
                && pauseLeft(this->context.state.notices, entry, now) == Millis(0);
    };
    if (found == this->context.state.catalog.servers.end() || !takes(found->second.entry)) {
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
    dispatch.timeout = timeUntil(this->deadlineAt, now);
    dispatch.version = version;
    dispatch.priority = this->route.priority;
    dispatch.resumeAfter = this->streamStarted ? this->splitter.lastId : std::string();
    dispatch.isEngine = this->engine;
    dispatch.organisation = this->organisation;
    OutgoingRequest outgoing = this->context.edge.dialect.writeRequest(this->request, dispatch);
    outgoing.connectTimeout = connectTimeout;
    // The flow's own timer ends the request; this one only keeps the exchange from staying.
    outgoing.timeout = dispatch.timeout + connectTimeout;
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
    sent->answer = this->context.edge.dialect.readResponse(this->request, head);
    this->heedNotices(*sent);
    if (!sent->answer.belongsToRequest && !sent->answer.didNotRun) {
        sent->foreign = true;
        this->context.edge.http.cancel(sent->exchange);
        return;
    }
    const bool streams = this->route.streaming && httpstatus::isSuccess(sent->answer.status)
            && sent->answer.valid && !sent->answer.didNotRun;
    if (streams && !this->streamStarted) {
        this->streamStarted = true;
        this->writer->startStream(sent->answer.status, sent->answer.headers);
    }
}

void RequestFlow::heedNotices(const Attempt &sent)
{
    const auto known = this->context.state.catalog.servers.find(sent.server);
    const Millis pause = sent.answer.backoff.value_or(Millis(0));
    if (known == this->context.state.catalog.servers.end()
        || (!sent.answer.serverDraining && pause == Millis(0))) {
        return;
    }
    const ServerEntry &entry = known->second.entry;
    const Millis now = monotonicNow();
    ServerNotices &notices = this->context.state.notices;
    const bool leaves = sent.answer.serverDraining && noteLeaving(notices, entry, now);
    const bool pauses = pause > Millis(0) && notePause(notices, entry, pause, now);
    if (!leaves && !pauses) {
        return;
    }
    this->context.edge.metrics.counter(metric::edgeNotices, leaves ? "leaving" : "paused").add();
    this->context.edge.log.write(EventWeight::Notable, leaves ? "server_leaving" : "server_paused",
                                 {{"request", this->request.id.str()},
                                  {"server", sent.server.str()},
                                  {"pause_ms", pause}});
    this->context.engines.heed(sent.server, leaves, pause);
    wire::Envelope message;
    wire::ServerNotice &notice = *message.mutable_server_notice();
    notice.set_backend_server(sent.server.str());
    notice.set_address(entry.address);
    notice.set_started_at_wall_ms(entry.startedAtWallMs);
    notice.set_leaving(leaves);
    notice.set_pause_ms(static_cast<std::uint32_t>(pause.count()));
    this->context.peers.sendToDataCentre(message);
}

void RequestFlow::takeBody(const std::shared_ptr<Attempt> &sent, const std::string &piece)
{
    if (this->ended || sent != this->attempt || sent->foreign) {
        return;
    }
    const bool streams = this->streamStarted && httpstatus::isSuccess(sent->answer.status)
            && !sent->answer.didNotRun;
    if (!streams) {
        sent->unwritten -= std::min(piece.size(), sent->unwritten.load());
        this->resumeIfPaused(*sent);
        if (sent->body.size() + piece.size() > maxAnswerBytes) {
            sent->foreign = true;
            this->context.edge.http.cancel(sent->exchange);
            return;
        }
        sent->body += piece;
        return;
    }
    std::string events = splitEvents(this->splitter, piece);
    sent->unwritten -= std::min(piece.size(), sent->unwritten.load());
    if (isOverlong(this->splitter)) {
        sent->foreign = true; // Bytes without end are no answer to the request.
        this->context.edge.http.cancel(sent->exchange);
        return;
    }
    if (events.empty()) {
        this->resumeIfPaused(*sent);
        return;
    }
    const Millis now = monotonicNow();
    if (this->lastPieceAt > Millis(0)) {
        this->longestGap = std::max(this->longestGap, now - this->lastPieceAt);
        if (this->gaps.size() < mostGaps) {
            this->gaps.push_back(now - this->lastPieceAt);
        }
    }
    this->lastPieceAt = now;
    if (!sent->started) {
        sent->started = true;
        this->firstPieceAt = now;
        this->context.edge.metrics.summary(metric::edgeFirstPiece, this->route.name)
                .observe(secondsOf(now - this->arrivedAt), now);
        if (sent->place != 0) {
            this->context.places.note(
                    sent->place,
                    PlaceNote{PlaceEvent::Started,
                              this->isNear(sent->server) ? now - sent->sentAt : Millis(0),
                              std::nullopt});
        }
    }
    this->relay(sent, std::move(events));
}

void RequestFlow::resumeIfPaused(Attempt &sent)
{
    if (sent.unwritten <= maxUnwritten && sent.paused.exchange(false)) {
        this->context.edge.http.resume(sent.exchange);
    }
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
    const bool serverFailed = httpstatus::isServerError(sent->answer.status);
    noteAnswer(this->context.state.experiences[sent->server], serverFailed);
    if (serverFailed && this->mayRepeat() && this->takeRetry("server_error")) {
        this->failedAt.insert(sent->server);
        this->endAttempt(sent, PlaceEvent::Ended);
        this->tryAgain();
        return;
    }
    forgetCrashes(this->context.state.crashes, this->fingerprint);
    sent->finished = httpstatus::isSuccess(sent->answer.status);
    this->endAttempt(sent, PlaceEvent::Ended);
    if (!this->streamStarted) {
        HttpAnswer whole{sent->answer.status, sent->answer.headers, std::move(sent->body)};
        this->answer(std::move(whole), serverFailed ? "server_failed" : "served",
                     ErrorCode::Internal);
        return;
    }
    if (!httpstatus::isSuccess(sent->answer.status) || !this->splitter.pending.empty()) {
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
                                  {"output_tokens", this->request.maxOutputTokens},
                                  {"events", this->splitter.eventCount},
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
        this->context.places.note(
                sent->place,
                PlaceNote{event,
                          {},
                          event == PlaceEvent::Ended ? this->streamPace(*sent) : std::nullopt});
    }
}

std::optional<StreamPace> RequestFlow::streamPace(const Attempt &sent) const
{
    constexpr std::size_t quarters = 4;
    const bool whole = sent.started && sent.finished && this->sends == 1;
    if (!whole || this->gaps.empty() || !this->isNear(sent.server)) {
        return std::nullopt;
    }
    std::vector<Millis> sorted = this->gaps;
    std::sort(sorted.begin(), sorted.end());
    return StreamPace{this->splitter.eventCount, this->request.maxOutputTokens,
                      sorted[sorted.size() / quarters], this->longestGap};
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
            && timeUntil(this->deadlineAt, monotonicNow()) > leastUsefulTime;
}

bool RequestFlow::takeRetry(std::string_view reason)
{
    const bool taken = this->context.state.retryBudgets[this->service].tryTake(
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
            = recordCrash(this->context.state.crashes, this->fingerprint, monotonicNow());
    this->context.peers.broadcastCrashes(this->fingerprint, crashes);
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
    const bool poison = isQuarantined(this->context.state.crashes, this->fingerprint, now);
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
        this->fail(code == ErrorCode::Timeout ? httpstatus::gatewayTimeout : httpstatus::badGateway,
                   code);
    }
}

} // namespace balsamport
