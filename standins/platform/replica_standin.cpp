#include "replica_standin.h"

#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

namespace balsamport::standins {

namespace {

/// The limit that configurations state for callers.
constexpr std::uint64_t maxBodyBytes = 4 * 1024 * 1024;

constexpr int okStatus = 200;
constexpr int accepted = 202;
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int notFound = 404;
constexpr int misdirected = 421;
constexpr int serverError = 500;
constexpr int unavailable = 503;
constexpr int decimalBase = 10;
constexpr const char *modelName = "m";
constexpr const char *holdDropPath = "/v1/hold-drop/";

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
    settings.maxBodyBytes = maxBodyBytes;
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
    this->unloading.clear();
    this->reservations.clear();
    this->modelLoaded = !this->options.restartsEmpty;
    this->modelLoading = false;
    this->kvUsed = 0;
    this->reports.clear();
    this->runningRequests.clear();
    this->startedAt = std::max(this->startedAt + 1, wallNow().count());
    this->saveReport();
}

std::map<std::string, std::uint32_t> ReplicaStandin::runs() const
{
    const std::lock_guard lock(this->mutex);
    return this->runCounts;
}

std::vector<ReceivedCommand> ReplicaStandin::commands() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<ReceivedCommand> result;
    std::copy_if(this->receivedCommands.begin(), this->receivedCommands.end(),
                 std::back_inserter(result), [this](const ReceivedCommand &command) {
                     return command.run == this->generation;
                 });
    return result;
}

std::vector<ReceivedCommand> ReplicaStandin::allCommands() const
{
    const std::lock_guard lock(this->mutex);
    return this->receivedCommands;
}

std::pair<std::size_t, std::size_t> ReplicaStandin::reservationCounts() const
{
    const std::lock_guard lock(this->mutex);
    return {this->reservationsGranted, this->reservationsRefused};
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
    } else if (request->path == "/v1/hold-take") {
        this->takeReservation(*request, writer);
    } else if (request->path.rfind(holdDropPath, 0) == 0) {
        this->reservations.erase(
                std::strtoull(request->path.c_str() + std::string_view(holdDropPath).size(),
                              nullptr, decimalBase));
        writer->send(HttpResponse{okStatus, {}, ""});
    } else {
        this->serveRequest(*request, writer);
    }
}

std::string ReplicaStandin::reportText() const
{
    std::string held;
    for (const auto &[name, version] : this->adapters) {
        held += (held.empty() ? "\"" : ",\"") + name + "@" + std::to_string(version) + "\"";
    }
    std::string loading;
    for (const auto &[name, ready] : this->pending) {
        loading += (loading.empty() ? "\"" : ",\"") + std::string(modelName) + "/" + name + "@1\"";
    }
    const std::string models = this->modelLoaded
            ? fmt::format(R"({{"name":"{}","version":1,"adapters":[{}]}})", modelName, held)
            : std::string();
    std::size_t running = 0;
    for (const auto &[adapter, count] : this->runningRequests) {
        running += count;
    }
    return fmt::format(R"({{"stage":"both","models":[{}],"busy":{},"sequence":{},"waiting":0,)"
                       R"("running":{},"kv_used":{},"kv_total":{},"born":{},"pending":[{}]}})",
                       models, this->modelLoading, this->commandCount, running, this->kvUsed,
                       this->options.kvTokens, this->startedAt, loading);
}

void ReplicaStandin::saveReport()
{
    const Millis now = monotonicNow();
    this->reports.emplace_back(now, this->reportText());
    while (this->reports.size() > 1 && this->reports[1].first <= now - this->options.reportAge) {
        this->reports.pop_front();
    }
}

void ReplicaStandin::serveReport(const std::shared_ptr<ResponseWriter> &writer)
{
    this->saveReport();
    writer->send(HttpResponse{
            okStatus, {{"Content-Type", "application/json"}}, this->reports.front().second});
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
    command.operation = commandBody["operation"].GetString();
    command.countBefore = this->commandCount;
    command.run = this->generation;
    if (commandBody.HasMember("expect")) {
        command.expectedCount = commandBody["expect"].GetUint64();
    }
    if (commandBody.HasMember("adapter")) {
        command.adapter = commandBody["adapter"].GetString();
    }
    command.status = this->applyCommand(
            command, commandBody.HasMember("version") ? commandBody["version"].GetUint64() : 1);
    this->receivedCommands.push_back(command);
    this->saveReport();
    writer->send(HttpResponse{command.status, {}, ""});
}

