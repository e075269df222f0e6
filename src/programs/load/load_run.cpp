#include "load_run.h"

#include "fleet_sampler.h"

#include <balsamport/http/http_client.h>

#include <fmt/format.h>

#include <chrono>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

namespace balsamport {

namespace {

constexpr std::int64_t progressPeriodMs = 1'000;
constexpr Millis ledgerTimeout{5'000};

/// Makes idempotency keys that hold the time at which they were made (UUID version 7).
class KeyMaker
{
public:
    explicit KeyMaker(std::uint64_t seed)
        : random(seed ^ static_cast<std::uint64_t>(wallNow().count()))
    { }

    std::string make()
    {
        const auto time = static_cast<std::uint64_t>(wallNow().count());
        const std::uint64_t high = this->random();
        const std::uint64_t low = this->random();
        constexpr std::uint64_t variant = 0x8000;
        return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", time >> 16U, time & 0xffffU,
                           high & 0xfffU, variant | ((high >> 16U) & 0x3fffU),
                           low & 0xffffffffffffU);
    }

private:
    std::mt19937_64 random;
};

/// One request in progress.
struct Exchange
{
    PlannedRequest planned;
    Millis intended; ///< When the request was due to be sent.
    std::string key; ///< Idempotency key of a booking; empty for others.
    ExpectedCompletion expected;
    ObservedResponse received;
    Millis firstByte; ///< When the first body chunk was received; -1 until then.
};

std::string errorTypeOf(const ObservedResponse &received)
{
    constexpr std::string_view typeMember = "\"type\":\"";
    const std::size_t start = received.body.find(typeMember);
    if (start == std::string::npos) {
        return "";
    }
    const std::size_t valueStart = start + typeMember.size();
    return received.body.substr(valueStart, received.body.find('"', valueStart) - valueStart);
}

class LoadRun
{
public:
    explicit LoadRun(const LoadSettings &runSettings)
        : settings(runSettings)
        , keys(runSettings.workload.seed)
        , sampler(runSettings.gateways, runSettings.engines)
    { }

    LoadReport run()
    {
        const std::vector<PlannedRequest> plan = planWorkload(this->settings.workload);
        this->start = monotonicNow();
        this->sampler.start();
        for (const PlannedRequest &planned : plan) {
            this->waitUntil(this->start + planned.at);
            this->send(planned);
        }
        this->waitForAll(plan.size());
        LoadReport report;
        report.settings = this->settings.workload;
        report.fleet = this->sampler.stop();
        report.samples = std::move(this->samples);
        report.keysUsed = this->bookingRecords.size();
        this->readLedgers(report);
        return report;
    }

private:
    void waitUntil(Millis time)
    {
        const Millis wait = time - monotonicNow();
        if (wait > Millis(0)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(wait.count()));
        }
        const Millis now = monotonicNow();
        if ((now - this->lastProgress).count() >= progressPeriodMs) {
            this->lastProgress = now;
            const std::lock_guard lock(this->mutex);
            std::cerr << "\rsent " << this->sent << ", completed " << this->samples.size() << "   ";
        }
    }

    void send(const PlannedRequest &planned)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->planned = planned;
        exchange->intended = this->start + planned.at;
        exchange->firstByte = Millis(-1);
        OutgoingRequest request = planned.kind == RequestKind::Booking ? this->bookingFor(*exchange)
                                                                       : this->promptFor(*exchange);
        request.method = "POST";
        request.timeout = this->settings.timeout;
        request.headers.push_back({"Content-Type", "application/json"});
        if (!this->settings.apiKey.empty()) {
            request.headers.push_back({"Authorization", "Bearer " + this->settings.apiKey});
        }
        ++this->sent;
        this->client.start(std::move(request), this->handlersFor(exchange));
    }

    OutgoingRequest promptFor(Exchange &exchange)
    {
        const WorkloadSettings &workload = this->settings.workload;
        const WorkloadModel &model = workload.models[exchange.planned.model];
        const bool stream = exchange.planned.kind == RequestKind::Stream;
        const std::string id = "load-" + std::to_string(this->sent);
        exchange.expected = ExpectedCompletion{model, id, workload.tokens, stream};
        OutgoingRequest request;
        request.url = this->nextGateway() + "/v1/chat/completions";
        request.headers.push_back({"Balsamport-Request-Id", id});
        request.body = fmt::format(
                R"({{"model":"{}","stream":{},"max_tokens":{},"messages":[{{"role":"user","content":"load {}"}}]}})",
                model.name, stream, workload.tokens, this->sent);
        return request;
    }

