#include "request_flow.h"
#include "request_times.h"

#include <balsamport/core/http_status.h>
#include <balsamport/core/metric_names.h>

#include <algorithm>
#include <utility>

// The exchange of a request with a backend server, and the decision whether to retry it.

namespace balsamport {

namespace {

/// Limit of the attempts of one request, including those in which no server ran it.
constexpr std::uint32_t maxSendCount = 5;
constexpr Millis connectTimeout{400};
/// Unwritten bytes for a slow caller above which reading from the backend server is paused.
constexpr std::size_t maxUnwrittenBytes = 256 * 1024;
/// The same while more than half of the memory for connections is used.
constexpr std::size_t scarceUnwrittenBytes = 32 * 1024;
/// A body up to this size is received also while the memory for connections is used up.
constexpr std::size_t smallBodyBytes = 16 * 1024;
/// Memory for each byte of a body: the string that grows by doubling, and the copy that is sent.
constexpr std::size_t bytesPerBodyByte = 3;
constexpr std::size_t maxResponseBytes = 8 * 1024 * 1024;
/// Gaps of a stream that are recorded to measure the speed of its engine.
constexpr std::size_t maxTokenGaps = 64;
/// Time after the first chunk of a stream in which a crash counts as early: a server that a request
/// crashes ends as it begins to respond.
constexpr Millis earlyCrashTime{150};
/// Connections that break during one request before it is not sent again.
constexpr std::uint32_t maxBrokenRuns = 2;

double secondsOf(Millis time)
{
    constexpr double millisPerSecond = 1000.0;
    return static_cast<double>(time.count()) / millisPerSecond;
}

/// @return the value of Content-Type in lower case without parameters; empty if there is none
std::string mediaTypeOf(const HttpHeaders &headers)
{
    std::string type = findHeader(headers, "Content-Type").value_or(std::string());
    type.resize(std::min(type.find_first_of("; \t"), type.size()));
    std::transform(type.begin(), type.end(), type.begin(), [](unsigned char letter) {
        return static_cast<char>(letter >= 'A' && letter <= 'Z' ? letter + ('a' - 'A') : letter);
    });
    return type;
}

std::size_t unwrittenLimit(const MemoryBudget &memory)
{
    return memory.limit() != 0 && memory.used() > memory.limit() / 2 ? scarceUnwrittenBytes
                                                                     : maxUnwrittenBytes;
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

void RequestFlow::send(const BackendServerId &server, std::uint64_t grantNumber,
                       AdapterVersion version)
{
    if (this->context.crashes.isUnderJudgement(this->traits)
        || convictedSuspect(this->context.state.crashEvidence, this->traits)) {
        this->context.grants.sendUpdate(grantNumber,
                                        GrantUpdate{GrantEvent::Cancelled, {}, std::nullopt});
        if (!this->refuseIfQuarantined("send")) {
            (void)this->waitIfUnderJudgement();
        }
        return;
    }
    const Millis now = monotonicNow();
    if (!this->canEndBeforeStop(now)) {
        this->context.grants.sendUpdate(grantNumber,
                                        GrantUpdate{GrantEvent::Cancelled, {}, std::nullopt});
        this->refuse(ErrorCode::Leaving, stopRetryAfter);
        return;
    }
    const auto found = this->context.state.catalog.servers.find(server);
    auto sent = std::make_shared<Attempt>();
    sent->memory = MemoryReservation(this->context.edge.memory);
    sent->server = server;
    sent->grant = grantNumber;
    sent->sentAt = now;
    this->attempt = sent;
    const auto acceptsRequests = [&](const ServerEntry &entry) {
        return !entry.draining && !isDraining(this->context.state.availability, entry)
                && remainingBackoff(this->context.state.availability, entry, now) == Millis(0);
    };
    if (found == this->context.state.catalog.servers.end()
        || !acceptsRequests(found->second.entry)) {
        this->handleNotRun(sent);
        return;
    }
    sent->address = found->second.entry.address;
    sent->serverStartedAtWallMs = found->second.entry.startedAtWallMs;
    if (this->sendCount == 0) {
        this->context.edge.metrics.summary(metric::edgeWait)
                .observe(secondsOf(now - this->arrivedAt), now);
    }
    ++this->sendCount;
    if (++this->possibleRuns > 1) {
        this->context.quotas.chargeAgain(this->quotaCharge);
    }
    ++this->context.state.serverStats[server].inFlight;
    this->context.rateLimits.recordSend(server);
    Dispatch dispatch;
    dispatch.server = server;
    dispatch.address = found->second.entry.address;
    dispatch.timeout = timeUntil(this->deadlineAt, now);
    dispatch.version = version;
    dispatch.priority = this->route.priority;
    dispatch.resumeAfter = this->streamStarted ? this->splitter.lastId : std::string();
    dispatch.isEngine = this->usesEngine;
    dispatch.organisation = this->organisation;
    OutgoingRequest outgoing = this->context.edge.dialect.writeRequest(this->request, dispatch);
    outgoing.connectTimeout = connectTimeout;
    outgoing.carriedBy = this->carriedBy;
    // The timer of the flow ends the request; this time-out only bounds the exchange.
    outgoing.timeout = dispatch.timeout + connectTimeout;
    this->context.edge.log.write(EventPriority::Routine, "sent",
                                 {{"request", this->request.id.str()},
                                  {"server", server.str()},
                                  {"adapter", this->request.adapter.str()},
                                  {"version", version.number()},
                                  {"config", this->context.state.config->version},
                                  {"waited_ms", now - this->arrivedAt},
                                  {"send", this->sendCount}});
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
                self->handleHead(sent, head);
            }
        });
    };
    handlers.onBodyChunk
            = [weak, sent, &loop, memory = this->context.edge.memory](std::string_view chunk) {
                  const std::size_t limit = unwrittenLimit(*memory);
                  if (sent->unwrittenBytes > limit) {
                      sent->paused = true;
                      // If all bytes were written just before, no later write would resume the
                      // exchange.
                      if (sent->unwrittenBytes > limit || !sent->paused.exchange(false)) {
                          return false;
                      }
                  }
                  sent->unwrittenBytes += chunk.size();
                  loop.post([weak, sent, text = std::string(chunk)] {
                      if (const auto self = weak.lock()) {
                          self->handleBody(sent, text);
                      }
                  });
                  return true;
              };
    handlers.onDone = [weak, sent, &loop](const Result<void> &result) {
        loop.post([weak, sent, result] {
            if (const auto self = weak.lock()) {
                self->handleEnd(sent, result);
            }
        });
    };
    return handlers;
}

