#include "response_writer.h"

#include "request_check.h"

#include <balsamport/core/http_status.h>
#include <balsamport/core/log.h>

#include <http_parser.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Largest stream that is collected for a caller of HTTP/1.0.
constexpr std::size_t maxCollectedBytes = 8 * 1024 * 1024;

/// Smallest number of writers of closed connections at which expired ones are removed. The
/// threshold is then set to twice the number that remains, so that removal is cheap on average.
constexpr std::size_t minPurgeThreshold = 64;

/// Unsent bytes of a stream up to which it goes on when the memory of all connections is used up.
constexpr std::size_t smallStreamBytes = 64 * 1024;
/// Memory of a request up to which it is handled when the memory of all connections is used up.
constexpr std::uint64_t smallRequestMemory = 64 * 1024;

restinio::http_status_line_t statusLine(int status)
{
    return restinio::http_status_line_t{
            restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            http_status_str(static_cast<http_status>(status))};
}

/// Whether a header is `Connection: close`, which RESTinio writes itself before it closes the
/// connection.
bool isConnectionClose(const HttpHeader &header)
{
    return findHeader(HttpHeaders{header}, "Connection") == "close";
}

template<typename Builder>
void addHeaders(Builder &builder, const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        if (!isConnectionClose(header)) {
            builder.append_header(header.name, header.value);
        }
    }
}

bool wantsClose(const HttpHeaders &headers)
{
    return std::any_of(headers.begin(), headers.end(), isConnectionClose);
}

bool isForHeadAlone(const restinio::http_request_header_t &header)
{
    return header.method() == restinio::http_method_head();
}

/// @return false for a caller of HTTP/1.0, which knows no chunked responses
///
/// RESTinio does not pass on the version of a request: one of HTTP/1.0 shows by a connection that
/// is not kept although no header field asks for that.
bool knowsChunks(const restinio::http_request_header_t &header)
{
    return header.should_keep_alive() || header.has_field("Connection");
}

/// @return false if a stream must end with its connection: a caller of HTTP/1.0 that asks for a
/// kept connection gets chunks, and reads them to the end of the connection
bool mayKeepAfterStream(const restinio::http_request_header_t &header)
{
    return header.should_keep_alive() && !header.has_field("Connection");
}

} // namespace

RestinioWriter::RestinioWriter(restinio::request_handle_t handle,
                               std::shared_ptr<ConnectionRegistry> connections,
                               MemoryReservation requestMemory)
    : registry(std::move(connections))
    , memory(std::move(requestMemory))
    , request(std::move(handle))
{ }

std::function<void(const asio::error_code &)>
RestinioWriter::countWrite(std::function<void()> onWritten, std::size_t bytes) const
{
    std::shared_ptr<std::atomic<std::uint32_t>> count = this->registry->unsentWrites();
    ++*count;
    *this->unsentBytes += bytes;
    auto reserved = std::make_shared<MemoryReservation>(this->registry->memoryBudget());
    reserved->grow(bytes);
    return [count = std::move(count), reserved = std::move(reserved), unsent = this->unsentBytes,
            longest = this->registry->longestWriteMs(), startedAt = monotonicNow(), bytes,
            callback = std::move(onWritten)](const asio::error_code & /*failure*/) {
        const std::int64_t took = (monotonicNow() - startedAt).count();
        if (took > *longest) {
            *longest = took; // A lost update only hides one of two long writes.
        }
        --*count;
        *unsent -= bytes;
        reserved->reset();
        if (callback) {
            callback();
        }
    };
}

RestinioWriter::~RestinioWriter()
{
    this->breakResponse();
}

void RestinioWriter::send(const HttpResponse &response)
{
    const std::lock_guard lock(this->mutex);
    if (this->responseStarted || !this->request) {
        return;
    }
    this->sendLocked(response);
}

void RestinioWriter::sendLocked(const HttpResponse &response)
{
    this->responseStarted = true;
    const restinio::http_request_header_t &header = this->request->header();
    const bool closes = this->registry->completeResponse(this->request->connection_id(),
                                                         !header.should_keep_alive(),
                                                         wantsClose(response.headers));
    if (isForHeadAlone(header)) {
        // The response has the length of the body, but not the body.
        auto builder = this->request->create_response<restinio::user_controlled_output_t>(
                statusLine(response.status));
        addHeaders(builder, response.headers);
        if (closes) {
            builder.connection_close();
        }
        builder.set_content_length(response.body.size());
        builder.done(this->countWrite({}, 0));
    } else {
        auto builder = this->request->create_response(statusLine(response.status));
        addHeaders(builder, response.headers);
        if (closes) {
            builder.connection_close();
        }
        builder.set_body(response.body);
        builder.done(this->countWrite({}, response.body.size()));
    }
}