    OutgoingRequest bookingFor(Exchange &exchange)
    {
        std::string &key = this->keysByBooking[exchange.planned.booking];
        if (key.empty()) {
            key = this->keys.make();
            const std::lock_guard lock(this->mutex);
            this->bookingRecords[key];
        }
        exchange.key = key;
        OutgoingRequest request;
        request.url = this->nextGateway() + "/v1/services/" + this->settings.service + "/bookings";
        request.headers.push_back({"Idempotency-Key", key});
        request.body = fmt::format(R"({{"lot":{}}})", exchange.planned.booking);
        return request;
    }

    std::string nextGateway()
    {
        return "http://" + this->settings.gateways[this->sent % this->settings.gateways.size()];
    }

    ExchangeHandlers handlersFor(const std::shared_ptr<Exchange> &exchange)
    {
        ExchangeHandlers handlers;
        handlers.onHead = [exchange](const ResponseHead &head) {
            exchange->received.status = head.status;
            exchange->received.headers = head.headers;
        };
        handlers.onBodyChunk = [exchange](std::string_view chunk) {
            if (exchange->firstByte < Millis(0)) {
                exchange->firstByte = monotonicNow();
            }
            exchange->received.body += chunk;
            return true;
        };
        handlers.onDone = [this, exchange](const Result<void> &result) {
            exchange->received.ended = result.has_value();
            this->finish(*exchange);
        };
        return handlers;
    }

    void finish(const Exchange &exchange)
    {
        const Millis now = monotonicNow();
        const bool isBooking = exchange.planned.kind == RequestKind::Booking;
        LoadSample sample;
        sample.planned = exchange.planned;
        sample.verdict = isBooking ? checkBooking(exchange.key, exchange.received)
                                   : checkCompletion(exchange.expected, exchange.received);
        sample.timeToFirstByte
                = (exchange.firstByte < Millis(0) ? now : exchange.firstByte) - exchange.intended;
        sample.timeToCompletion = now - exchange.intended;
        if (sample.verdict != ResponseVerdict::Good) {
            sample.errorType = errorTypeOf(exchange.received);
        }
        if (isViolation(sample.verdict)) {
            std::cerr << "\n"
                      << verdictName(sample.verdict) << ": request " << exchange.expected.requestId
                      << exchange.key << " model " << exchange.expected.model.name << " answer "
                      << exchange.received.body << "\n";
        }
        const std::lock_guard lock(this->mutex);
        if (isBooking) {
            const auto outcome = findHeader(exchange.received.headers, "Balsamport-Outcome");
            BookingRecord &record = this->bookingRecords[exchange.key];
            const bool ran = outcome == "ran" || sample.verdict == ResponseVerdict::Good;
            record.reportedRan = record.reportedRan || ran;
            record.reportedNotRun = record.reportedNotRun || outcome == "not-run";
        }
        this->samples.push_back(sample);
        this->sampleAdded.notify_all();
    }

    void waitForAll(std::size_t count)
    {
        std::unique_lock lock(this->mutex);
        this->sampleAdded.wait(lock, [this, count] { return this->samples.size() >= count; });
        std::cerr << "\n";
    }

    void readLedgers(LoadReport &report)
    {
        Ledger ledger;
        for (const std::string &address : this->settings.ledgers) {
            OutgoingRequest request;
            request.url = "http://" + address + "/ledger";
            request.timeout = ledgerTimeout;
            const Result<HttpResponse> response = this->client.fetch(request);
            if (response.has_error() || addLedger(response.value().body, ledger).has_error()) {
                std::cerr << "the ledger of " << address << " could not be read or parsed\n";
                return;
            }
        }
        report.ledgerRead = !this->settings.ledgers.empty();
        if (report.ledgerRead) {
            report.ledger = checkLedger(this->bookingRecords, ledger);
        }
    }

    const LoadSettings &settings;
    KeyMaker keys;
    FleetSampler sampler;
    Millis start;
    Millis lastProgress;
    std::uint64_t sent = 0;
    std::map<std::uint64_t, std::string> keysByBooking;
    std::mutex mutex;
    std::condition_variable sampleAdded;
    std::vector<LoadSample> samples;
    std::map<std::string, BookingRecord> bookingRecords;
    HttpClient client; ///< Last, so that it stops before the members that its handlers use.
};

} // namespace

LoadReport runLoad(const LoadSettings &settings)
{
    return LoadRun(settings).run();
}

} // namespace balsamport