void RequestFlow::handleHead(const std::shared_ptr<Attempt> &sent, const ResponseHead &head)
{
    if (this->ended || sent != this->attempt) {
        return;
    }
    sent->response = this->context.edge.dialect.readResponse(this->request, head);
    this->applyAvailability(*sent);
    this->context.rateLimits.applyResponse(sent->server, this->request.id,
                                           sent->response.rateLimit);
    if (!sent->response.belongsToRequest && !sent->response.didNotRun) {
        sent->invalidResponse = true;
        this->context.edge.http.cancel(sent->exchange);
        return;
    }
    const bool isSuccess
            = httpstatus::isSuccess(sent->response.status) && !sent->response.didNotRun;
    if (!this->route.streaming || !isSuccess || !sent->response.valid) {
        return;
    }
    const std::string mediaType = mediaTypeOf(sent->response.headers);
    if (!this->streamStarted) {
        this->streamStarted = true;
        this->streamMediaType = mediaType;
        this->writer->startStream(sent->response.status, sent->response.headers);
    }
    // A resumed stream is continued only by a response of the same kind as the one that began it.
    sent->forwardsEvents = mediaType == this->streamMediaType;
    if (!sent->forwardsEvents) {
        sent->invalidResponse = true;
        this->context.edge.http.cancel(sent->exchange);
    }
}

