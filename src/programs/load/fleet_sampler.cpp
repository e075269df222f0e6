#include "fleet_sampler.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace balsamport {

namespace {

constexpr std::chrono::milliseconds samplePeriod{1'000};
constexpr Millis readTimeout{800};
constexpr double millisPerSecond = 1'000;
constexpr std::string_view loadStallMetric = "balsamport_load_stall_seconds{quantile=\"0.95\"} ";

double memberNumber(const rapidjson::Document &document, const char *name)
{
    const auto found = document.FindMember(name);
    return found != document.MemberEnd() && found->value.IsNumber() ? found->value.GetDouble() : 0;
}

} // namespace

FleetSampler::FleetSampler(std::vector<std::string> gatewayAddresses,
                           std::vector<std::string> engineAddresses)
    : gateways(std::move(gatewayAddresses))
    , engines(std::move(engineAddresses))
{ }

FleetSampler::~FleetSampler()
{
    this->stop();
}

void FleetSampler::start()
{
    this->thread = std::thread([this] { this->run(); });
}

std::vector<FleetSample> FleetSampler::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->stopChanged.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
    return this->samples;
}

void FleetSampler::run()
{
    const Millis startedAt = monotonicNow();
    std::unique_lock lock(this->mutex);
    while (!this->stopChanged.wait_for(lock, samplePeriod, [this] { return this->stopping; })) {
        lock.unlock();
        this->sample(monotonicNow() - startedAt);
        lock.lock();
    }
}

void FleetSampler::sample(Millis at)
{
    this->samples.push_back(FleetSample{at, this->readBatchFill(), this->readLoadStall()});
}

double FleetSampler::readBatchFill()
{
    double running = 0;
    double batchSlots = 0;
    for (const std::string &engine : this->engines) {
        rapidjson::Document document;
        const std::string text = this->get(engine, "/v1/load");
        if (!document.Parse(text.c_str()).HasParseError() && document.IsObject()) {
            running += memberNumber(document, "running");
            batchSlots += memberNumber(document, "batch_width");
        }
    }
    return batchSlots > 0 ? running / batchSlots : 0;
}

double FleetSampler::readLoadStall()
{
    double largest = 0;
    for (const std::string &gateway : this->gateways) {
        const std::string text = this->get(gateway, "/metrics");
        const std::size_t start = text.find(loadStallMetric);
        if (start != std::string::npos) {
            const double seconds
                    = std::strtod(text.c_str() + start + loadStallMetric.size(), nullptr);
            largest = std::max(largest, seconds * millisPerSecond);
        }
    }
    return largest;
}

std::string FleetSampler::get(const std::string &address, const std::string &path)
{
    OutgoingRequest request;
    request.url = "http://" + address + path;
    request.timeout = readTimeout;
    const Result<HttpResponse> response = this->client.fetch(request);
    return response.has_value() ? response.value().body : "";
}

} // namespace balsamport