/// As engines do, accepts a command that equals one in progress, whoever sends it, without
/// comparing the expected count. Any other command is compared first.
int ReplicaStandin::applyCommand(const ReceivedCommand &command, std::uint64_t version)
{
    const bool isExpectedCount
            = !command.expectedCount || *command.expectedCount == this->commandCount;
    if (command.adapter.empty()) {
        return this->loadModel(isExpectedCount);
    }
    const bool isUnload = command.operation == "unload";
    if (isUnload ? this->unloading.count(command.adapter) != 0
                 : this->pending.count(command.adapter) != 0) {
        return accepted;
    }
    if (!isExpectedCount || !this->modelLoaded) {
        return conflict;
    }
    return isUnload ? this->unloadAdapter(command.adapter)
                    : this->loadAdapter(command.adapter, version);
}

int ReplicaStandin::loadModel(bool isExpectedCount)
{
    if (this->modelLoading) {
        return accepted;
    }
    if (!isExpectedCount) {
        return conflict;
    }
    if (this->modelLoaded) {
        return okStatus;
    }
    ++this->commandCount;
    this->modelLoading = true;
    this->tasks->after(this->options.modelLoadTime, [this, run = this->generation] {
        const std::lock_guard lock(this->mutex);
        if (run == this->generation) {
            this->modelLoading = false;
            this->modelLoaded = true;
            this->saveReport();
        }
    });
    return accepted;
}

int ReplicaStandin::unloadAdapter(const std::string &adapter)
{
    if (this->adapters.count(adapter) == 0) {
        return okStatus;
    }
    ++this->commandCount;
    if (this->runningRequests[adapter] > 0) {
        this->unloading.insert(adapter);
        return accepted;
    }
    this->adapters.erase(adapter);
    return okStatus;
}

int ReplicaStandin::loadAdapter(const std::string &adapter, std::uint64_t version)
{
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
                               this->saveReport();
                           }
                       });
    return accepted;
}

/// Answers by the policy; an exclusive one grants memory that neither running requests nor other
/// reservations take.
void ReplicaStandin::takeReservation(const IncomingRequest &request,
                                     const std::shared_ptr<ResponseWriter> &writer)
{
    const ReservationPolicy policy = this->options.reservations;
    if (policy == ReservationPolicy::Unknown) {
        ++this->reservationsRefused;
        writer->send(HttpResponse{notFound, {}, ""});
        return;
    }
    rapidjson::Document body;
    body.Parse(request.body.c_str());
    if (body.HasParseError() || !body.IsObject() || !body.HasMember("tokens")
        || !body.HasMember("ttl_ms")) {
        writer->send(HttpResponse{badRequest, {}, ""});
        return;
    }
    const Millis now = monotonicNow();
    std::erase_if(this->reservations,
                  [now](const auto &entry) { return entry.second.second <= now; });
    const std::uint64_t tokens = body["tokens"].GetUint64();
    std::uint64_t taken = this->kvUsed;
    for (const auto &[id, reservation] : this->reservations) {
        taken += reservation.first;
    }
    if (policy == ReservationPolicy::RefuseAll
        || (policy == ReservationPolicy::Exclusive && taken + tokens > this->options.kvTokens)) {
        ++this->reservationsRefused;
        writer->send(HttpResponse{unavailable, {{"X-Not-Executed", "1"}}, ""});
        return;
    }
    const std::uint64_t id = ++this->reservationsGranted;
    this->reservations[id] = {tokens, now + Millis(body["ttl_ms"].GetInt64())};
    writer->send(HttpResponse{okStatus,
                              {{"Content-Type", "application/json"}},
                              fmt::format(R"({{"hold":"{}"}})", id)});
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
    if (this->options.engine && this->unloading.count(adapter) != 0) {
        writer->send(HttpResponse{unavailable, {{"X-Not-Executed", "1"}}, ""});
        return;
    }
    if (this->options.engine
        && (!this->modelLoaded || (!adapter.empty() && this->adapters.count(adapter) == 0))) {
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
    StreamRun run;
    run.kvTokens = std::strtoul(headerOf(request, "X-Token-Usage").c_str(), nullptr, decimalBase);
    run.engineRun = this->generation;
    ++this->runningRequests[adapter];
    this->kvUsed += run.kvTokens;
    this->saveReport();
    writer->startStream(okStatus, headers);
    if (this->hasCrashingPart(headerOf(request, "X-Prompt-Prefix"))) {
        // The connection stays open until the replica ends.
        this->tasks->after(this->options.serviceTime,
                           [writer, crash = this->options.onCrash] { crash(); });
        return;
    }
    const std::string resumed = headerOf(request, "Last-Event-Id");
    const auto first = static_cast<std::uint32_t>(std::strtoul(resumed.c_str(), nullptr, 10)) + 1;
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

void ReplicaStandin::endStream(const StreamRun &run)
{
    if (run.engineRun != this->generation) {
        return;
    }
    std::uint32_t &count = this->runningRequests[run.adapter];
    count -= count > 0 ? 1 : 0;
    this->kvUsed -= std::min(this->kvUsed, run.kvTokens);
    if (count == 0 && this->unloading.erase(run.adapter) != 0) {
        this->adapters.erase(run.adapter);
    }
    this->saveReport();
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
        this->endStream(run);
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
