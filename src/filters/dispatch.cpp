#include <balsamport/filters/dispatch.h>

#include <balsamport/core/http_status.h>
#include <balsamport/core/log.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/filters/answer.h>
#include <balsamport/filters/backend_request.h>
#include <balsamport/filters/ordering.h>
#include <balsamport/filters/outcome.h>
#include <balsamport/filters/stream_relay.h>
#include <balsamport/policy/claim_key.h>

#include <algorithm>
#include <array>
#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024;
constexpr Millis probeTimeout{300};

using Sources = std::shared_ptr<const DispatchSources>;

bool isEventStream(const HttpHeaders &headers)
{
    const auto type = findHeader(headers, headername::contentType);
    return type && type->rfind("text/event-stream", 0) == 0;
}

/// Tells whether a method may be sent again after it may have run.
bool isIdempotentMethod(std::string_view method)
{
    constexpr std::array<std::string_view, 5> methods{"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

/// Tells whether a request may run a second time.
bool mayRunAgain(const RequestContext &context)
{
    return context.repeatable
            && (context.endpoint != Endpoint::Service
                || isIdempotentMethod(context.request->method));
}

/// What the caller reads; the details of a transport's failure name inner addresses.
std::string callerText(const Error &error)
{
    constexpr std::uint16_t firstTransportNumber = 600;
    constexpr std::uint16_t pastTransportNumber = 700;
    const std::uint16_t number = errorNumber(error.code);
    const bool transport = number >= firstTransportNumber && number < pastTransportNumber;
    return transport || error.code == ErrorCode::ClaimExpired
            ? "the backend server did not answer the request"
            : error.detail;
}

/// Sends one request to backend servers, over retries and resumed streams, until it is answered.
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    BackendCall(Sources sources, Filter place, ContextPtr context)
        : sources(std::move(sources))
        , place(std::move(place))
        , context(std::move(context))
    { }

    void begin()
    {
        const std::weak_ptr<BackendCall> weak = this->weak_from_this();
        // A non-repeatable request is carried to its end, so that a repeat finds its answer.
        if (this->context->repeatable) {
            this->context->writer->onDisconnect([weak] {
                if (const auto self = weak.lock()) {
                    self->cancelForGone();
                }
            });
        }
        this->attempt();
    }

private:
    /// What has come in on the present connection.
    struct Incoming
    {
        ResponseHead head;
        bool headSeen = false;
        bool streaming = false;
        std::string body; ///< Of a whole answer.
        std::optional<Error> fault; ///< Why the exchange was cancelled from here.
    };

    void attempt();
    void send(OutgoingRequest request);
    ExchangeHandlers handlers();
    void cancelForGone();
    void breakOff(const Error &error);
    std::uint64_t currentExchange();

    bool mayStillSend();
    void takeHead(const ResponseHead &head);
    bool takePiece(std::string_view piece);
    bool takeStreamPiece(std::string_view piece);
    void takeDone(const Result<void> &result);
    void takeWholeAnswer();
    void startStreamOnce();
    void observeFirstPiece() const;
    void finishStream();
    void failStream(const Error &error);
    void endStream();

    void handleFailure(const Error &error);
    void findCrash(const Error &error);
    void takeCrash(const Error &error);
    void retryOrFail(const Error &error);
    [[nodiscard]] FailedAttempt failedAttempt(const Error &error) const;
    void resumeStream();
    void retryElsewhere(Millis delay);
    void giveUp(const Error &error);
    void release(PlacementEnd end);

    const Sources sources;
    const Filter place;
    const ContextPtr context;
    std::mutex mutex;
    std::uint64_t exchange = 0; ///< 0: none is under way. Under the lock.
    bool gone = false; ///< Under the lock.
    Incoming incoming;
    OrderedStream stream;
    std::shared_ptr<StreamRelay> relay;
    bool streamStarted = false;
    bool resuming = false; ///< The present connection continues a broken one.
};

void BackendCall::attempt()
{
    const Millis now = monotonicNow();
    this->resuming = false;
    this->context->attempts += 1;
    this->sources->retries->noteSent(this->context->placement->backendServer, now);
    this->stream.reconnect(0);
    this->send(backendRequestOf(*this->context, now));
}

void BackendCall::send(OutgoingRequest request)
{
    this->incoming = Incoming();
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->gone) {
            // The number is stored before any callback can take the lock.
            this->exchange = this->sources->backend.start(std::move(request), this->handlers());
            return;
        }
    }
    this->giveUp({ErrorCode::CallerGone, "the caller has left"});
}