void RestinioWriter::refuse(const Error &error)
{
    const std::lock_guard lock(this->mutex);
    if (this->responseStarted || !this->request) {
        return;
    }
    this->responseStarted = true;
    this->registry->endAfterRefusal(this->request->connection_id(), error);
    this->request->create_response(statusLine(httpstatus::badRequest))
            .connection_close()
            .set_body(std::string(errorName(error.code)))
            .done();
}

void RestinioWriter::startStream(int status, const HttpHeaders &headers)
{
    const std::lock_guard lock(this->mutex);
    if (this->responseStarted || !this->request) {
        return;
    }
    this->responseStarted = true;
    if (!knowsChunks(this->request->header()) || isForHeadAlone(this->request->header())) {
        this->collected = HttpResponse{status, headers, {}};
        return;
    }
    this->stream = std::make_unique<Stream>(
            this->request->create_response<StreamOutput>(statusLine(status)));
    addHeaders(*this->stream, headers);
    if (!mayKeepAfterStream(this->request->header())) {
        this->stream->connection_close();
    }
    this->stream->start();
}

void RestinioWriter::write(std::string chunk, std::function<void()> onWritten)
{
    {
        const std::lock_guard lock(this->mutex);
        const std::shared_ptr<MemoryBudget> &budget = this->registry->memoryBudget();
        if (this->stream && budget && budget->isExceeded()
            && *this->unsentBytes > smallStreamBytes) {
            this->breakLocked(); // Its caller doesn't read, and others need the memory.
        }
        if (this->stream && !this->disconnected && !chunk.empty()) {
            const std::size_t bytes = chunk.size();
            this->stream->write(std::move(chunk), this->countWrite(std::move(onWritten), bytes));
            return;
        }
        if (this->collected && this->collected->body.size() + chunk.size() > maxCollectedBytes) {
            this->breakLocked();
        } else if (this->collected) {
            this->collected->body += chunk;
        }
    }
    if (onWritten) {
        onWritten();
    }
}

void RestinioWriter::finish()
{
    const std::lock_guard lock(this->mutex);
    if (this->stream) {
        const bool closes = this->registry->completeResponse(
                this->request->connection_id(), !mayKeepAfterStream(this->request->header()),
                false);
        this->stream->finish(closes);
        this->stream.reset();
    } else if (this->collected) {
        this->sendLocked(*std::exchange(this->collected, std::nullopt));
    }
}

void RestinioWriter::abort()
{
    this->breakResponse();
}

void RestinioWriter::breakResponse()
{
    const std::lock_guard lock(this->mutex);
    this->breakLocked();
}

void RestinioWriter::breakLocked()
{
    if (this->stream) {
        this->registry->breakResponse(this->request->connection_id());
        this->stream->breakOff();
        this->stream.reset();
    } else if (this->collected) {
        this->collected.reset();
        this->sendLocked(HttpResponse{httpstatus::badGateway, {{"Connection", "close"}}, {}});
    } else if (!this->responseStarted && this->request) {
        this->responseStarted = true;
        this->registry->breakResponse(this->request->connection_id());
        this->request->create_response(statusLine(httpstatus::internalError))
                .connection_close()
                .done();
    }
}

void RestinioWriter::onDisconnect(std::function<void()> callback)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->disconnected) {
            this->disconnectCallback = std::move(callback);
            return;
        }
    }
    callback();
}

void RestinioWriter::handleConnectionClosed()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(this->mutex);
        this->disconnected = true;
        callback.swap(this->disconnectCallback);
    }
    if (callback) {
        callback();
    }
}

void RestinioWriter::detach()
{
    std::function<void()> dropped;
    const std::lock_guard lock(this->mutex);
    this->disconnected = true;
    dropped.swap(this->disconnectCallback);
    this->stream.reset();
    this->collected.reset();
    this->request.reset();
}

std::string &CloseReasonLogger::reason()
{
    thread_local std::string lastReason;
    return lastReason;
}

std::string CloseReasonLogger::takeReason()
{
    std::string taken = std::exchange(CloseReasonLogger::reason(), std::string());
    // RESTinio begins its messages with "[connection:ID] ".
    const std::size_t prefixEnd = taken.find("] ");
    return prefixEnd == std::string::npos ? taken : taken.substr(prefixEnd + 2);
}

