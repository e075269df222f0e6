#include "fleet_sampler.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace balsamport {

namespace {

constexpr std::chrono::milliseconds period{1'000};
constexpr Millis readTimeout{800};
constexpr double millisPerSecond = 1'000;
constexpr std::string_view loadStallLine = "balsamport_load_stall_seconds{quantile=\"0.95\"} ";

double memberNumber(const rapidjson::Document &document, const char *name)
{
    const auto found = document.FindMember(name);
    return found != document.MemberEnd() && found->value.IsNumber() ? found->value.GetDouble() : 0;
}

} // namespace

FleetSampler::FleetSampler(std::vector<std::string> gatewayList,
                           std::vector<std::string> engineList)
    : gateways(std::move(gatewayList))
    , engines(std::move(engineList))
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
    const Millis begin = monotonicNow();
    std::unique_lock lock(this->mutex);
    while (!this->stopChanged.wait_for(lock, period, [this] { return this->stopping; })) {
        lock.unlock();
        this->sample(monotonicNow() - begin);
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
    double places = 0;
    for (const std::string &engine : this->engines) {
        rapidjson::Document document;
        const std::string text = this->get(engine, "/v1/load");
        if (!document.Parse(text.c_str()).HasParseError() && document.IsObject()) {
            running += memberNumber(document, "running");
            places += memberNumber(document, "batch_width");
        }
    }
    return places > 0 ? running / places : 0;
}

double FleetSampler::readLoadStall()
{
    double largest = 0;
    for (const std::string &gateway : this->gateways) {
        const std::string text = this->get(gateway, "/metrics");
        const std::size_t start = text.find(loadStallLine);
        if (start != std::string::npos) {
            const double seconds
                    = std::strtod(text.c_str() + start + loadStallLine.size(), nullptr);
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
    const Result<HttpResponse> answer = this->client.fetch(request);
    return answer.has_value() ? answer.value().body : "";
}

} // namespace balsamport
