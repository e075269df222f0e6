#include <balsamport/http/http_server.h>

#include <balsamport/core/log.h>

#include <restinio/all.hpp>

#include <http_parser.h>

#include <atomic>
#include <charconv>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t maxUrlBytes = 8 * 1024;
constexpr std::size_t maxHeaderNameBytes = 1024;
constexpr std::size_t maxHeaderValueBytes = 16 * 1024;
constexpr std::size_t maxHeaderFields = 100;
constexpr std::size_t pipelinedRequests = 2;
constexpr std::chrono::seconds writeTimeout{60};
/// Size that the last chunk of a broken answer announces and does not have.
constexpr std::size_t missingChunkBytes = 1024 * 1024;

restinio::http_status_line_t statusLine(int status)
{
    return restinio::http_status_line_t{
            restinio::http_status_code_t{static_cast<std::uint16_t>(status)},
            http_status_str(static_cast<http_status>(status))};
}

/// A chunk whose header announces more than its data, so that the answer cannot pass as whole.
///
/// RESTinio reads the size once to see that the chunk is not empty and once for the chunk's header;
/// the data follow after that.
class TruncatedChunk
{
public:
    [[nodiscard]] const char *data() const noexcept { return ""; }
    [[nodiscard]] std::size_t size() const noexcept
    {
        constexpr int readsForHeader = 2;
        return this->reads++ < readsForHeader ? missingChunkBytes : 0;
    }

private:
    mutable int reads = 0;
};

class Writer;

/// Tells the writers of a connection when it closes.
class ConnectionRegistry
{
public:
    void add(restinio::connection_id_t id, const std::weak_ptr<Writer> &writer);
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept;
    [[nodiscard]] std::uint32_t open() const noexcept { return this->count; }

private:
    std::mutex mutex;
    std::unordered_map<restinio::connection_id_t, std::vector<std::weak_ptr<Writer>>> writers;
    std::atomic<std::uint32_t> count{0};
};

struct Traits : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>
{
    using connection_state_listener_t = ConnectionRegistry;
    static constexpr bool use_connection_count_limiter = true;
};

class Writer : public ResponseWriter
{
public:
    explicit Writer(restinio::request_handle_t handle)
        : request(std::move(handle))
    { }

    ~Writer() override { this->abort(); }

    Writer(const Writer &) = delete;
    Writer &operator=(const Writer &) = delete;

    void send(const HttpAnswer &answer) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->answered) {
            return;
        }
        this->answered = true;
        auto response = this->request->create_response(statusLine(answer.status));
        for (const HttpHeader &header : answer.headers) {
            response.append_header(header.name, header.value);
        }
        response.set_body(answer.body);
        response.done();
    }

    void startStream(int status, const HttpHeaders &headers) override
    {
        const std::lock_guard lock(this->mutex);
        if (this->answered) {
            return;
        }
        this->answered = true;
        this->stream = std::make_unique<Stream>(
                this->request->create_response<restinio::chunked_output_t>(statusLine(status)));
        for (const HttpHeader &header : headers) {
            this->stream->append_header(header.name, header.value);
        }
        this->stream->connection_close();
        this->stream->flush();
    }

    void write(std::string piece, std::function<void()> onWritten) override
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->stream && !this->gone) {
                this->stream->append_chunk(std::move(piece));
                this->stream->flush([callback = std::move(onWritten)](const auto & /*error*/) {
                    if (callback) {
                        callback();
                    }
                });
                return;
            }
        }
        if (onWritten) {
            onWritten();
        }
    }

    void finish() override
    {
        const std::lock_guard lock(this->mutex);
        if (this->stream) {
            this->stream->done();
            this->stream.reset();
        }
    }

    void abort() override
    {
        const std::lock_guard lock(this->mutex);
        if (this->stream) {
            this->stream->append_chunk(
                    restinio::writable_item_t{std::make_shared<TruncatedChunk>()});
            this->stream->done();
            this->stream.reset();
        } else if (!this->answered) {
            this->answered = true;
            constexpr int internalError = 500;
            this->request->create_response(statusLine(internalError)).connection_close().done();
        }
    }

    [[nodiscard]] bool isGone() const override { return this->gone; }

    void onGone(std::function<void()> callback) override
    {
        {
            const std::lock_guard lock(this->mutex);
            if (!this->gone) {
                this->goneCallback = std::move(callback);
                return;
            }
        }
        callback();
    }

    void connectionClosed()
    {
        std::function<void()> callback;
        {
            const std::lock_guard lock(this->mutex);
            this->gone = true;
            callback.swap(this->goneCallback);
        }
        if (callback) {
            callback();
        }
    }