ConnectionRegistry::ConnectionRegistry(HttpHandler requestHandler,
                                       std::function<void(const ConnectionEnd &)> endHandler,
                                       std::function<bool(Millis)> refusal, Millis idleTimeLimit,
                                       std::shared_ptr<MemoryBudget> memoryBudget)
    : handler(std::move(requestHandler))
    , onEnd(std::move(endHandler))
    , refuses(std::move(refusal))
    , idleLimit(idleTimeLimit)
    , memory(std::move(memoryBudget))
{ }

void ConnectionRegistry::attach(asio::io_context &serverLoop)
{
    const std::lock_guard lock(this->mutex);
    this->loop = &serverLoop;
}

void ConnectionRegistry::detach()
{
    std::vector<Requests> dropped; // Destroyed without the lock: they may own their connections.
    const std::lock_guard lock(this->mutex);
    this->loop = nullptr;
    for (auto &[id, connection] : this->connections) {
        dropped.push_back(std::exchange(connection.waiting, Requests()));
    }
}

void ConnectionRegistry::accept(const restinio::request_handle_t &request)
{
    const std::shared_ptr<ConnectionMeter> currentMeter = ConnectionMeter::current();
    const Millis now = monotonicNow();
    ReceivedRequest received{request, MemoryReservation(), now - this->readDelay.load()};
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->connections.find(request->connection_id());
        if (found == this->connections.end() || this->loop == nullptr) {
            return; // The connection has ended.
        }
        Connection &connection = found->second;
        connection.activeAt = now;
        connection.meter = currentMeter ? currentMeter : connection.meter;
        if (connection.meter) {
            received.memory = connection.meter->completeRequest();
        }
        if (!connection.endReason.empty()) {
            ++connection.unhandled;
            return;
        }
        if (connection.busy) {
            connection.waiting.push_back(std::move(received));
            return;
        }
        connection.busy = true;
    }
    this->handOver(std::move(received));
}

void ConnectionRegistry::handOver(ReceivedRequest received)
{
    const restinio::request_handle_t request = received.handle;
    const bool isLarge = received.memory.bytes() > smallRequestMemory;
    auto writer = std::make_shared<RestinioWriter>(request, this->shared_from_this(),
                                                   std::move(received.memory));
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->connections.find(request->connection_id());
        if (found == this->connections.end()) {
            writer->detach();
            return; // The connection has ended.
        }
        Writers &writers = found->second.writers;
        std::erase_if(writers, [](const auto &old) { return old.expired(); });
        writers.push_back(writer);
    }
    if (this->refuses && this->refuses(this->readDelay)) {
        writer->send(HttpResponse{httpstatus::unavailable,
                                  {{"Retry-After", "0.5"}},
                                  std::string(errorName(ErrorCode::Overloaded))});
        return;
    }
    const std::shared_ptr<const IncomingRequest> incoming = readRequest(request, received.readAt);
    const Result<void> checked = checkRequestHead(*incoming);
    if (checked.has_error()) {
        writer->refuse(checked.error());
        return;
    }
    if (isLarge && this->memory && this->memory->isExceeded()) {
        writer->send(HttpResponse{httpstatus::unavailable,
                                  {{"Retry-After", "1"}, {"Connection", "close"}},
                                  std::string(errorName(ErrorCode::Overloaded))});
        return;
    }
    this->handler(incoming, std::move(writer));
}

ConnectionRegistry::Requests ConnectionRegistry::endConnection(Connection &connection,
                                                               std::string_view reason)
{
    connection.endReason = reason;
    connection.unhandled += static_cast<std::uint32_t>(connection.waiting.size());
    return std::exchange(connection.waiting, Requests());
}

bool ConnectionRegistry::completeResponse(restinio::connection_id_t id, bool mustClose,
                                          bool mayClose)
{
    Requests dropped;
    const std::lock_guard lock(this->mutex);
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
        return true;
    }
    Connection &connection = found->second;
    connection.activeAt = monotonicNow();
    connection.busy = false;
    ++connection.answered;
    if (connection.meter) {
        connection.meter->completeResponse();
    }
    if (mustClose || ((mayClose || this->closing) && connection.waiting.empty())) {
        dropped = endConnection(connection, "closed after its last response");
        return true;
    }
    if (!connection.waiting.empty() && this->loop != nullptr) {
        connection.busy = true;
        // Posted, because the caller is a function of the previous request's writer.
        asio::post(*this->loop,
                   [self = this->shared_from_this(),
                    received = std::move(connection.waiting.front())]() mutable {
                       try {
                           self->handOver(std::move(received));
                       } catch (const std::exception &error) {
                           // The writer has responded with an error when it was destroyed.
                           LOG(ERROR)
                                   << logprefix::http << "A handler failed. error=" << error.what();
                       }
                   });
        connection.waiting.pop_front();
    }
    return false;
}

