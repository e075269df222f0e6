#include <balsamport/filters/dispatch.h>

#include <balsamport/core/http_status.h>
#include <balsamport/core/log.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/filters/backend_request.h>
#include <balsamport/filters/ordered_stream.h>
#include <balsamport/filters/outcome.h>
#include <balsamport/filters/response.h>
#include <balsamport/filters/stream_relay.h>
#include <balsamport/policy/claim_key.h>

#include <algorithm>
#include <array>
#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t maxResponseBytes = std::size_t{16} * 1024 * 1024;
/// For the connection and for the whole exchange of a crash probe.
constexpr Millis crashProbeTimeout{300};

using Sources = std::shared_ptr<const DispatchSources>;

bool isEventStream(const HttpHeaders &headers)
{
    const auto type = findHeader(headers, headername::contentType);
    return type && type->rfind("text/event-stream", 0) == 0;
}

/// Whether a request with this method may be resent after it may have run.
bool isIdempotentMethod(std::string_view method)
{
    constexpr std::array<std::string_view, 5> methods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

/// Whether a request may run a second time.
bool mayRunAgain(const RequestContext &context)
{
    return context.repeatable
            && (context.endpoint != Endpoint::Service
                || isIdempotentMethod(context.request->method));
}

/// The error message for the caller. Details of transport errors are left out, as they contain
/// internal addresses.
std::string callerMessage(const Error &error)
{
    constexpr std::uint16_t firstTransportNumber = 600;
    constexpr std::uint16_t endTransportNumber = 700;
    const std::uint16_t number = errorNumber(error.code);
    const bool isTransportError = number >= firstTransportNumber && number < endTransportNumber;
    return isTransportError || error.code == ErrorCode::ClaimExpired
            ? "the backend server did not answer the request"
            : error.detail;
}

/// Sends one request to backend servers, with retries and resumed streams, until it is completed.
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    BackendCall(Sources sources, Filter acquirePlacement, ContextPtr context)
        : sources(std::move(sources))
        , acquirePlacement(std::move(acquirePlacement))
        , context(std::move(context))
    { }

    void begin()
    {
        const std::weak_ptr<BackendCall> weak = this->weak_from_this();
        // A non-repeatable request runs to its end, so that a repeat finds its response in the
        // cache.
        if (this->context->repeatable) {
            this->context->writer->onDisconnect([weak] {
                if (const auto self = weak.lock()) {
                    self->cancelForDisconnect();
                }
            });
        }
        this->startAttempt();
    }

private:
    /// What was received in the current exchange.
    struct ExchangeState
    {
        ResponseHead head;
        bool headReceived = false;
        bool streaming = false;
        std::string body; ///< Of a response that is not a stream.
        std::optional<Error> abortReason; ///< Set where abortExchange() cancelled the exchange.
    };

    void startAttempt();
    void send(OutgoingRequest request);
    ExchangeHandlers exchangeHandlers();
    void cancelForDisconnect();
    void abortExchange(const Error &error);
    std::uint64_t currentExchangeId();

    bool mayStillSend();
    void handleHead(const ResponseHead &head);
    bool handleBodyChunk(std::string_view chunk);
    bool handleStreamChunk(std::string_view chunk);
    void handleDone(const Result<void> &result);
    void handleCompleteResponse();
    void startCallerStream();
    void observeFirstToken() const;
    void finishStream();
    void failStream(const Error &error);
    void endStream();

    void handleFailure(const Error &error);
    void probeForCrash(const Error &error);
    void handleCrash(const Error &error);
    void retryOrFail(const Error &error);
    [[nodiscard]] FailedAttempt failedAttempt(const Error &error) const;
    void resumeStream();
    void retryOnAnotherServer(Millis delay);
    void endWithError(const Error &error);
    void releasePlacement(PlacementEnd end);

    const Sources sources;
    const Filter acquirePlacement;
    const ContextPtr context;
    std::mutex mutex;
    std::uint64_t exchangeId = 0; ///< 0 where no exchange is in progress. Guarded by mutex.
    bool callerDisconnected = false; ///< Guarded by mutex.
    ExchangeState received;
    OrderedStream orderedStream;
    std::shared_ptr<StreamRelay> relay;
    bool streamStarted = false;
    bool resuming = false; ///< The current exchange continues a broken stream.
};

void BackendCall::startAttempt()
{
    const Millis now = monotonicNow();
    this->resuming = false;
    this->context->attempts += 1;
    this->sources->retries->recordSent(this->context->placement->backendServer, now);
    this->orderedStream.reconnect(0);
    this->send(backendRequestOf(*this->context, now));
}

