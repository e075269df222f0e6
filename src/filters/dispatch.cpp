#include <balsamport/filters/dispatch.h>

#include <balsamport/core/log.h>
#include <balsamport/filters/answer.h>
#include <balsamport/filters/backend_request.h>
#include <balsamport/filters/grant.h>
#include <balsamport/filters/ordering.h>
#include <balsamport/filters/outcome.h>
#include <balsamport/filters/stream_relay.h>

#include <algorithm>
#include <array>
#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t maxAnswerBytes = std::size_t{16} * 1024 * 1024;
constexpr std::uint32_t maxResumes = 3;
constexpr int firstErrorStatus = 400;
constexpr int firstServerErrorStatus = 500;
constexpr int notFoundStatus = 404;

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

bool mayRunAgain(const RequestContext &context)
{
    if (context.run == RunState::NotSent) {
        return true;
    }
    return context.repeatable
            && (context.endpoint != Endpoint::Service
                || isIdempotentMethod(context.request->method));
}

/// Sends one request to backend servers, over retries and resumed streams, until it is answered.
class BackendCall : public std::enable_shared_from_this<BackendCall>
{
public:
    BackendCall(Sources sources, Filter grant, ContextPtr context)
        : sources(std::move(sources))
        , grant(std::move(grant))
        , context(std::move(context))
    { }

