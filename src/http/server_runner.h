#ifndef BALSAMPORT_HTTP_SERVER_RUNNER_H
#define BALSAMPORT_HTTP_SERVER_RUNNER_H

#include "connection_guard.h"
#include "response_writer.h"

#include <chrono>

namespace balsamport {

/// @brief A server that runs until it is destroyed.
class ServerRunner
{
public:
    virtual ~ServerRunner() = default;
};

/// @brief IP number and port of a listening socket.
struct ListenAddress
{
    std::string ip;
    std::uint16_t port = 0;

    bool operator==(const ListenAddress &) const = default;
};

/// @brief Settings that plain and TLS servers are started with.
struct RunnerSettings
{
    HttpServerSettings http;
    ListenAddress listen;
    std::shared_ptr<ConnectionRegistry> registry;
};

/// @brief Adds the traits that plain and TLS servers share to RESTinio's traits.
template<typename Base>
struct ServerTraits : public Base
{
    using connection_state_listener_t = ConnectionRegistry;
    // NOLINTNEXTLINE(readability-identifier-naming): RESTinio requires this name.
    static constexpr bool use_connection_count_limiter = true;
};

/// @brief An event loop whose pending handlers can be destroyed before the loop itself.
class ServerLoop : public asio::io_context
{
public:
    using asio::execution_context::shutdown;
};

/// @brief Measures for how long the event loop of a server leaves sockets unread: by how much a
/// timer is late, as the kernel queues its expiry behind the sockets that are ready.
class ReadDelayProbe : public std::enable_shared_from_this<ReadDelayProbe>
{
public:
    ReadDelayProbe(std::weak_ptr<ConnectionRegistry> connections, asio::io_context &loop)
        : registry(std::move(connections))
        , timer(loop)
    { }

    void start()
    {
        const auto expiry = asio::steady_timer::clock_type::now() + interval;
        this->timer.expires_at(expiry);
        this->timer.async_wait([weak = this->weak_from_this(), expiry](const auto &error) {
            const std::shared_ptr<ReadDelayProbe> self = weak.lock();
            const auto connections = self ? self->registry.lock() : nullptr;
            if (error || !connections) {
                return;
            }
            const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(
                    asio::steady_timer::clock_type::now() - expiry);
            connections->setReadDelay(std::min(Millis(late.count()), maxDelay));
            self->start();
        });
    }

private:
    static constexpr std::chrono::milliseconds interval{100};
    /// After a pause of the process the timer is late although little may be unread.
    static constexpr Millis maxDelay{1'000};

    std::weak_ptr<ConnectionRegistry> registry;
    asio::steady_timer timer;
};

/// @brief A server with the given traits. The constructor throws std::exception where the address
/// cannot be bound.
template<typename Traits>
class TypedRunner : public ServerRunner
{
public:
    TypedRunner(restinio::server_settings_t<Traits> settings, const RunnerSettings &runner)
        : registry(attached(runner.registry, this->loop))
        , delayProbe(startProbe(runner, this->loop))
        , guard(startGuard(runner.http, this->loop))
        , server(restinio::run_async<Traits>(restinio::external_io_context(this->loop),
                                             std::move(settings), runner.http.threads))
    { }
    ~TypedRunner() override
    {
        this->registry->detach();
        // A writer that outlives the server would use connections of a destroyed loop. The writers
        // that are referenced elsewhere are detached first, so that they post nothing more; those
        // that were added until the server stopped are detached after that.
        this->registry->detachAll();
        this->server->stop();
        this->server->wait();
        this->registry->detachAll();
        // RESTinio's connections are owned by handlers and lock a mutex of its acceptor in their
        // destructors. Without this call the acceptor is freed first, and such a lock may then wait
        // forever.
        this->loop.shutdown();
    }
    TypedRunner(const TypedRunner &) = delete;
    TypedRunner &operator=(const TypedRunner &) = delete;

private:
    static std::shared_ptr<ConnectionRegistry>
    attached(std::shared_ptr<ConnectionRegistry> connections, ServerLoop &serverLoop)
    {
        connections->attach(serverLoop);
        return connections;
    }