void BackendCall::send(OutgoingRequest request)
{
    this->received = ExchangeState();
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->callerDisconnected) {
            // The lock is held so that no callback reads the id before it is stored.
            this->exchangeId
                    = this->sources->backend.start(std::move(request), this->exchangeHandlers());
            return;
        }
    }
    this->endWithError({ErrorCode::CallerGone, "the caller has left"});
}

ExchangeHandlers BackendCall::exchangeHandlers()
{
    const auto self = this->shared_from_this();
    ExchangeHandlers handlers;
    handlers.mayStillSend = [self] { return self->mayStillSend(); };
    handlers.onHead = [self](const ResponseHead &head) { self->handleHead(head); };
    handlers.onBodyChunk = [self](std::string_view chunk) { return self->handleBodyChunk(chunk); };
    handlers.onDone = [self](const Result<void> &result) { self->handleDone(result); };
    return handlers;
}

void BackendCall::cancelForDisconnect()
{
    std::uint64_t id = 0;
    {
        const std::scoped_lock lock(this->mutex);
        this->callerDisconnected = true;
        id = this->exchangeId;
    }
    if (id != 0) {
        this->sources->backend.cancel(id);
    } else {
        // Between two attempts the request may wait for a placement.
        this->sources->grants.cancel(this->context->id);
    }
}

void BackendCall::abortExchange(const Error &error)
{
    this->received.abortReason = error;
    const std::uint64_t id = this->currentExchangeId();
    if (id != 0) {
        this->sources->backend.cancel(id);
    }
}

std::uint64_t BackendCall::currentExchangeId()
{
    const std::scoped_lock lock(this->mutex);
    return this->exchangeId;
}

bool BackendCall::mayStillSend()
{
    const Millis now = monotonicNow();
    const bool expired = now >= this->context->deadline
            || (this->context->claim && now >= this->context->claim->dispatchBefore);
    if (expired) {
        return false;
    }
    this->context->runState = std::max(this->context->runState, RunState::Sent);
    return true;
}

void BackendCall::handleHead(const ResponseHead &head)
{
    this->received.head = head;
    this->received.headReceived = true;
    this->context->runState = std::max(this->context->runState, RunState::Sent);
    if (httpstatus::isError(head.status)) {
        return;
    }
    this->received.streaming
            = this->context->endpoint != Endpoint::Service && isEventStream(head.headers);
    const auto model = findHeader(head.headers, headername::model);
    if (this->context->adapter && model && *model != this->context->adapter->str()) {
        this->abortExchange(
                {ErrorCode::WrongVersion, "the backend server answered as another model"});
    }
}

bool BackendCall::handleBodyChunk(std::string_view chunk)
{
    if (this->received.abortReason) {
        return true;
    }
    if (this->received.streaming) {
        return this->handleStreamChunk(chunk);
    }
    if (this->received.body.size() + chunk.size() > maxResponseBytes) {
        this->abortExchange({ErrorCode::BadResponse, "the answer is too long"});
        return true;
    }
    this->received.body.append(chunk);
    return true;
}

bool BackendCall::handleStreamChunk(std::string_view chunk)
{
    if (this->relay && !this->relay->hasCapacity()) {
        return false;
    }
    auto text = this->orderedStream.feed(chunk);
    if (!text) {
        this->abortExchange(text.error());
        return true;
    }
    if (text.value().empty()) {
        return true;
    }
    this->startCallerStream();
    this->relay->write(std::move(text).value());
    return true;
}

void BackendCall::observeFirstToken() const
{
    if (this->context->endpoint == Endpoint::Service) {
        return;
    }
    static Summary &firstToken = processMetrics().summary(metric::firstToken);
    constexpr double millisPerSecond = 1'000;
    const Millis now = monotonicNow();
    firstToken.observe(
            static_cast<double>((now - this->context->arrived).count()) / millisPerSecond, now);
}

void BackendCall::startCallerStream()
{
    if (this->streamStarted) {
        return;
    }
    this->streamStarted = true;
    this->context->runState = RunState::Ran;
    const std::weak_ptr<BackendCall> weak = this->weak_from_this();
    this->relay = std::make_shared<StreamRelay>(
            this->context->writer, this->context->snapshot->limits.streamBufferBytes, [weak] {
                const auto self = weak.lock();
                const std::uint64_t id = self ? self->currentExchangeId() : 0;
                if (id != 0) {
                    self->sources->backend.resume(id);
                }
            });
    this->observeFirstToken();
    this->context->failStream = [weak](const Error &error) {
        if (const auto self = weak.lock()) {
            self->failStream(error);
        }
    };
    if (this->context->claimResponse()) {
        HttpHeaders headers = callerHeadersOf(this->received.head.headers);
        this->context->responseStatus = this->received.head.status;
        addOutcomeHeaders(*this->context, headers);
        this->context->writer->startStream(this->received.head.status, headers);
    }
}