void ConnectionRegistry::breakResponse(restinio::connection_id_t id)
{
    Requests dropped;
    const std::lock_guard lock(this->mutex);
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
        dropped = endConnection(found->second, "closed because its last response was broken off");
    }
}

void ConnectionRegistry::endAfterRefusal(restinio::connection_id_t id, const Error &error)
{
    Requests dropped;
    const std::lock_guard lock(this->mutex);
    const auto found = this->connections.find(id);
    if (found != this->connections.end()) {
        found->second.busy = false;
        ++found->second.answered;
        dropped = endConnection(found->second, "closed after a malformed request: " + error.detail);
    }
}

void ConnectionRegistry::addClosedWriters(const Writers &closed)
{
    Writers &all = this->closedWriters;
    all.insert(all.end(), closed.begin(), closed.end());
    if (all.size() >= std::max(this->purgeThreshold, minPurgeThreshold)) {
        std::erase_if(all, [](const auto &writer) { return writer.expired(); });
        this->purgeThreshold = all.size() * 2;
    }
}

void ConnectionRegistry::detachAll()
{
    Writers all;
    {
        const std::lock_guard lock(this->mutex);
        all.swap(this->closedWriters);
        for (const auto &[id, connection] : this->connections) {
            all.insert(all.end(), connection.writers.begin(), connection.writers.end());
        }
    }
    for (const auto &weak : all) {
        const std::shared_ptr<RestinioWriter> writer = weak.lock();
        if (writer) {
            writer->detach();
        }
    }
}

void ConnectionRegistry::reportEnd(const Connection &connection, std::string reason) const
{
    if (!this->onEnd) {
        return;
    }
    const Millis now = monotonicNow();
    if (!connection.endReason.empty()) {
        reason = connection.endReason;
    } else if (reason.empty()) {
        reason = now - connection.activeAt >= this->idleLimit ? "time limit"
                                                              : "closed by the caller";
    }
    this->onEnd(ConnectionEnd{connection.remote, std::move(reason), now - connection.acceptedAt,
                              connection.answered, connection.busy ? 1U : 0U,
                              connection.unhandled
                                      + static_cast<std::uint32_t>(connection.waiting.size())});
}

void ConnectionRegistry::state_changed(const restinio::connection_state::notice_t &notice) noexcept
{
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    Connection closed;
    const std::string reason = CloseReasonLogger::takeReason();
    {
        const std::lock_guard lock(this->mutex);
        if (restinio::holds_alternative<accepted_t>(notice.cause())) {
            Connection &connection = this->connections[notice.connection_id()];
            connection.remote = fmt::format("{}", fmt::streamed(notice.remote_endpoint()));
            connection.acceptedAt = monotonicNow();
            connection.activeAt = connection.acceptedAt;
            ++this->connectionCount;
            return;
        }
        const auto found = this->connections.find(notice.connection_id());
        if (!restinio::holds_alternative<closed_t>(notice.cause())
            || found == this->connections.end()) {
            return; // RESTinio reports a connection twice whose read and write both fail.
        }
        closed = std::move(found->second);
        this->connections.erase(found);
        this->addClosedWriters(closed.writers);
        --this->connectionCount;
    }
    for (const auto &weak : closed.writers) {
        const std::shared_ptr<RestinioWriter> writer = weak.lock();
        if (writer) {
            writer->handleConnectionClosed();
        }
    }
    this->reportEnd(closed, reason);
}

std::shared_ptr<const IncomingRequest> readRequest(const restinio::request_handle_t &handle,
                                                   Millis readAt)
{
    auto request = std::make_shared<IncomingRequest>();
    const restinio::http_request_header_t &header = handle->header();
    request->method = header.method().c_str();
    request->path = std::string(header.path());
    request->query = std::string(header.query());
    request->target = header.request_target();
    header.for_each_field([&request](const restinio::http_header_field_t &field) {
        request->headers.push_back(HttpHeader{field.name(), field.value()});
    });
    request->body = handle->body();
    request->remote = fmt::format("{}", fmt::streamed(handle->remote_endpoint()));
    request->receivedAt = readAt;
    return request;
}

} // namespace balsamport
