#include "response_writer.h"

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
        if (isConnectionClose(header)) {
            builder.connection_close();
        } else {
            builder.append_header(header.name, header.value);
        }
    }
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

} // namespace

RestinioWriter::RestinioWriter(restinio::request_handle_t handle,
                               std::shared_ptr<std::atomic<std::uint32_t>> unsentWriteCount)
    : unsentWrites(std::move(unsentWriteCount))
    , request(std::move(handle))
{ }

std::function<void(const asio::error_code &)>
RestinioWriter::countWrite(std::function<void()> onWritten) const
{
    ++*this->unsentWrites;
    return [count = this->unsentWrites,
            callback = std::move(onWritten)](const asio::error_code & /*failure*/) {
        --*count;
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
    if (isForHeadAlone(this->request->header())) {
        // The response has the length of the body, but not the body.
        auto builder = this->request->create_response<restinio::user_controlled_output_t>(
                statusLine(response.status));
        addHeaders(builder, response.headers);
        builder.set_content_length(response.body.size());
        builder.done(this->countWrite({}));
        return;
    }
    auto builder = this->request->create_response(statusLine(response.status));
    addHeaders(builder, response.headers);
    builder.set_body(response.body);
    builder.done(this->countWrite({}));
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
    for (const HttpHeader &header : headers) {
        this->stream->append_header(header.name, header.value);
    }
    this->stream->start();
}

void RestinioWriter::write(std::string chunk, std::function<void()> onWritten)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stream && !this->disconnected && !chunk.empty()) {
            this->stream->write(std::move(chunk), this->countWrite(std::move(onWritten)));
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
        this->stream->finish();
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
        this->stream->breakOff();
        this->stream.reset();
    } else if (this->collected) {
        this->collected.reset();
        this->sendLocked(HttpResponse{httpstatus::badGateway, {{"Connection", "close"}}, {}});
    } else if (!this->responseStarted && this->request) {
        this->responseStarted = true;
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

void ConnectionRegistry::add(restinio::connection_id_t id,
                             const std::weak_ptr<RestinioWriter> &writer)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->writers.find(id);
    if (found == this->writers.end()) {
        this->addClosedWriters({writer});
        return;
    }
    std::erase_if(found->second, [](const auto &old) { return old.expired(); });
    found->second.push_back(writer);
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
        for (const auto &[id, connectionWriters] : this->writers) {
            all.insert(all.end(), connectionWriters.begin(), connectionWriters.end());
        }
    }
    for (const auto &weak : all) {
        const std::shared_ptr<RestinioWriter> writer = weak.lock();
        if (writer) {
            writer->detach();
        }
    }
}

void ConnectionRegistry::state_changed(const restinio::connection_state::notice_t &notice) noexcept
{
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    std::vector<std::weak_ptr<RestinioWriter>> closed;
    {
        const std::lock_guard lock(this->mutex);
        if (restinio::holds_alternative<accepted_t>(notice.cause())) {
            this->writers[notice.connection_id()];
            ++this->connectionCount;
        } else if (restinio::holds_alternative<closed_t>(notice.cause())) {
            const auto found = this->writers.find(notice.connection_id());
            if (found == this->writers.end()) {
                return; // RESTinio reports a connection twice whose read and write both fail.
            }
            closed.swap(found->second);
            this->writers.erase(found);
            this->addClosedWriters(closed);
            --this->connectionCount;
        }
    }
    for (const auto &weak : closed) {
        const std::shared_ptr<RestinioWriter> writer = weak.lock();
        if (writer) {
            writer->handleConnectionClosed();
        }
    }
}

std::shared_ptr<const IncomingRequest> readRequest(const restinio::request_handle_t &handle)
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
    return request;
}

} // namespace balsamport