void BackendCall::handleDone(const Result<void> &result)
{
    bool disconnected = false;
    {
        const std::scoped_lock lock(this->mutex);
        this->exchangeId = 0;
        disconnected = this->callerDisconnected;
    }
    if (disconnected) {
        this->endWithError({ErrorCode::CallerGone, "the caller has left"});
    } else if (this->received.abortReason) {
        this->handleFailure(*this->received.abortReason);
    } else if (this->received.streaming && this->orderedStream.isComplete()) {
        this->finishStream();
    } else if (!result) {
        this->handleFailure(result.error());
    } else if (this->received.streaming || this->streamStarted) {
        this->handleFailure(
                {ErrorCode::AnswerIncomplete, "the stream ended before its last event"});
    } else {
        this->handleCompleteResponse();
    }
}

void BackendCall::handleCompleteResponse()
{
    const int status = this->received.head.status;
    const bool onEngine = this->context->endpoint != Endpoint::Service;
    if (onEngine && status == httpstatus::notFound) {
        this->handleFailure({ErrorCode::AdapterNotLoaded, "the engine has not loaded the adapter"});
        return;
    }
    if (httpstatus::isServerError(status) && mayRunAgain(*this->context)) {
        this->handleFailure({ErrorCode::BackendServerError,
                             "the backend server answered " + std::to_string(status)});
        return;
    }
    this->context->runState = RunState::Ran;
    this->observeFirstToken();
    this->releasePlacement(PlacementEnd::Finished);
    HttpResponse response{status, callerHeadersOf(this->received.head.headers),
                          std::move(this->received.body)};
    if (!this->context->repeatable && !httpstatus::isServerError(status)) {
        this->sources->responseCache->finish(scopedKey(this->context->caller, this->context->key),
                                             response);
    }
    completeRequest(this->context, std::move(response));
}

void BackendCall::finishStream()
{
    this->releasePlacement(PlacementEnd::Finished);
    this->endStream();
}

void BackendCall::endStream()
{
    // The request counts as in progress until the caller has received the complete stream.
    this->relay->onDrained([finished = this->context] {
        finished->writer->finish();
        finished->end();
    });
}

void BackendCall::handleFailure(const Error &error)
{
    const bool neverSent
            = error.code == ErrorCode::ConnectFailed || error.code == ErrorCode::ClaimExpired;
    if (!neverSent) {
        this->context->runState = std::max(this->context->runState, RunState::Sent);
    }
    const BackendServerId server = this->context->placement->backendServer;
    LOG(INFO) << logprefix::retry << "Attempt failed. request=" << this->context->id
              << " server=" << server << " error=" << describe(error)
              << " chunks=" << this->orderedStream.next();
    if (error.code != ErrorCode::AdapterNotLoaded && error.code != ErrorCode::ClaimExpired) {
        this->sources->retries->recordFailure(server, monotonicNow());
    }
    const bool onEngine = this->context->endpoint != Endpoint::Service;
    const bool lostWhileResuming = this->resuming
            && (error.code == ErrorCode::ConnectFailed
                || this->received.head.status == httpstatus::notFound);
    if (onEngine && lostWhileResuming) {
        this->handleCrash(error);
    } else if (onEngine && error.code == ErrorCode::ConnectionBroken
               && (!this->streamStarted || this->resuming)) {
        this->probeForCrash(error);
    } else {
        this->retryOrFail(error);
    }
}

/// Cancels the request on its engine. An engine that cannot be reached has crashed; one that does
/// not know the request has crashed and restarted.
void BackendCall::probeForCrash(const Error &error)
{
    OutgoingRequest probe = cancelRequestOf(*this->context);
    probe.connectTimeout = crashProbeTimeout;
    probe.timeout = crashProbeTimeout;
    const auto self = this->shared_from_this();
    const auto status = std::make_shared<int>(0);
    ExchangeHandlers handlers;
    handlers.onHead = [status](const ResponseHead &head) { *status = head.status; };
    handlers.onDone = [self, error, status](const Result<void> &result) {
        const bool unreachable = !result && result.error().code != ErrorCode::Timeout;
        if (unreachable || *status == httpstatus::notFound) {
            self->handleCrash(error);
        } else {
            self->retryOrFail(error);
        }
    };
    this->sources->backend.start(std::move(probe), std::move(handlers));
}