private:
    using Stream = restinio::response_builder_t<restinio::chunked_output_t>;

    restinio::request_handle_t request;
    std::mutex mutex;
    std::unique_ptr<Stream> stream; ///< Under mutex.
    std::function<void()> goneCallback; ///< Under mutex.
    bool answered = false; ///< Under mutex.
    std::atomic<bool> gone{false};
};

void ConnectionRegistry::add(restinio::connection_id_t id, const std::weak_ptr<Writer> &writer)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->writers.find(id);
    if (found == this->writers.end()) {
        return;
    }
    std::erase_if(found->second, [](const auto &old) { return old.expired(); });
    found->second.push_back(writer);
}

void ConnectionRegistry::state_changed(const restinio::connection_state::notice_t &notice) noexcept
{
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    std::vector<std::weak_ptr<Writer>> closed;
    {
        const std::lock_guard lock(this->mutex);
        if (restinio::holds_alternative<accepted_t>(notice.cause())) {
            this->writers[notice.connection_id()];
            ++this->count;
        } else if (restinio::holds_alternative<closed_t>(notice.cause())) {
            closed.swap(this->writers[notice.connection_id()]);
            this->writers.erase(notice.connection_id());
            --this->count;
        }
    }
    for (const auto &weak : closed) {
        const std::shared_ptr<Writer> writer = weak.lock();
        if (writer) {
            writer->connectionClosed();
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
    header.for_each_field([&request](const restinio::http_header_field_t &field) {
        request->headers.push_back(HttpHeader{field.name(), field.value()});
    });
    request->body = handle->body();
    request->remote = fmt::format("{}", fmt::streamed(handle->remote_endpoint()));
    return request;
}

struct ListenAddress
{
    std::string ip;
    std::uint16_t port = 0;
};

Result<ListenAddress> parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon != std::string::npos) {
        const std::string digits = address.substr(colon + 1);
        std::uint16_t port = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size()) {
            return ListenAddress{address.substr(0, colon), port};
        }
    }
    return Error{ErrorCode::ListenFailed, "\"" + address + "\" is not IP:PORT"};
}

} // namespace

struct HttpServer::Impl
{
    std::shared_ptr<ConnectionRegistry> registry = std::make_shared<ConnectionRegistry>();
    restinio::running_server_handle_t<Traits> server;
};

Result<std::unique_ptr<HttpServer>> HttpServer::start(HttpServerSettings settings,
                                                      HttpHandler handler)
{
    const Result<ListenAddress> listen = parseAddress(settings.address);
    if (listen.has_error()) {
        return listen.error();
    }
    auto impl = std::make_unique<Impl>();
    const auto onRequest = [registry = impl->registry,
                            userHandler = std::move(handler)](restinio::request_handle_t handle) {
        auto writer = std::make_shared<Writer>(handle);
        registry->add(handle->connection_id(), writer);
        userHandler(readRequest(handle), std::move(writer));
        return restinio::request_accepted();
    };
    const std::chrono::milliseconds readTimeout(settings.readTimeout.count());
    const std::chrono::milliseconds handleTimeout(settings.handleTimeout.count());
    try {
        impl->server = restinio::run_async<Traits>(
                restinio::own_io_context(),
                restinio::server_settings_t<Traits>{}
                        .address(listen.value().ip)
                        .port(listen.value().port)
                        .request_handler(onRequest)
                        .connection_state_listener(impl->registry)
                        .max_parallel_connections(settings.maxConnections)
                        .max_pipelined_requests(pipelinedRequests)
                        .read_next_http_message_timelimit(readTimeout)
                        .handle_request_timeout(handleTimeout)
                        .write_http_response_timelimit(writeTimeout)
                        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                                          .max_url_size(maxUrlBytes)
                                                          .max_field_name_size(maxHeaderNameBytes)
                                                          .max_field_value_size(maxHeaderValueBytes)
                                                          .max_field_count(maxHeaderFields)
                                                          .max_body_size(settings.maxBodyBytes)),
                settings.threads);
    } catch (const std::exception &error) {
        return Error{ErrorCode::ListenFailed, settings.address + ": " + error.what()};
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> ownedImpl)
    : impl(std::move(ownedImpl))
{ }

HttpServer::~HttpServer()
{
    this->impl->server->stop();
    this->impl->server->wait();
}

std::uint32_t HttpServer::connections() const noexcept
{
    return this->impl->registry->open();
}

} // namespace balsamport