    static std::shared_ptr<ReadDelayProbe> startProbe(const RunnerSettings &runner,
                                                      ServerLoop &serverLoop)
    {
        if (!runner.http.refuses) {
            return nullptr;
        }
        auto probe = std::make_shared<ReadDelayProbe>(runner.registry, serverLoop);
        probe->start();
        return probe;
    }

    static std::shared_ptr<ConnectionGuard> startGuard(const HttpServerSettings &http,
                                                       ServerLoop &serverLoop)
    {
        if (!http.memory || http.threads != 1) {
            return nullptr;
        }
        auto guard = std::make_shared<ConnectionGuard>(http.memory, http.maxConnections,
                                                       http.onEviction);
        asio::use_service<ConnectionGuardService>(serverLoop).guard = guard;
        guard->endSlowRequests(serverLoop);
        return guard;
    }

    ServerLoop loop;
    std::shared_ptr<ConnectionRegistry> registry;
    std::shared_ptr<ReadDelayProbe> delayProbe; ///< Null for a server that refuses nothing.
    std::shared_ptr<ConnectionGuard> guard; ///< Null without a budget.
    restinio::running_server_handle_t<Traits> server;
};

/// @brief Limits of a request's URL, headers and body.
/// @param maxBodyBytes limit of the body
[[nodiscard]] restinio::incoming_http_msg_limits_t messageLimits(std::uint64_t maxBodyBytes);

/// @brief Fills RESTinio's settings.
template<typename Traits>
[[nodiscard]] restinio::server_settings_t<Traits> serverSettings(const RunnerSettings &settings)
{
    // One request that is handled and one that waits. RESTinio stops reading at this number of
    // requests, and would then miss that a connection closes.
    constexpr std::size_t pipelinedRequests = 3;
    constexpr std::chrono::seconds writeTimeout{60};
    const auto onRequest
            = [registry = settings.registry](const restinio::request_handle_t &request) {
                  registry->accept(request);
                  return restinio::request_accepted();
              };
    // At this number RESTinio stops accepting, so the guard must end connections before it. Their
    // reads are cancelled while further ones are accepted.
    constexpr std::uint32_t evictionHeadroom = 64;
    const std::uint32_t maxConnections
            = settings.http.maxConnections + (settings.http.memory ? evictionHeadroom : 0);
    restinio::server_settings_t<Traits> result;
    result.address(settings.listen.ip)
            .port(settings.listen.port)
            .request_handler(onRequest)
            .connection_state_listener(settings.registry)
            .max_parallel_connections(maxConnections)
            .max_pipelined_requests(pipelinedRequests)
            .read_next_http_message_timelimit(
                    std::chrono::milliseconds(settings.http.readTimeout.count()))
            .handle_request_timeout(std::chrono::milliseconds(settings.http.handleTimeout.count()))
            .write_http_response_timelimit(writeTimeout)
            .incoming_http_msg_limits(messageLimits(settings.http.maxBodyBytes));
    return result;
}

/// @brief Starts a server. Throws std::exception where the address cannot be bound.
template<typename Traits>
[[nodiscard]] std::unique_ptr<ServerRunner> runServer(restinio::server_settings_t<Traits> settings,
                                                      const RunnerSettings &runner)
{
    return std::make_unique<TypedRunner<Traits>>(std::move(settings), runner);
}

/// @brief Starts a server for plain HTTP. Throws std::exception where it cannot listen.
[[nodiscard]] std::unique_ptr<ServerRunner> runPlainServer(const RunnerSettings &settings);

/// @brief Starts a server for HTTPS, with the certificate and key that the settings name.
/// @return KeyFileInvalid or KeyFilePermissions; throws std::exception where it cannot listen
[[nodiscard]] Result<std::unique_ptr<ServerRunner>> runTlsServer(const RunnerSettings &settings);

} // namespace balsamport

#endif
