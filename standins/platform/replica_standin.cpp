#include "replica_standin.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <utility>

namespace balsamport::standins {

namespace {

constexpr int okStatus = 200;
constexpr int accepted = 202;
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int misdirected = 421;
constexpr int serverError = 500;
constexpr int unavailable = 503;
constexpr int decimalBase = 10;
constexpr const char *modelName = "m";

std::string headerOf(const IncomingRequest &request, const char *name)
{
    return findHeader(request.headers, name).value_or(std::string());
}

} // namespace

std::string eventText(const std::string &id, std::uint32_t number, std::size_t fillBytes)
{
    return fmt::format("id: {}\ndata: {} {}{}\n\n", number, id, number,
                       std::string(fillBytes, 'x'));
}

Result<std::unique_ptr<ReplicaStandin>> ReplicaStandin::start(ReplicaOptions options)
{
    std::unique_ptr<ReplicaStandin> replica(new ReplicaStandin());
    replica->options = std::move(options);
    replica->startedAt = wallNow().count();
    HttpServerSettings settings;
    settings.address = replica->options.address;
    settings.threads = 1;
    auto server = HttpServer::start(settings,
                                    [raw = replica.get()](const auto &request, const auto &writer) {
                                        raw->serve(request, writer);
                                    });
    if (server.has_error()) {
        return server.error();
    }
    replica->server = std::move(server).value();
    return replica;
}

ReplicaStandin::~ReplicaStandin()
{
    this->server.reset(); // Its handlers use the tasks.
    this->tasks.reset();
}

std::string ReplicaStandin::description(bool draining) const
{
    const std::lock_guard lock(this->mutex);
    const std::string &address = this->options.advertisedAddress.empty()
            ? this->options.address
            : this->options.advertisedAddress;
    return fmt::format(R"({{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":{},)"
                       R"("state":"{}","models":[{{"name":"{}"}}],"sequence":{},"born":{}}})",
                       this->options.service, address, this->options.dataCentre,
                       this->options.engine ? 64 : 6, draining ? "draining" : "ready", modelName,
                       this->commandCount, this->startedAt);
}

std::vector<HttpHeaders> ReplicaStandin::receivedRequestHeaders() const
{
    const std::lock_guard lock(this->mutex);
    return this->receivedHeaders;
}

std::vector<Millis> ReplicaStandin::receivedRequestTimes() const
{
    const std::lock_guard lock(this->mutex);
    return this->receivedTimes;
}

void ReplicaStandin::setFaults(const ReplicaFaults &newFaults)
{
    const std::lock_guard lock(this->mutex);
    this->faults = newFaults;
}

void ReplicaStandin::stateRateLimit(const std::string &perSecond)
{
    const std::lock_guard lock(this->mutex);
    this->rateLimit = perSecond;
}

void ReplicaStandin::restart()
{
    const std::lock_guard lock(this->mutex);
    ++this->generation;
    this->commandCount = 0;
    this->adapters.clear();
    this->pending.clear();
    this->runningRequests.clear();
    this->receivedCommands.clear();
    this->startedAt = std::max(this->startedAt + 1, wallNow().count());
}

std::map<std::string, std::uint32_t> ReplicaStandin::runs() const
{
    const std::lock_guard lock(this->mutex);
    return this->runCounts;
}

std::vector<ReceivedCommand> ReplicaStandin::commands() const
{
    const std::lock_guard lock(this->mutex);
    return this->receivedCommands;
}

bool ReplicaStandin::wasOverfilled() const
{
    const std::lock_guard lock(this->mutex);
    return this->overfilled;
}

std::uint32_t ReplicaStandin::misses() const
{
    const std::lock_guard lock(this->mutex);
    return this->missCount;
}

bool ReplicaStandin::chance(double share)
{
    // A linear congruential generator with a fixed seed, so that runs are reproducible.
    constexpr std::uint64_t factor = 6364136223846793005U;
    constexpr std::uint64_t step = 1442695040888963407U;
    constexpr int usedBits = 33;
    constexpr double range = 2147483648.0;
    this->random = this->random * factor + step;
    return static_cast<double>(this->random >> usedBits) / range < share;
}