    void begin()
    {
        const std::weak_ptr<BackendCall> weak = this->weak_from_this();
        // A non-repeatable request is carried to its end, so that a repeat finds its answer.
        if (this->context->repeatable) {
            this->context->writer->onGone([weak] {
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
    void finishStream();
    void endStream();

    void handleFailure(const Error &error);
    bool resumeStream(const Error &error);
    void retryOrFail(const Error &error);
    void retryElsewhere(Millis delay);
    void giveUp(const Error &error);
    void release(PlacementEnd end);
    void releaseAfter(const Error &error);

    const Sources sources;
    const Filter grant;
    const ContextPtr context;
    std::mutex mutex;
    std::uint64_t exchange = 0; ///< 0: none is under way. Under the lock.
    bool gone = false; ///< Under the lock.
    Incoming incoming;
    OrderedStream stream;
    std::shared_ptr<StreamRelay> relay;
    bool streamStarted = false;
    std::uint32_t resumes = 0;
    Millis sentAt;
    std::optional<Millis> firstToken;
};

void BackendCall::attempt()
{
    this->sentAt = monotonicNow();
    this->context->attempts += 1;
    this->send(backendRequestOf(*this->context, this->sentAt));
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
    handlers.onPiece = [self](std::string_view piece) { return self->takePiece(piece); };
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
    if (head.status >= firstErrorStatus) {
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
    const std::uint64_t before = this->stream.chunks();
    auto text = this->stream.feed(piece);
    if (!text) {
        this->breakOff(text.error());
        return true;
    }
    if (text.value().empty()) {
        return true;
    }
    if (this->stream.chunks() > before) {
        this->resumes = 0;
    }
    this->startStreamOnce();
    this->relay->write(std::move(text).value());
    return true;
}

void BackendCall::startStreamOnce()
{
    if (this->streamStarted) {
        return;
    }
    this->streamStarted = true;
    this->firstToken = monotonicNow() - this->sentAt;
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
    if (this->context->claimAnswer()) {
        HttpHeaders headers = callerHeadersOf(this->incoming.head.headers);
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
    if (engine && status == notFoundStatus) {
        this->handleFailure({ErrorCode::AdapterNotLoaded, "the engine has not loaded the adapter"});
        return;
    }
    const bool serverError = status >= firstServerErrorStatus;
    if (serverError && mayRunAgain(*this->context)) {
        this->handleFailure({ErrorCode::BackendServerError,
                             "the backend server answered " + std::to_string(status)});
        return;
    }
    if (!serverError) {
        this->context->run = RunState::Ran;
    }
    this->firstToken = monotonicNow() - this->sentAt;
    this->release(PlacementEnd::Finished);
    HttpAnswer answer{status, callerHeadersOf(this->incoming.head.headers),
                      std::move(this->incoming.body)};
    if (!this->context->repeatable && this->context->run == RunState::Ran) {
        this->sources->answers->finish(this->context->key, answer);
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
    LOG(INFO) << logprefix::retry << "Attempt failed. request=" << this->context->id
              << " server=" << this->context->placement->backendServer
              << " error=" << errorName(error.code) << " chunks=" << this->stream.chunks();
    if (this->streamStarted) {
        if (!this->resumeStream(error)) {
            this->releaseAfter(error);
            this->giveUp(error);
        }
        return;
    }
    this->releaseAfter(error);
    this->retryOrFail(error);
}

bool BackendCall::resumeStream(const Error &error)
{
    const bool broken = error.code == ErrorCode::ConnectionBroken
            || error.code == ErrorCode::AnswerIncomplete || error.code == ErrorCode::BadResponse;
    if (!broken || this->resumes >= maxResumes || this->stream.chunks() == 0
        || monotonicNow() >= this->context->deadline) {
        return false;
    }
    this->resumes += 1;
    this->stream.reconnect();
    LOG(INFO) << logprefix::retry << "Stream resumed. request=" << this->context->id
              << " after=" << this->stream.chunks() - 1;
    this->send(resumeRequestOf(*this->context, this->stream.chunks(), monotonicNow()));
    return true;
}

void BackendCall::retryOrFail(const Error &error)
{
    if (error.code == ErrorCode::ClaimExpired || !mayRunAgain(*this->context)) {
        this->giveUp(error);
        return;
    }
    const auto delay
            = this->sources->retries.next(this->context->attempts, this->context->deadline);
    if (!delay) {
        this->giveUp(error);
        return;
    }
    this->retryElsewhere(*delay);
}

void BackendCall::retryElsewhere(Millis delay)
{
    const auto self = this->shared_from_this();
    this->sources->timer(delay,
                         [self] { self->grant(self->context, [self] { self->attempt(); }); });
}

void BackendCall::giveUp(const Error &error)
{
    if (error.code == ErrorCode::CallerGone && this->context->placement) {
        if (this->context->endpoint != Endpoint::Service) {
            this->sources->backend.start(cancelRequestOf(*this->context), ExchangeHandlers());
        }
        this->release(PlacementEnd::Cancelled);
    }
    if (!this->streamStarted) {
        failRequest(this->context, error);
        return;
    }
    // The caller sees a typed error instead of the last event.
    this->relay->write("data: " + errorBody(error) + "\n\n");
    this->endStream();
}

void BackendCall::releaseAfter(const Error &error)
{
    const BackendServerId server = this->context->placement->backendServer;
    this->context->triedServers.push_back(server);
    switch (error.code) {
    case ErrorCode::ConnectFailed:
    case ErrorCode::ClaimExpired:
    case ErrorCode::AdapterNotLoaded:
        this->release(PlacementEnd::Returned);
        break;
    case ErrorCode::ConnectionBroken:
        if (this->context->endpoint != Endpoint::Service) {
            this->sources->suspects.crashed(this->context->fingerprint, server);
        }
        this->release(PlacementEnd::Broken);
        break;
    default:
        this->release(PlacementEnd::Broken);
        break;
    }
}

void BackendCall::release(PlacementEnd end)
{
    if (!this->context->placement) {
        return;
    }
    const Placement placement = *this->context->placement;
    this->context->placement.reset();
    const PlacementReport report{end, this->firstToken.value_or(Millis(0)),
                                 static_cast<std::uint32_t>(this->stream.chunks())};
    this->sources->grants.release(placementQueryOf(*this->context), placement, report);
    const bool failed = end == PlacementEnd::Broken || end == PlacementEnd::ServerCrashed;
    if (end == PlacementEnd::Finished || failed) {
        this->sources->retries.record(placement.backendServer, !failed);
    }
    if (end == PlacementEnd::Finished) {
        this->sources->suspects.finished(this->context->fingerprint);
    }
}

} // namespace

Filter makeDispatchFilter(DispatchSources sources, Filter grant)
{
    const auto shared = std::make_shared<const DispatchSources>(std::move(sources));
    return [shared, grant = std::move(grant)](const ContextPtr &context, const Next & /*next*/) {
        std::make_shared<BackendCall>(shared, grant, context)->begin();
    };
}

} // namespace balsamport