void RequestFlow::applyAvailability(const Attempt &sent)
{
    const auto known = this->context.state.catalog.servers.find(sent.server);
    const Millis backoff = sent.response.backoff.value_or(Millis(0));
    if (known == this->context.state.catalog.servers.end()
        || (!sent.response.serverDraining && backoff == Millis(0))) {
        return;
    }
    const ServerEntry &entry = known->second.entry;
    const Millis now = monotonicNow();
    ServerAvailability &availability = this->context.state.availability;
    const bool nowDraining
            = sent.response.serverDraining && recordDraining(availability, entry, now);
    const bool nowPaused = backoff > Millis(0) && recordBackoff(availability, entry, backoff, now);
    if (!nowDraining && !nowPaused) {
        return;
    }
    this->context.edge.metrics.counter(metric::edgeNotices, nowDraining ? "leaving" : "paused")
            .add();
    this->context.edge.log.write(EventPriority::Notable,
                                 nowDraining ? "server_leaving" : "server_paused",
                                 {{"request", this->request.id.str()},
                                  {"server", sent.server.str()},
                                  {"pause_ms", backoff}});
    this->context.engines.applyAvailability(sent.server, nowDraining, backoff);
    wire::Envelope message;
    wire::ServerNotice &notice = *message.mutable_server_notice();
    notice.set_backend_server(sent.server.str());
    notice.set_address(entry.address);
    notice.set_started_at_wall_ms(entry.startedAtWallMs);
    notice.set_leaving(nowDraining);
    notice.set_pause_ms(static_cast<std::uint32_t>(backoff.count()));
    this->context.peers.sendToDataCentre(message);
}

void RequestFlow::handleBody(const std::shared_ptr<Attempt> &sent, const std::string &chunk)
{
    if (this->ended || sent != this->attempt || sent->invalidResponse) {
        return;
    }
    if (!sent->forwardsEvents) {
        sent->unwrittenBytes -= std::min(chunk.size(), sent->unwrittenBytes.load());
        this->resumeIfPaused(*sent);
        const std::size_t bytes = chunk.size() * bytesPerBodyByte;
        const bool hasMemory = sent->memory.tryGrow(bytes);
        if (!hasMemory && sent->body.size() + chunk.size() <= smallBodyBytes) {
            sent->memory.grow(bytes);
        } else if (!hasMemory || sent->body.size() + chunk.size() > maxResponseBytes) {
            sent->invalidResponse = true;
            this->context.edge.http.cancel(sent->exchange);
            return;
        }
        sent->body += chunk;
        return;
    }
    std::string events = splitEvents(this->splitter, chunk);
    sent->unwrittenBytes -= std::min(chunk.size(), sent->unwrittenBytes.load());
    if (isOverlong(this->splitter) || this->splitter.outOfOrder) {
        sent->invalidResponse = true;
        this->context.edge.http.cancel(sent->exchange);
    }
    if (events.empty()) {
        this->resumeIfPaused(*sent);
        return;
    }
    const Millis now = monotonicNow();
    if (this->lastChunkAt > Millis(0)) {
        this->longestTokenGap = std::max(this->longestTokenGap, now - this->lastChunkAt);
        if (this->tokenGaps.size() < maxTokenGaps) {
            this->tokenGaps.push_back(now - this->lastChunkAt);
        }
    }
    this->lastChunkAt = now;
    if (!sent->started) {
        sent->started = true;
        this->firstChunkAt = now;
        this->context.edge.metrics.summary(metric::edgeFirstPiece, this->route.name)
                .observe(secondsOf(now - this->arrivedAt), now);
        if (sent->grant != 0) {
            this->context.grants.sendUpdate(
                    sent->grant,
                    GrantUpdate{GrantEvent::Started,
                                this->isInOwnRegion(sent->server) ? now - sent->sentAt : Millis(0),
                                std::nullopt});
        }
    }
    this->writeToCaller(sent, std::move(events));
}