void ReplicaStandin::serve(const std::shared_ptr<const IncomingRequest> &request,
                           const std::shared_ptr<ResponseWriter> &writer)
{
    const std::lock_guard lock(this->mutex);
    const std::string expected = headerOf(*request, "X-Expect-Instance");
    if (!expected.empty() && expected != this->options.id) {
        writer->send(HttpResponse{misdirected, {{"X-Instance-Id", this->options.id}}, ""});
    } else if (request->path == "/v1/report") {
        this->serveReport(writer);
    } else if (request->path == "/v1/order") {
        this->serveCommand(*request, writer);
    } else {
        this->serveRequest(*request, writer);
    }
}

void ReplicaStandin::serveReport(const std::shared_ptr<ResponseWriter> &writer)
{
    std::string held;
    for (const auto &[name, version] : this->adapters) {
        held += (held.empty() ? "\"" : ",\"") + name + "@" + std::to_string(version) + "\"";
    }
    std::string loading;
    for (const auto &[name, ready] : this->pending) {
        loading += (loading.empty() ? "\"" : ",\"") + std::string(modelName) + "/" + name + "@1\"";
    }
    writer->send(HttpResponse{
            okStatus,
            {{"Content-Type", "application/json"}},
            fmt::format(
                    R"({{"stage":"both","models":[{{"name":"{}","version":1,"adapters":[{}]}}],)"
                    R"("busy":false,"sequence":{},"waiting":0,"running":0,"pending":[{}]}})",
                    modelName, held, this->commandCount, loading)});
}

void ReplicaStandin::serveCommand(const IncomingRequest &request,
                                  const std::shared_ptr<ResponseWriter> &writer)
{
    rapidjson::Document commandBody;
    commandBody.Parse(request.body.c_str());
    if (commandBody.HasParseError() || !commandBody.IsObject() || !commandBody.HasMember("holder")
        || !commandBody.HasMember("fencing_token")) {
        writer->send(HttpResponse{badRequest, {}, ""});
        return;
    }
    ReceivedCommand command;
    command.holder = commandBody["holder"].GetString();
    command.fencingNumber = commandBody["fencing_token"].GetUint64();
    command.at = monotonicNow();
    const bool isExpectedCount = !commandBody.HasMember("expect")
            || commandBody["expect"].GetUint64() == this->commandCount;
    const std::string adapter
            = commandBody.HasMember("adapter") ? commandBody["adapter"].GetString() : "";
    const std::uint64_t version
            = commandBody.HasMember("version") ? commandBody["version"].GetUint64() : 1;
    command.status = !isExpectedCount
            ? conflict
            : this->applyCommand(commandBody["operation"].GetString(), adapter, version);
    this->receivedCommands.push_back(command);
    writer->send(HttpResponse{command.status, {}, ""});
}

int ReplicaStandin::applyCommand(const std::string &operation, const std::string &adapter,
                                 std::uint64_t version)
{
    if (adapter.empty()) {
        return okStatus; // The base model is always resident.
    }
    if (operation == "unload") {
        if (this->runningRequests[adapter] > 0) {
            return accepted;
        }
        ++this->commandCount;
        this->adapters.erase(adapter);
        return okStatus;
    }
    if (this->pending.count(adapter) != 0) {
        return accepted;
    }
    const auto resident = this->adapters.find(adapter);
    if (resident != this->adapters.end() && resident->second == version) {
        return okStatus;
    }
    this->adapters.erase(adapter);
    ++this->commandCount;
    if (this->adapters.size() + this->pending.size() >= this->options.adapterSlots) {
        this->overfilled = true;
    }
    this->pending[adapter] = monotonicNow() + this->options.loadTime;
    this->tasks->after(this->options.loadTime,
                       [this, adapter, version, generationAtStart = this->generation] {
                           const std::lock_guard lock(this->mutex);
                           if (generationAtStart == this->generation) {
                               this->pending.erase(adapter);
                               this->adapters[adapter] = version;
                           }
                       });
    return accepted;
}