ExchangeHandlers BackendCall::handlers()
{
    const auto self = this->shared_from_this();
    ExchangeHandlers handlers;
    handlers.mayStillSend = [self] { return self->mayStillSend(); };
    handlers.onHead = [self](const ResponseHead &head) { self->takeHead(head); };
    handlers.onBodyChunk = [self](std::string_view piece) { return self->takePiece(piece); };
    handlers.onDone = [self](const Result<void> &result) { self->takeDone(result); };
    return handlers;
}

void BackendCall::cancelForGone()
{
    std::uint64_t number = 0;
    {
        const std::scoped_lock lock(this->mutex);
        this->gone = true;
        number = this->exchange;
    }
    if (number != 0) {
        this->sources->backend.cancel(number);
    } else {
        // Between two attempts it may wait for a place.
        this->sources->grants.cancel(this->context->id);
    }
}

void BackendCall::breakOff(const Error &error)
{
    this->incoming.fault = error;
    const std::uint64_t number = this->currentExchange();
    if (number != 0) {
        this->sources->backend.cancel(number);
    }
}

std::uint64_t BackendCall::currentExchange()
{
    const std::scoped_lock lock(this->mutex);
    return this->exchange;
}

bool BackendCall::mayStillSend()
{
    const Millis now = monotonicNow();
    const bool expired = now >= this->context->deadline
            || (this->context->claim && now >= this->context->claim->dispatchBefore);
    if (expired) {
        return false;
    }
    this->context->run = std::max(this->context->run, RunState::Sent);
    return true;
}

void BackendCall::takeHead(const ResponseHead &head)
{
    this->incoming.head = head;
    this->incoming.headSeen = true;
    this->context->run = std::max(this->context->run, RunState::Sent);
    if (httpstatus::isError(head.status)) {
        return;
    }
    this->incoming.streaming
            = this->context->endpoint != Endpoint::Service && isEventStream(head.headers);
    const auto model = findHeader(head.headers, headername::model);
    if (this->context->adapter && model && *model != this->context->adapter->str()) {
        this->breakOff({ErrorCode::WrongVersion, "the backend server answered as another model"});
    }
}

bool BackendCall::takePiece(std::string_view piece)
{
    if (this->incoming.fault) {
        return true;
    }
    if (this->incoming.streaming) {
        return this->takeStreamPiece(piece);
    }
    if (this->incoming.body.size() + piece.size() > maxAnswerBytes) {
        this->breakOff({ErrorCode::BadResponse, "the answer is too long"});
        return true;
    }
    this->incoming.body.append(piece);
    return true;
}

bool BackendCall::takeStreamPiece(std::string_view piece)
{
    if (this->relay && !this->relay->hasRoom()) {
        return false;
    }
    auto text = this->stream.feed(piece);
    if (!text) {
        this->breakOff(text.error());
        return true;
    }
    if (text.value().empty()) {
        return true;
    }
    this->startStreamOnce();
    this->relay->write(std::move(text).value());
    return true;
}

void BackendCall::observeFirstPiece() const
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