void RequestFlow::resumeIfPaused(Attempt &sent)
{
    if (sent.unwrittenBytes <= unwrittenLimit(*this->context.edge.memory)
        && sent.paused.exchange(false)) {
        this->context.edge.http.resume(sent.exchange);
    }
}

bool RequestFlow::isInOwnRegion(const BackendServerId &server) const
{
    const auto known = this->context.state.catalog.servers.find(server);
    return known != this->context.state.catalog.servers.end()
            && distanceTo(this->context.edge.settings.location, known->second.entry.dataCentre)
            != Distance::OtherRegion;
}

void RequestFlow::writeToCaller(const std::shared_ptr<Attempt> &sent, std::string text)
{
    const std::size_t bytes = text.size();
    sent->unwrittenBytes += bytes;
    this->streamBytes += bytes;
    *this->unsentBytes += bytes;
    const auto onWritten
            = [sent, bytes, unsent = this->unsentBytes, &http = this->context.edge.http] {
                  *unsent -= bytes;
                  sent->unwrittenBytes -= std::min(bytes, sent->unwrittenBytes.load());
                  if (sent->paused.exchange(false)) {
                      http.resume(sent->exchange);
                  }
              };
    this->writer->write(std::move(text), onWritten);
}

void RequestFlow::handleEnd(const std::shared_ptr<Attempt> &sent, const Result<void> &result)
{
    if (this->ended || sent != this->attempt) {
        return;
    }
    if (result.has_error() && result.error().code == ErrorCode::MalformedResponse) {
        this->context.edge.metrics.counter(metric::edgeMalformedResponses, "request").add();
        this->context.edge.log.write(EventPriority::Notable, "malformed_response",
                                     {{"request", this->request.id.str()},
                                      {"server", sent->server.str()},
                                      {"detail", result.error().detail}});
    }
    if (sent->invalidResponse) {
        this->handleFailure(sent, ErrorCode::BadResponse);
        return;
    }
    if (sent->response.didNotRun) {
        this->handleNotRun(sent);
        return;
    }
    if (result.has_error()) {
        this->handleFailure(sent, result.error().code);
        return;
    }
    if (sent->response.status == 0 || !sent->response.valid) {
        this->handleFailure(sent, ErrorCode::BadResponse);
        return;
    }
    if (sent->forwardsEvents && !this->splitter.pending.empty()) {
        // A server that stops inside an event has broken its stream off, however that ends.
        this->handleFailure(sent, ErrorCode::ConnectionBroken);
        return;
    }
    this->finishResponse(sent);
}

void RequestFlow::finishResponse(const std::shared_ptr<Attempt> &sent)
{
    const bool serverFailed = httpstatus::isServerError(sent->response.status);
    recordResponse(this->context.state.serverStats[sent->server], serverFailed);
    if (serverFailed && this->mayRepeat() && this->tryTakeRetry("server_error")) {
        this->failedServers.insert(sent->server);
        this->endAttempt(sent, GrantEvent::Ended);
        this->retry();
        return;
    }
    sent->complete = httpstatus::isSuccess(sent->response.status);
    RequestTraits sound{this->traits.fingerprint, {}};
    if (sent->complete) {
        this->recordServerTime(*sent, monotonicNow());
        sound = this->traits;
    }
    this->context.crashes.recordCompletion(sound, sent->sentAt);
    this->endAttempt(sent, GrantEvent::Ended);
    if (!this->streamStarted) {
        HttpResponse response{sent->response.status, sent->response.headers, std::move(sent->body)};
        this->respond(std::move(response), serverFailed ? "server_failed" : "served",
                      ErrorCode::Internal);
        return;
    }
    if (!httpstatus::isSuccess(sent->response.status)) {
        // Another server refused to resume the stream.
        this->breakStream(ErrorCode::AnswerIncomplete, sent->server, sent->response.status);
        return;
    }
    this->writer->finish();
    this->context.edge.metrics.counter(metric::edgeAnswers, "served").add();
    this->context.edge.log.write(EventPriority::Routine, "served",
                                 {{"request", this->request.id.str()},
                                  {"server", sent->server.str()},
                                  {"status", sent->response.status},
                                  {"took_ms", monotonicNow() - this->arrivedAt},
                                  {"first_ms", this->firstChunkAt - this->arrivedAt},
                                  {"gap_ms", this->longestTokenGap},
                                  {"prompt_tokens", promptTokensOf(this->request)},
                                  {"output_tokens", this->request.maxOutputTokens},
                                  {"events", this->splitter.eventCount},
                                  {"sends", this->sendCount}});
    this->end();
}