/// Continues once the crash has been announced to the other VMs, so that a resent request is
/// recognized as a suspect there.
void BackendCall::handleCrash(const Error &error)
{
    const BackendServerId server = this->context->placement->backendServer;
    LOG(WARNING) << logprefix::suspect << "Backend server crashed. request=" << this->context->id
                 << " server=" << server;
    this->releasePlacement(PlacementEnd::ServerCrashed);
    const auto self = this->shared_from_this();
    const Error crash{ErrorCode::BackendServerCrashed, error.detail};
    this->sources->suspects.reportCrash(this->context->fingerprint, this->context->id, server,
                                        [self, crash] { self->retryOrFail(crash); });
}

FailedAttempt BackendCall::failedAttempt(const Error &error) const
{
    const RequestContext &request = *this->context;
    FailedAttempt failed;
    failed.failure = error.code;
    failed.repeatable = mayRunAgain(request);
    failed.sent = request.runState != RunState::NotSent;
    failed.responseStarted = this->streamStarted;
    failed.resumable = this->streamStarted && !this->resuming && request.placement.has_value();
    failed.attempts = request.attempts;
    failed.now = monotonicNow();
    failed.deadline = request.claim ? std::min(request.deadline, request.claim->dispatchBefore)
                                    : request.deadline;
    return failed;
}

void BackendCall::retryOrFail(const Error &error)
{
    const RetryDecision decision = this->sources->retries->decide(this->failedAttempt(error));
    if (decision.action == RetryAction::Resume) {
        this->resumeStream();
        return;
    }
    if (this->context->placement) {
        this->context->triedServers.push_back(this->context->placement->backendServer);
        const bool notRun = error.code == ErrorCode::ConnectFailed
                || error.code == ErrorCode::ClaimExpired
                || error.code == ErrorCode::AdapterNotLoaded;
        this->releasePlacement(notRun ? PlacementEnd::Returned : PlacementEnd::Broken);
    }
    if (decision.action == RetryAction::TryAnother) {
        this->retryOnAnotherServer(decision.delay);
        return;
    }
    this->endWithError({decision.failure.value_or(error.code), error.detail});
}

void BackendCall::resumeStream()
{
    this->resuming = true;
    this->orderedStream.reconnect(this->orderedStream.next());
    LOG(INFO) << logprefix::retry << "Stream resumed. request=" << this->context->id
              << " next=" << this->orderedStream.next();
    this->send(resumeRequestOf(*this->context, this->orderedStream.next(), monotonicNow()));
}

void BackendCall::retryOnAnotherServer(Millis delay)
{
    const auto self = this->shared_from_this();
    this->sources->timer(delay, [self] {
        self->acquirePlacement(self->context, [self] { self->startAttempt(); });
    });
}

void BackendCall::endWithError(const Error &error)
{
    if (error.code == ErrorCode::CallerGone && this->context->placement) {
        if (this->context->endpoint != Endpoint::Service) {
            this->sources->backend.start(cancelRequestOf(*this->context), ExchangeHandlers());
        }
        this->releasePlacement(PlacementEnd::Cancelled);
    }
    const bool deadlinePassed = error.code == ErrorCode::ClaimExpired && !this->context->claim;
    failRequest(this->context,
                {deadlinePassed ? ErrorCode::DeadlineExceeded : error.code, callerMessage(error)});
}

/// Sends the caller a typed error in place of the last event.
void BackendCall::failStream(const Error &error)
{
    this->relay->write("data: " + errorBody(error) + "\n\n");
    this->endStream();
}

void BackendCall::releasePlacement(PlacementEnd end)
{
    RequestContext &request = *this->context;
    if (!request.placement) {
        return;
    }
    const Placement placement = *request.placement;
    request.placement.reset();
    this->sources->grants.release(placement, end);
    const bool onEngine = request.endpoint != Endpoint::Service;
    if (end == PlacementEnd::Finished) {
        this->sources->retries->recordSuccess(placement.backendServer,
                                              request.snapshot->limits.retryPercent);
        if (onEngine) {
            this->sources->suspects.reportFinished(request.fingerprint, request.id);
        }
    } else if (onEngine && request.runAlone && end != PlacementEnd::ServerCrashed) {
        this->sources->suspects.reportRunEnded(request.fingerprint, request.id);
    }
}

} // namespace

Filter makeDispatchFilter(DispatchSources sources, Filter acquirePlacement)
{
    const auto sharedSources = std::make_shared<const DispatchSources>(std::move(sources));
    return [sharedSources, acquirePlacement = std::move(acquirePlacement)](
                   const ContextPtr &context, const Next & /*next*/) {
        std::make_shared<BackendCall>(sharedSources, acquirePlacement, context)->begin();
    };
}

} // namespace balsamport