void BackendCall::startStreamOnce()
{
    if (this->streamStarted) {
        return;
    }
    this->streamStarted = true;
    this->context->run = RunState::Ran;
    const std::weak_ptr<BackendCall> weak = this->weak_from_this();
    this->relay = std::make_shared<StreamRelay>(
            this->context->writer, this->context->snapshot->limits.streamBufferBytes, [weak] {
                const auto self = weak.lock();
                const std::uint64_t number = self ? self->currentExchange() : 0;
                if (number != 0) {
                    self->sources->backend.resume(number);
                }
            });
    this->observeFirstPiece();
    this->context->failStream = [weak](const Error &error) {
        if (const auto self = weak.lock()) {
            self->failStream(error);
        }
    };
    if (this->context->claimAnswer()) {
        HttpHeaders headers = callerHeadersOf(this->incoming.head.headers);
        this->context->answerStatus = this->incoming.head.status;
        addOutcomeHeaders(*this->context, headers);
        this->context->writer->startStream(this->incoming.head.status, headers);
    }
}

void BackendCall::takeDone(const Result<void> &result)
{
    bool callerGone = false;
    {
        const std::scoped_lock lock(this->mutex);
        this->exchange = 0;
        callerGone = this->gone;
    }
    if (callerGone) {
        this->giveUp({ErrorCode::CallerGone, "the caller has left"});
    } else if (this->incoming.fault) {
        this->handleFailure(*this->incoming.fault);
    } else if (this->incoming.streaming && this->stream.isComplete()) {
        this->finishStream();
    } else if (!result) {
        this->handleFailure(result.error());
    } else if (this->incoming.streaming || this->streamStarted) {
        this->handleFailure(
                {ErrorCode::AnswerIncomplete, "the stream ended before its last event"});
    } else {
        this->takeWholeAnswer();
    }
}

void BackendCall::takeWholeAnswer()
{
    const int status = this->incoming.head.status;
    const bool engine = this->context->endpoint != Endpoint::Service;
    if (engine && status == httpstatus::notFound) {
        this->handleFailure({ErrorCode::AdapterNotLoaded, "the engine has not loaded the adapter"});
        return;
    }
    if (httpstatus::isServerError(status) && mayRunAgain(*this->context)) {
        this->handleFailure({ErrorCode::BackendServerError,
                             "the backend server answered " + std::to_string(status)});
        return;
    }
    this->context->run = RunState::Ran;
    this->observeFirstPiece();
    this->release(PlacementEnd::Finished);
    HttpResponse answer{status, callerHeadersOf(this->incoming.head.headers),
                        std::move(this->incoming.body)};
    if (!this->context->repeatable && !httpstatus::isServerError(status)) {
        this->sources->answers->finish(scopedKey(this->context->caller, this->context->key),
                                       answer);
    }
    answerRequest(this->context, std::move(answer));
}

void BackendCall::finishStream()
{
    this->release(PlacementEnd::Finished);
    this->endStream();
}

void BackendCall::endStream()
{
    // The request counts as in progress until the caller has all of it.
    this->relay->whenDrained([finished = this->context] {
        finished->writer->finish();
        finished->end();
    });
}

void BackendCall::handleFailure(const Error &error)
{
    const bool neverSent
            = error.code == ErrorCode::ConnectFailed || error.code == ErrorCode::ClaimExpired;
    if (!neverSent) {
        this->context->run = std::max(this->context->run, RunState::Sent);
    }
    const BackendServerId server = this->context->placement->backendServer;
    LOG(INFO) << logprefix::retry << "Attempt failed. request=" << this->context->id
              << " server=" << server << " error=" << describe(error)
              << " chunks=" << this->stream.next();
    if (error.code != ErrorCode::AdapterNotLoaded && error.code != ErrorCode::ClaimExpired) {
        this->sources->retries->noteFailure(server, monotonicNow());
    }
    const bool engine = this->context->endpoint != Endpoint::Service;
    const bool lostWhileRunning = this->resuming
            && (error.code == ErrorCode::ConnectFailed
                || this->incoming.head.status == httpstatus::notFound);
    if (engine && lostWhileRunning) {
        this->takeCrash(error);
    } else if (engine && error.code == ErrorCode::ConnectionBroken
               && (!this->streamStarted || this->resuming)) {
        this->findCrash(error);
    } else {
        this->retryOrFail(error);
    }
}