void RequestFlow::endAttempt(const std::shared_ptr<Attempt> &sent, GrantEvent event)
{
    sent->abandoned = true;
    this->attempt.reset();
    if (sent->sentAt >= Millis(0) && sent->exchange != 0) {
        ServerStats &stats = this->context.state.serverStats[sent->server];
        stats.inFlight -= stats.inFlight > 0 ? 1 : 0;
    }
    if (sent->grant != 0) {
        this->context.grants.sendUpdate(
                sent->grant,
                GrantUpdate{event,
                            {},
                            event == GrantEvent::Ended ? this->streamTiming(*sent) : std::nullopt});
    }
}

std::optional<StreamTiming> RequestFlow::streamTiming(const Attempt &sent) const
{
    constexpr std::size_t quarters = 4;
    const bool isMeasurable = sent.started && sent.complete && this->sendCount == 1;
    if (!isMeasurable || this->tokenGaps.empty() || !this->isInOwnRegion(sent.server)) {
        return std::nullopt;
    }
    std::vector<Millis> sorted = this->tokenGaps;
    std::sort(sorted.begin(), sorted.end());
    return StreamTiming{this->splitter.eventCount, this->request.maxOutputTokens,
                        sorted[sorted.size() / quarters], this->longestTokenGap};
}

void RequestFlow::handleNotRun(const std::shared_ptr<Attempt> &sent)
{
    this->context.edge.log.write(EventPriority::Notable, "not_run",
                                 {{"request", this->request.id.str()},
                                  {"server", sent->server.str()},
                                  {"status", sent->response.status},
                                  {"after_ms", monotonicNow() - sent->sentAt}});
    this->possibleRuns -= this->possibleRuns > 0 && sent->exchange != 0 ? 1 : 0;
    if (!this->usesEngine) {
        // An engine remains a candidate: it might only have had to load the adapter first.
        this->failedServers.insert(sent->server);
    }
    this->endAttempt(sent, GrantEvent::NotReady);
    if (!this->canEndBeforeStop(monotonicNow())) {
        this->refuse(ErrorCode::Leaving, stopRetryAfter);
        return;
    }
    if (this->sendCount >= maxSendCount || !this->tryTakeRetry("not_run")) {
        if (this->streamStarted) {
            this->breakStream(ErrorCode::Overloaded, sent->server, sent->response.status);
        } else {
            this->refuse(ErrorCode::Overloaded, defaultRetryAfter);
        }
        return;
    }
    this->retry();
}

bool RequestFlow::mayRepeat() const
{
    const Millis now = monotonicNow();
    const bool repeatable = this->route.repeatability == Repeatability::Idempotent
            || (this->route.streaming && this->route.resumable);
    return repeatable && (!this->streamStarted || isResumable(this->splitter))
            && this->possibleRuns < this->route.maxAttempts && this->sendCount < maxSendCount
            && timeUntil(this->deadlineAt, now) > minUsefulTime && this->canEndBeforeStop(now);
}

