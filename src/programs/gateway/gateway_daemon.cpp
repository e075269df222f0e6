#include "gateway_daemon.h"

#include "bindings.h"

#include <balsamport/controllers/fleet_client.h>
#include <balsamport/controllers/status_metrics.h>
#include <balsamport/core/log.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/filters/gateway.h>
#include <balsamport/filters/timer_thread.h>
#include <balsamport/wire/message_client.h>

#include <random>
#include <thread>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis tickInterval{50};
constexpr Millis statusInterval{2'000};
constexpr Millis statusTimeout{1'000};
constexpr Millis drainPollInterval{20};
/// Time for the last responses to be flushed from the sockets once no request is in progress.
constexpr Millis flushDelay{500};

std::uint64_t randomSeed()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) ^ device();
}

void sleepFor(Millis time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

} // namespace

/// Components of the gateway. Each may use the ones before it; they are destroyed in reverse order.
struct GatewayDaemon::Parts
{
    Parts(GatewaySettings initialSettings, const CurveKeys &keys)
        : settings(std::move(initialSettings))
        , messages({this->settings.vm.str(), randomSeed()}, keys)
        , grants(this->settings.vm, this->settings.dataCentre, peerMessagesOver(this->messages))
        , claims(this->messages, this->settings.controllerEndpoint)
        , suspects(this->messages, this->settings.controllerEndpoint)
        , fleet(this->messages, this->settings.controllerEndpoint)
    {
        this->gateway = std::make_unique<Gateway>(this->sources(), this->settings.maxInProgress);
    }

    GatewaySources sources()
    {
        GatewaySources all;
        all.snapshot = [this] { return this->fleet.snapshot(); };
        all.grants = grantSourceOver(this->grants);
        all.claims = claimSourceOver(this->claims, this->fleet);
        all.suspects = suspectSourceOver(this->suspects);
        all.backend = backendClientOver(this->http);
        all.retries = std::make_shared<RetryTracker>(randomSeed());
        all.timer = [this](Millis delay, std::function<void()> task) {
            this->timer.after(delay, std::move(task));
        };
        all.metrics = [this] { return this->metricsText(); };
        return all;
    }

    std::string metricsText()
    {
        MetricsRegistry &registry = processMetrics();
        const SnapshotPtr snapshot = this->fleet.snapshot();
        registry.gauge(metric::revision)
                .set(snapshot ? static_cast<double>(snapshot->revision.number()) : 0);
        registry.gauge(metric::connections).set(this->server ? this->server->connections() : 0);
        return registry.prometheusText(monotonicNow());
    }

    /// Requests the status of the VM's controller, which the metrics report.
    void requestStatus()
    {
        wire::Envelope message;
        message.mutable_status_request();
        this->messages.request(this->settings.controllerEndpoint, std::move(message), statusTimeout,
                               [this](const Result<wire::Envelope> &reply) {
                                   const SnapshotPtr snapshot = this->fleet.snapshot();
                                   if (reply.has_value() && snapshot) {
                                       this->status.record(reply.value().status_reply(), *snapshot);
                                   }
                                   return false;
                               });
    }

    void startClients()
    {
        this->fleet.onChange(
                [this](const SnapshotPtr &snapshot, const std::shared_ptr<const FleetView> &view) {
                    this->grants.update(snapshot, view);
                    this->claims.update(snapshot, view);
                    this->suspects.update(view);
                    if (view && view->draining && !this->gateway->isDraining()) {
                        LOG(INFO) << logprefix::daemon << "This VM is listed as draining.";
                        this->gateway->startDraining(monotonicNow() + this->settings.drainDelay);
                    }
                });
        this->suspects.start();
        this->fleet.start();
        this->timer.every(tickInterval, [this] { this->grants.tick(monotonicNow()); });
        this->timer.every(statusInterval, [this] { this->requestStatus(); });
    }

    const GatewaySettings settings;
    StatusRecorder status{processMetrics()};
    MessageClient messages;
    GrantClient grants;
    ClaimClient claims;
    SuspectClient suspects;
    FleetClient fleet;
    std::unique_ptr<Gateway> gateway;
    TimerThread timer;
    HttpClient http;
    std::unique_ptr<HttpServer> server;
};

GatewayDaemon::GatewayDaemon(std::unique_ptr<Parts> initialParts)
    : parts(std::move(initialParts))
{ }

GatewayDaemon::~GatewayDaemon()
{
    this->parts->server.reset();
    this->parts->timer.stop();
    this->parts->fleet.stop();
}

Result<std::unique_ptr<GatewayDaemon>> GatewayDaemon::start(GatewaySettings settings)
{
    const auto keys = readCurveKeys(settings.keys);
    if (!keys) {
        return keys.error();
    }
    auto parts = std::make_unique<Parts>(std::move(settings), keys.value());
    parts->startClients();
    auto server = HttpServer::start(
            parts->settings.http,
            [gateway = parts->gateway.get()](const auto &request, const auto &writer) {
                gateway->handle(request, writer);
            });
    if (!server) {
        return server.error();
    }
    parts->server = std::move(server).value();
    LOG(INFO) << logprefix::daemon << "Gateway started. vm=" << parts->settings.vm
              << " listen=" << parts->settings.http.address;
    return std::unique_ptr<GatewayDaemon>(new GatewayDaemon(std::move(parts)));
}

bool GatewayDaemon::drain()
{
    Gateway &gateway = *this->parts->gateway;
    gateway.startDraining(monotonicNow() + this->parts->settings.drainDelay);
    this->parts->server->closeAfterResponses();
    LOG(INFO) << logprefix::daemon << "Stopping. in-progress=" << gateway.requestsInProgress();
    const Millis start = monotonicNow();
    sleepFor(this->parts->settings.drainDelay);
    while (gateway.requestsInProgress() != 0
           && monotonicNow() - start < this->parts->settings.drainTimeout) {
        sleepFor(drainPollInterval);
    }
    const std::uint32_t unfinished = gateway.requestsInProgress();
    sleepFor(flushDelay);
    LOG(INFO) << logprefix::daemon << "Stopped. left=" << unfinished;
    return unfinished == 0;
}

} // namespace balsamport