/// Cancels what is left of the request. An engine that cannot be reached has died; one that does
/// not know the request has died and started again.
void BackendCall::findCrash(const Error &error)
{
    OutgoingRequest probe = cancelRequestOf(*this->context);
    probe.connectTimeout = probeTimeout;
    probe.timeout = probeTimeout;
    const auto self = this->shared_from_this();
    const auto status = std::make_shared<int>(0);
    ExchangeHandlers handlers;
    handlers.onHead = [status](const ResponseHead &head) { *status = head.status; };
    handlers.onDone = [self, error, status](const Result<void> &result) {
        const bool unreachable = !result && result.error().code != ErrorCode::Timeout;
        if (unreachable || *status == httpstatus::notFound) {
            self->takeCrash(error);
        } else {
            self->retryOrFail(error);
        }
    };
    this->sources->backend.start(std::move(probe), std::move(handlers));
}

/// Goes on once the others know of the crash, so that a resend meets the news.
void BackendCall::takeCrash(const Error &error)
{
    const BackendServerId server = this->context->placement->backendServer;
    LOG(WARNING) << logprefix::suspect << "Backend server died. request=" << this->context->id
                 << " server=" << server;
    this->release(PlacementEnd::ServerCrashed);
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
    failed.sent = request.run != RunState::NotSent;
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
        this->release(notRun ? PlacementEnd::Returned : PlacementEnd::Broken);
    }
    if (decision.action == RetryAction::TryAnother) {
        this->retryElsewhere(decision.delay);
        return;
    }
    this->giveUp({decision.failure.value_or(error.code), error.detail});
}

void BackendCall::resumeStream()
{
    this->resuming = true;
    this->stream.reconnect(this->stream.next());
    LOG(INFO) << logprefix::retry << "Stream resumed. request=" << this->context->id
              << " next=" << this->stream.next();
    this->send(resumeRequestOf(*this->context, this->stream.next(), monotonicNow()));
}

void BackendCall::retryElsewhere(Millis delay)
{
    const auto self = this->shared_from_this();
    this->sources->timer(delay,
                         [self] { self->place(self->context, [self] { self->attempt(); }); });
}

void BackendCall::giveUp(const Error &error)
{
    if (error.code == ErrorCode::CallerGone && this->context->placement) {
        if (this->context->endpoint != Endpoint::Service) {
            this->sources->backend.start(cancelRequestOf(*this->context), ExchangeHandlers());
        }
        this->release(PlacementEnd::Cancelled);
    }
    const bool late = error.code == ErrorCode::ClaimExpired && !this->context->claim;
    failRequest(this->context,
                {late ? ErrorCode::DeadlineExceeded : error.code, callerText(error)});
}

/// The caller sees a typed error instead of the last event.
void BackendCall::failStream(const Error &error)
{
    this->relay->write("data: " + errorBody(error) + "\n\n");
    this->endStream();
}

void BackendCall::release(PlacementEnd end)
{
    RequestContext &request = *this->context;
    if (!request.placement) {
        return;
    }
    const Placement placement = *request.placement;
    request.placement.reset();
    this->sources->grants.release(placement, end);
    const bool engine = request.endpoint != Endpoint::Service;
    if (end == PlacementEnd::Finished) {
        this->sources->retries->noteSuccess(placement.backendServer,
                                            request.snapshot->limits.retryPercent);
        if (engine) {
            this->sources->suspects.reportFinished(request.fingerprint, request.id);
        }
    } else if (engine && request.alone && end != PlacementEnd::ServerCrashed) {
        this->sources->suspects.reportRunEnded(request.fingerprint, request.id);
    }
}

} // namespace

Filter makeDispatchFilter(DispatchSources sources, Filter place)
{
    const auto shared = std::make_shared<const DispatchSources>(std::move(sources));
    return [shared, place = std::move(place)](const ContextPtr &context, const Next & /*next*/) {
        std::make_shared<BackendCall>(shared, place, context)->begin();
    };
}

} // namespace balsamport