bool RequestFlow::tryTakeRetry(std::string_view reason)
{
    const RetryBudgetLimits &limits = this->context.edge.settings.retryBudget;
    const std::size_t daemons = this->context.peers.budgetSharers(limits.window);
    const bool taken = this->retryBudget().tryTake(limits, daemons, monotonicNow());
    if (taken) {
        this->context.edge.metrics.counter(metric::edgeRetries, reason).add();
    }
    this->context.edge.log.write(EventPriority::Notable, "retry",
                                 {{"request", this->request.id.str()},
                                  {"reason", reason},
                                  {"allowed", taken},
                                  {"daemons", daemons}});
    return taken;
}

void RequestFlow::retry()
{
    this->splitter.pending.clear();
    this->splitter.outOfOrder = false;
    this->splitter.resumed = true;
    if (this->waitIfUnderJudgement()) {
        return;
    }
    this->selectCandidates();
    if (this->usesEngine) {
        this->requestNextGrant();
    } else if (this->candidates.empty()) {
        this->refuse(ErrorCode::NoBackendServer, defaultRetryAfter);
    } else {
        this->sendToNextReplica();
    }
}

void RequestFlow::reportCrash(const std::shared_ptr<Attempt> &sent)
{
    const auto known = this->context.state.catalog.servers.find(sent->server);
    if (known == this->context.state.catalog.servers.end() || known->second.entry.draining
        || isDraining(this->context.state.availability, known->second.entry)) {
        return; // A planned end breaks off requests as well.
    }
    ServerEntry server;
    server.id = sent->server;
    server.address = sent->address;
    server.startedAtWallMs = sent->serverStartedAtWallMs;
    const bool early = !sent->started || monotonicNow() - this->firstChunkAt < earlyCrashTime;
    this->context.crashes.handleBrokenRequest(server, this->usesEngine, this->request.id,
                                              BrokenRequest{this->traits, sent->sentAt, early});
}

void RequestFlow::handleFailure(const std::shared_ptr<Attempt> &sent, ErrorCode code)
{
    const Millis now = monotonicNow();
    this->failedServers.insert(sent->server);
    const bool notSent = code == ErrorCode::ConnectFailed || code == ErrorCode::ClaimExpired;
    ServerStats &stats = this->context.state.serverStats[sent->server];
    if (notSent) {
        recordUnreachable(stats, now);
        this->possibleRuns -= this->possibleRuns > 0 ? 1 : 0;
    } else {
        recordResponse(stats, true);
    }
    this->context.edge.log.write(EventPriority::Notable, "send_failed",
                                 {{"request", this->request.id.str()},
                                  {"server", sent->server.str()},
                                  {"error", errorName(code)},
                                  {"after_ms", now - sent->sentAt},
                                  {"stream_started", this->streamStarted}});
    if (code == ErrorCode::ConnectionBroken) {
        ++this->brokenRuns;
        this->reportCrash(sent);
    }
    this->endAttempt(
            sent, code == ErrorCode::ConnectFailed ? GrantEvent::Unreachable : GrantEvent::Ended);
    const bool quarantined = this->brokenRuns >= maxBrokenRuns
            || convictedSuspect(this->context.state.crashEvidence, this->traits);
    if (notSent && !this->canEndBeforeStop(now)) {
        this->refuse(ErrorCode::Leaving, stopRetryAfter);
        return;
    }
    const bool mayRetry = !quarantined && (notSent || this->mayRepeat())
            && this->sendCount < maxSendCount && (!this->streamStarted || this->mayRepeat());
    if (mayRetry && this->tryTakeRetry(errorName(code))) {
        this->retry();
        return;
    }
    if (this->streamStarted) {
        this->breakStream(code, sent->server, sent->response.status);
    } else if (notSent) {
        this->refuse(ErrorCode::NoBackendServer, defaultRetryAfter);
    } else {
        this->fail(code == ErrorCode::Timeout ? httpstatus::gatewayTimeout : httpstatus::badGateway,
                   code);
    }
}

} // namespace balsamport
