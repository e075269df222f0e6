#include <balsamport/http/http_server.h>

#include "lingering_socket.h"
#include "server_runner.h"

#include <charconv>
#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t maxUrlBytes = 8 * 1024;
constexpr std::size_t maxHeaderNameBytes = 1024;
constexpr std::size_t maxHeaderValueBytes = 16 * 1024;
constexpr std::size_t maxHeaderFields = 100;

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

restinio::incoming_http_msg_limits_t messageLimits(std::uint64_t maxBodyBytes)
{
    return restinio::incoming_http_msg_limits_t{}
            .max_url_size(maxUrlBytes)
            .max_field_name_size(maxHeaderNameBytes)
            .max_field_value_size(maxHeaderValueBytes)
            .max_field_count(maxHeaderFields)
            .max_body_size(maxBodyBytes);
}

std::unique_ptr<ServerRunner> runPlainServer(const RunnerSettings &settings)
{
    struct Traits
        : ServerTraits<restinio::traits_t<restinio::asio_timer_manager_t, CloseReasonLogger>>
    {
        using stream_socket_t = LingeringSocket;
    };
    return runServer<Traits>(serverSettings<Traits>(settings), settings);
}

struct HttpServer::Impl
{
    std::shared_ptr<ConnectionRegistry> registry;
    std::unique_ptr<ServerRunner> runner;
};

Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerSettings &settings,
                                                      HttpHandler handler)
{
    const Result<ListenAddress> listen = parseAddress(settings.address);
    if (listen.has_error()) {
        return listen.error();
    }
    auto impl = std::make_unique<Impl>();
    impl->registry = std::make_shared<ConnectionRegistry>(
            std::move(handler), settings.onConnectionEnd, settings.refuses, settings.readTimeout,
            settings.memory);
    const RunnerSettings runner{settings, listen.value(), impl->registry};
    const bool tls = !settings.tlsCertificateFile.empty() || !settings.tlsKeyFile.empty();
    try {
        Result<std::unique_ptr<ServerRunner>> started
                = tls ? runTlsServer(runner) : runPlainServer(runner);
        if (started.has_error()) {
            return started.error();
        }
        impl->runner = std::move(started).value();
    } catch (const std::exception &error) {
        return Error{ErrorCode::ListenFailed, settings.address + ": " + error.what()};
    }
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> ownedImpl)
    : impl(std::move(ownedImpl))
{ }

HttpServer::~HttpServer() = default;

std::uint32_t HttpServer::connections() const noexcept
{
    return this->impl->registry->openConnections();
}

bool HttpServer::hasUnsentBytes() const noexcept
{
    return *this->impl->registry->unsentWrites() > 0;
}

Millis HttpServer::takeLongestWrite() noexcept
{
    return Millis(this->impl->registry->longestWriteMs()->exchange(0));
}

void HttpServer::closeAfterResponses() noexcept
{
    this->impl->registry->closeAfterResponses();
}

} // namespace balsamport