void ReplicaStandin::serveRequest(const IncomingRequest &request,
                                  const std::shared_ptr<ResponseWriter> &writer)
{
    const std::string id = headerOf(request, "X-Request-Id");
    const std::string model = headerOf(request, "X-Model");
    const std::string adapter
            = model.find('/') == std::string::npos ? "" : model.substr(model.find('/') + 1);
    HttpHeaders headers{{"X-Request-Id", id}, {"X-Response-Seal", "seal-" + id}};
    this->receivedHeaders.push_back(request.headers);
    this->receivedTimes.push_back(monotonicNow());
    if (!this->rateLimit.empty()) {
        headers.push_back({"Server-Limit", this->rateLimit});
    }
    if (this->faults.announcesDraining) {
        headers.push_back({"Server-Leaving", "1"});
    }
    if (this->chance(this->faults.shedShare)) {
        HttpHeaders refusal{{"X-Not-Executed", "1"}};
        if (!this->faults.retryAfter.empty()) {
            refusal.push_back({"Retry-After", this->faults.retryAfter});
        }
        writer->send(HttpResponse{unavailable, std::move(refusal), ""});
        return;
    }
    if (this->options.engine && !adapter.empty() && this->adapters.count(adapter) == 0) {
        ++this->missCount;
        writer->send(HttpResponse{misdirected, {{"X-Instance-Id", this->options.id}}, ""});
        return;
    }
    ++this->runCounts[id];
    if (this->chance(this->faults.dropShare)) {
        writer->abort();
        return;
    }
    if (this->chance(this->faults.failShare)) {
        writer->send(HttpResponse{serverError, headers, "failed"});
        return;
    }
    if (!this->options.engine) {
        this->tasks->after(this->options.serviceTime, [id, headers, writer] {
            writer->send(HttpResponse{okStatus, headers, "done " + id});
        });
        return;
    }
    ++this->runningRequests[adapter];
    writer->startStream(okStatus, headers);
    if (this->hasCrashingPart(headerOf(request, "X-Prompt-Prefix"))) {
        // The connection stays open until the replica ends.
        this->tasks->after(this->options.serviceTime,
                           [writer, crash = this->options.onCrash] { crash(); });
        return;
    }
    const std::string resumed = headerOf(request, "Last-Event-Id");
    const auto first = static_cast<std::uint32_t>(std::strtoul(resumed.c_str(), nullptr, 10)) + 1;
    StreamRun run;
    run.id = id;
    run.adapter = adapter;
    run.fillBytes
            = std::strtoul(headerOf(request, "Event-Fill-Bytes").c_str(), nullptr, decimalBase);
    run.last = this->options.events;
    if (this->chance(this->faults.abortShare)) {
        run.last /= 2;
        run.endsInsideEvent = this->chance(this->faults.halfEventShare);
    }
    this->sendEvent(run, first, writer);
}

bool ReplicaStandin::hasCrashingPart(const std::string &prompt) const
{
    const std::string shared = prompt.substr(0, prompt.rfind(',') + 1);
    return std::any_of(this->faults.crashingParts.begin(), this->faults.crashingParts.end(),
                       [&shared](const std::string &part) {
                           return ("," + shared).find("," + part + ":") != std::string::npos;
                       });
}

void ReplicaStandin::sendEvent(const StreamRun &run, std::uint32_t number,
                               const std::shared_ptr<ResponseWriter> &writer)
{
    this->tasks->after(this->options.serviceTime, [this, run, number, writer] {
        const std::lock_guard lock(this->mutex);
        if (number <= run.last && !writer->isDisconnected()) {
            writer->write(eventText(run.id, number, run.fillBytes), {});
            this->sendEvent(run, number + 1, writer);
            return;
        }
        std::uint32_t &count = this->runningRequests[run.adapter];
        count -= count > 0 ? 1 : 0;
        if (run.last == this->options.events) {
            writer->finish();
            return;
        }
        if (run.endsInsideEvent) {
            const std::string next = eventText(run.id, number, run.fillBytes);
            writer->write(next.substr(0, next.size() / 2), {});
        }
        writer->abort();
    });
}

} // namespace balsamport::standins
