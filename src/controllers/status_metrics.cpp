#include <balsamport/controllers/status_metrics.h>

#include <balsamport/core/metric_names.h>

namespace balsamport {

namespace {

constexpr double millisPerSecond = 1'000;

} // namespace

StatusRecorder::StatusRecorder(MetricsRegistry &registry)
    : metrics(registry)
{ }

void StatusRecorder::record(const wire::StatusReply &status, const Snapshot &snapshot)
{
    this->metrics.gauge(metric::revisionAge).set(status.config_age_ms() / millisPerSecond);
    this->metrics.gauge(metric::viewConfirmed).set(status.view_confirmed() ? 1 : 0);
    this->metrics.gauge(metric::quarantined).set(static_cast<double>(status.quarantined()));
    this->metrics.gauge(metric::platformReachable).set(status.platform_reachable() ? 1 : 0);
    this->addIncrease(this->metrics.counter(metric::loads), status.loads_started());
    this->addIncrease(this->metrics.counter(metric::platformCalls), status.platform_calls());
    this->addIncrease(this->metrics.counter(metric::wireBytes, "sent"), status.wire_bytes_sent());
    this->addIncrease(this->metrics.counter(metric::wireBytes, "received"),
                      status.wire_bytes_received());
    for (const wire::ServerStatus &server : status.servers()) {
        this->recordServer(server, snapshot);
    }
}

/// A lower value than the last one means that the controller restarted and counts from zero.
void StatusRecorder::addIncrease(Counter &counter, std::uint64_t value)
{
    std::uint64_t &lastValue = this->lastValues[&counter];
    counter.add(value >= lastValue ? value - lastValue : value);
    lastValue = value;
}

void StatusRecorder::recordServer(const wire::ServerStatus &server, const Snapshot &snapshot)
{
    const auto found = snapshot.backendServers.find(BackendServerId(server.backend_server()));
    if (found == snapshot.backendServers.end() || !server.effective()) {
        return;
    }
    const std::string &id = server.backend_server();
    this->metrics.gauge(metric::queueDepth, id).set(server.queued());
    if (found->second.kind == BackendServerKind::Engine) {
        const double width = found->second.batchWidth;
        this->metrics.gauge(metric::batchFill, id).set(server.running() / width);
    }
}

} // namespace balsamport
