#include "standin.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <utility>

namespace po = boost::program_options;

namespace balsamport::standin {

namespace {

constexpr std::string_view crashMarker = "CRASH-ENGINE";
constexpr int crashExitCode = 70;
constexpr Millis resumeWindow{2'000};
constexpr std::int64_t defaultTokens = 16;
constexpr std::int64_t defaultDeadlineMillis = 10'000;
constexpr std::size_t prefixBlockBytes = 256;
constexpr std::size_t maxCacheEvents = 1'000;
constexpr Millis reportPeriod{20};
constexpr int percentRange = 100;

/// One request that is queued or running, or has finished and may still be resumed.
struct Generation
{
    std::string id;
    std::string model;
    std::string prompt;
    std::int64_t tokens = defaultTokens;
    std::int64_t priority = 0; ///< Lower values run first, as in vLLM.
    bool chat = true;
    bool stream = false;
    bool done = false;
    std::vector<std::string> words; ///< Generated so far.
    std::size_t firstWanted = 0; ///< Index of the first word that the caller lacks.
    Writer writer; ///< Null while no caller is connected.
    Millis detachedAt;
};

using GenerationPtr = std::shared_ptr<Generation>;

struct CacheEvent
{
    std::uint64_t number = 0;
    std::string prefix;
    bool stored = true;
};

struct Report
{
    Millis at;
    std::string json; ///< Without the age and the closing brace.
};

std::string wordAt(const Generation &generation, std::size_t index)
{
    constexpr std::size_t headerWords = 2;
    if (index == 0) {
        return generation.model;
    }
    return index == 1 ? generation.id : "t" + std::to_string(index - headerWords);
}

std::string choiceJson(const Generation &generation, const std::string &text, bool isChunk)
{
    if (!generation.chat) {
        return R"("text":)" + jsonString(text);
    }
    return isChunk
            ? fmt::format(R"("delta":{{"content":{}}})", jsonString(text))
            : fmt::format(R"("message":{{"role":"assistant","content":{}}})", jsonString(text));
}

std::string completionJson(const Generation &generation, const std::string &text, bool isChunk,
                           bool isLast)
{
    const std::string_view chatObject = isChunk ? "chat.completion.chunk" : "chat.completion";
    const std::string usage = isLast
            ? fmt::format(R"(,"usage":{{"completion_tokens":{}}})", generation.words.size())
            : "";
    return fmt::format(
            R"({{"id":{},"object":"{}","model":{},"choices":[{{"index":0,{},"finish_reason":{}}}]{}}})",
            jsonString(generation.id), generation.chat ? chatObject : "text_completion",
            jsonString(generation.model), choiceJson(generation, text, isChunk),
            isLast ? "\"stop\"" : "null", usage);
}

/// Formats the event of one word; the event after the last word ends the response.
std::string eventText(const Generation &generation, std::size_t index)
{
    const bool isLast = index == generation.words.size();
    const std::string text = isLast ? "" : generation.words[index] + " ";
    std::string event = "id: " + std::to_string(index)
            + "\ndata: " + completionJson(generation, text, true, isLast) + "\n\n";
    return isLast ? event + "data: [DONE]\n\n" : event;
}

std::string promptOf(const rapidjson::Value &body)
{
    std::string prompt = stringMember(body, "prompt");
    if (body.HasMember("messages") && body["messages"].IsArray()) {
        for (const auto &message : body["messages"].GetArray()) {
            prompt += stringMember(message, "content") + "\n";
        }
    }
    return prompt;
}

bool parseObject(const std::string &text, rapidjson::Document &document)
{
    return !document.Parse(text.c_str(), text.size()).HasParseError() && document.IsObject();
}

/// A model engine with adapter slots and continuous batching.
class Engine
{
public:
    explicit Engine(const Options &options)
        : name(options["id"].as<std::string>())
        , slots(options["slots"].as<std::size_t>())
        , batchWidth(options["batch"].as<std::size_t>())
        , loadTime(options["load-ms"].as<std::int64_t>())
        , reportLag(options["report-lag-ms"].as<std::int64_t>())
        , cacheBlocks(options["cache-blocks"].as<std::size_t>())
        , failLoadPercent(options["fail-loads"].as<int>())
        , checksFencing(options["check-fencing"].as<bool>())
        , oneAdapterBatch(options["one-adapter-batch"].as<bool>())
        , start(static_cast<std::uint64_t>(wallNow().count()))
        , random(options["seed"].as<std::uint32_t>())
    {
        this->timer.every(Millis(options["token-ms"].as<std::int64_t>()),
                          [this] { this->decodeStep(); });
        this->timer.every(reportPeriod, [this] { this->recordReport(); });
    }

    void handle(const Request &request, const Writer &writer)
    {
        rapidjson::Document body;
        body.SetObject();
        if (request->method != "GET" && !parseObject(request->body, body)) {
            sendError(*writer, 400, "invalid_json");
            return;
        }
        const std::lock_guard lock(this->mutex);
        const std::string &path = request->path;
        if (path == "/v1/chat/completions" || path == "/v1/completions") {
            this->generate(*request, body, writer);
        } else if (path == "/v1/load_lora_adapter") {
            this->load(body, writer);
        } else if (path == "/v1/unload_lora_adapter") {
            this->unload(body, *writer);
        } else if (path == "/v1/load") {
            sendJson(*writer, 200, this->laggingReport());
        } else if (path == "/v1/cache/events") {
            sendJson(*writer, 200, this->cacheEventsJson(queryNumber(request->query, "after", 0)));
        } else if (path == "/v1/kv/import") {
            this->importState(body, *writer);
        } else {
            this->handleGeneration(path, body, writer);
        }
    }

private:
    // The functions below are guarded by mutex, except for the timer's tasks, which lock it
    // themselves: decodeStep(), recordReport() and endLoad().

    /// Handles a request to resume, cancel or export a generation that the engine holds.
    void handleGeneration(const std::string &path, const rapidjson::Value &body,
                          const Writer &writer)
    {
        const auto found = this->generations.find(stringMember(body, "request_id"));
        if (found == this->generations.end()) {
            sendError(*writer, 404, "request_unknown");
        } else if (path == "/v1/resume") {
            this->resume(found->second, member<std::int64_t>(body, "after", -1) + 1, writer);
        } else if (path == "/v1/cancel") {
            this->removeGeneration(found->first);
            sendJson(*writer, 200, "{}");
        } else if (path == "/v1/kv/export") {
            exportState(*found->second, *writer);
        } else {
            sendError(*writer, 404, "not_found");
        }
    }

    void generate(const IncomingRequest &request, const rapidjson::Value &body,
                  const Writer &writer)
    {
        const auto generation = std::make_shared<Generation>();
        generation->model = stringMember(body, "model");
        generation->id = findHeader(request.headers, "Balsamport-Request-Id")
                                 .value_or("local-" + std::to_string(++this->requestsSeen));
        generation->prompt = promptOf(body);
        const auto tokens = member<std::int64_t>(body, "max_completion_tokens", defaultTokens);
        generation->tokens = member<std::int64_t>(body, "max_tokens", tokens);
        generation->priority = member<std::int64_t>(body, "priority", 0);
        generation->chat = request.path == "/v1/chat/completions";
        generation->stream = member<bool>(body, "stream", false);
        if (this->enqueue(generation, *writer)) {
            attach(*generation, writer);
            this->admit();
        }
    }

    /// @return false where the adapter is not loaded; the error response has then been sent
    bool enqueue(const GenerationPtr &generation, ResponseWriter &writer)
    {
        const bool isBaseModel = generation->model.find('/') == std::string::npos;
        if (!isBaseModel && !this->resident.contains(generation->model)) {
            sendError(writer, 404, "adapter_not_loaded", generation->model);
            return false;
        }
        this->removeGeneration(generation->id);
        this->generations[generation->id] = generation;
        const auto position = std::upper_bound(
                this->waiting.begin(), this->waiting.end(), generation,
                [](const auto &a, const auto &b) { return a->priority < b->priority; });
        this->waiting.insert(position, generation);
        return true;
    }

    static void attach(Generation &generation, const Writer &writer)
    {
        generation.writer = writer;
        if (generation.stream) {
            writer->startStream(200,
                                {{"Content-Type", "text/event-stream"},
                                 {"Balsamport-Model", generation.model}});
        }
    }

    static void resume(const GenerationPtr &generation, std::int64_t next, const Writer &writer)
    {
        if (generation->writer != nullptr) {
            generation->writer->abort();
        }
        attach(*generation, writer);
        generation->firstWanted = static_cast<std::size_t>(next);
        for (std::size_t i = 0; i < generation->words.size(); ++i) {
            sendWord(*generation, i);
        }
        if (generation->done) {
            sendEnd(*generation);
        }
    }

    /// Removes a request in any state and aborts its connection.
    void removeGeneration(const std::string &id)
    {
        const auto found = this->generations.find(id);
        if (found == this->generations.end()) {
            return;
        }
        const GenerationPtr generation = found->second;
        if (generation->writer != nullptr) {
            generation->writer->abort();
        }
        std::erase(this->waiting, generation);
        std::erase(this->batch, generation);
        this->generations.erase(found);
    }

    // --- The continuous batch.

    void decodeStep()
    {
        const std::lock_guard lock(this->mutex);
        this->dropDetached(monotonicNow());
        const std::vector<GenerationPtr> current = this->batch;
        for (const GenerationPtr &generation : current) {
            this->advance(generation);
        }
        this->admit();
    }

    void admit()
    {
        auto next = this->waiting.begin();
        while (next != this->waiting.end() && this->batch.size() < this->batchWidth) {
            const GenerationPtr generation = *next;
            const bool fits = !this->oneAdapterBatch || this->batch.empty()
                    || this->batch.front()->model == generation->model;
            if (fits) {
                this->startRunning(*generation);
                this->batch.push_back(generation);
                next = this->waiting.erase(next);
            } else {
                ++next;
            }
        }
    }

    void startRunning(const Generation &generation)
    {
        if (generation.prompt.find(crashMarker) != std::string::npos) {
            LOG(ERROR) << logprefix::standin << "Crash on a marked prompt. engine=" << this->name
                       << " request=" << generation.id;
            _exit(crashExitCode);
        }
        for (std::size_t end = prefixBlockBytes; end <= generation.prompt.size();
             end += prefixBlockBytes) {
            this->storePrefix(fmt::format(
                    "{:016x}", hash64(std::string_view(generation.prompt).substr(0, end))));
        }
    }

    static void sendWord(const Generation &generation, std::size_t index)
    {
        const bool isMissing = index >= generation.firstWanted;
        if (generation.stream && generation.writer != nullptr && isMissing) {
            generation.writer->write(eventText(generation, index), [] {});
        }
    }

    void advance(const GenerationPtr &generation)
    {
        const std::size_t index = generation->words.size();
        generation->words.push_back(wordAt(*generation, index));
        sendWord(*generation, index);
        if (static_cast<std::int64_t>(generation->words.size()) < generation->tokens) {
            return;
        }
        generation->done = true;
        std::erase(this->batch, generation);
        generation->detachedAt = monotonicNow();
        if (generation->writer != nullptr) {
            this->sendEnd(*generation);
        }
    }

    /// Ends the response. The request is kept for the resume window, because its caller may not
    /// have received all of it.
    static void sendEnd(Generation &generation)
    {
        if (generation.stream) {
            generation.writer->write(eventText(generation, generation.words.size()), [] {});
            generation.writer->finish();
        } else {
            const std::string text = fmt::format("{}", fmt::join(generation.words, " "));
            sendJson(*generation.writer, 200, completionJson(generation, text, false, true),
                     {{"Balsamport-Model", generation.model}});
        }
        generation.writer = nullptr;
        generation.detachedAt = monotonicNow();
    }

    void dropDetached(Millis now)
    {
        std::vector<std::string> expired;
        for (const auto &[id, generation] : this->generations) {
            if (generation->writer != nullptr && generation->writer->isDisconnected()) {
                generation->writer = nullptr;
                generation->detachedAt = now;
            }
            if (generation->writer == nullptr && now - generation->detachedAt > resumeWindow) {
                expired.push_back(id);
            }
        }
        for (const std::string &id : expired) {
            this->removeGeneration(id);
        }
    }

    // --- Adapters.

    /// @return false where the command was refused; the error response has then been sent
    bool acceptCommand(const rapidjson::Value &body, ResponseWriter &writer)
    {
        const auto number = static_cast<std::uint64_t>(member<std::int64_t>(body, "fencing", 0));
        if (this->checksFencing && number < this->fencing) {
            sendJson(writer, 409,
                     fmt::format(R"({{"error":{{"code":"fencing_refused","fencing":{}}}}})",
                                 this->fencing));
            return false;
        }
        if (member<std::int64_t>(body, "deadline_ms", defaultDeadlineMillis) <= 0) {
            sendError(writer, 409, "order_expired");
            return false;
        }
        this->fencing = this->checksFencing ? number : 0;
        return true;
    }

    void load(const rapidjson::Value &body, const Writer &writer)
    {
        const std::string adapter = stringMember(body, "lora_name");
        if (!this->acceptCommand(body, *writer)) {
            return;
        }
        if (this->resident.contains(adapter)) {
            sendJson(*writer, 200, "{}");
            return;
        }
        const auto loadInProgress = this->loads.find(adapter);
        if (loadInProgress != this->loads.end()) {
            loadInProgress->second.push_back(writer);
            return;
        }
        if (this->resident.size() + this->loads.size() >= this->slots) {
            sendError(*writer, 409, "no_slot");
            return;
        }
        this->loads[adapter].push_back(writer);
        this->timer.after(this->loadTime, [this, adapter] { this->endLoad(adapter); });
    }

    void endLoad(const std::string &adapter)
    {
        const std::lock_guard lock(this->mutex);
        const std::vector<Writer> waiters = std::move(this->loads[adapter]);
        this->loads.erase(adapter);
        const bool failed = std::uniform_int_distribution(0, percentRange - 1)(this->random)
                < this->failLoadPercent;
        if (!failed) {
            this->resident.insert(adapter);
        }
        LOG(INFO) << logprefix::standin << (failed ? "Load failed." : "Loaded.")
                  << " engine=" << this->name << " adapter=" << adapter;
        for (const Writer &writer : waiters) {
            if (failed) {
                sendError(*writer, 500, "load_failed", adapter);
            } else {
                sendJson(*writer, 200, "{}");
            }
        }
    }

    void unload(const rapidjson::Value &body, ResponseWriter &writer)
    {
        const std::string adapter = stringMember(body, "lora_name");
        if (!this->acceptCommand(body, writer)) {
            return;
        }
        if (this->requestsByAdapter().contains(adapter)) {
            sendError(writer, 409, "adapter_running", adapter);
            return;
        }
        this->resident.erase(adapter);
        LOG(INFO) << logprefix::standin << "Unloaded. engine=" << this->name
                  << " adapter=" << adapter;
        sendJson(writer, 200, "{}");
    }

    [[nodiscard]] std::map<std::string, std::uint64_t> requestsByAdapter() const
    {
        std::map<std::string, std::uint64_t> counts;
        for (const auto &[id, generation] : this->generations) {
            if (!generation->done) {
                ++counts[generation->model];
            }
        }
        return counts;
    }

    // --- Reports.

    void recordReport()
    {
        if (this->reportLag == Millis(0)) {
            return;
        }
        const std::lock_guard lock(this->mutex);
        const Millis now = monotonicNow();
        this->reports.push_back(Report{now, this->reportJson()});
        while (this->reports.size() > 1 && this->reports[1].at <= now - this->reportLag) {
            this->reports.pop_front();
        }
    }

    [[nodiscard]] std::string laggingReport() const
    {
        if (this->reports.empty()) {
            return this->reportJson() + ",\"age_ms\":0}";
        }
        const Report &report = this->reports.front();
        const Millis age = monotonicNow() - report.at;
        return report.json + ",\"age_ms\":" + std::to_string(age.count()) + "}";
    }

    [[nodiscard]] std::string reportJson() const
    {
        std::vector<std::string> names;
        for (const std::string &adapter : this->resident) {
            names.push_back(jsonString(adapter));
        }
        std::vector<std::string> counts;
        for (const auto &[adapter, count] : this->requestsByAdapter()) {
            counts.push_back(jsonString(adapter) + ":" + std::to_string(count));
        }
        return fmt::format(R"({{"resident":[{}],"running_adapters":{{{}}},"fencing":{},"slots":{},)"
                           R"("running":{},"waiting":{},"loading":{},"batch_width":{},"start":{})",
                           fmt::join(names, ","), fmt::join(counts, ","), this->fencing,
                           this->slots, this->batch.size(), this->waiting.size(),
                           this->loads.size(), this->batchWidth, this->start);
    }

    // --- Cache of prompt prefixes.

    void storePrefix(const std::string &prefix)
    {
        const auto known = std::find(this->cache.begin(), this->cache.end(), prefix);
        if (known != this->cache.end()) {
            this->cache.splice(this->cache.begin(), this->cache, known);
            return;
        }
        this->cache.push_front(prefix);
        this->cacheEvents.push_back(CacheEvent{++this->cacheEventsSeen, prefix, true});
        if (this->cache.size() > this->cacheBlocks) {
            const std::string &oldest = this->cache.back();
            this->cacheEvents.push_back(CacheEvent{++this->cacheEventsSeen, oldest, false});
            this->cache.pop_back();
        }
        while (this->cacheEvents.size() > maxCacheEvents) {
            this->cacheEvents.pop_front();
        }
    }

    [[nodiscard]] std::string cacheEventsJson(std::int64_t after) const
    {
        std::vector<std::string> events;
        for (const CacheEvent &event : this->cacheEvents) {
            if (std::cmp_greater(event.number, after)) {
                events.push_back(fmt::format(R"({{"n":{},"prefix":"{}","stored":{}}})",
                                             event.number, event.prefix, event.stored));
            }
        }
        return fmt::format(R"({{"events":[{}],"next":{}}})", fmt::join(events, ","),
                           this->cacheEventsSeen);
    }

    // --- State of a request, for its handover to another engine.

    static void exportState(const Generation &generation, ResponseWriter &writer)
    {
        sendJson(writer, 200,
                 fmt::format(R"({{"request_id":{},"model":{},"tokens":{},"produced":{},)"
                             R"("chat":{},"stream":{}}})",
                             jsonString(generation.id), jsonString(generation.model),
                             generation.tokens, generation.words.size(), generation.chat,
                             generation.stream));
    }

    /// Continues an exported request; its caller must resume it within the resume window.
    void importState(const rapidjson::Value &body, ResponseWriter &writer)
    {
        const auto generation = std::make_shared<Generation>();
        generation->id = stringMember(body, "request_id");
        generation->model = stringMember(body, "model");
        generation->tokens = member<std::int64_t>(body, "tokens", defaultTokens);
        generation->chat = member<bool>(body, "chat", true);
        generation->stream = member<bool>(body, "stream", false);
        generation->detachedAt = monotonicNow();
        const auto produced = member<std::int64_t>(body, "produced", 0);
        for (std::int64_t i = 0; i < produced; ++i) {
            generation->words.push_back(wordAt(*generation, generation->words.size()));
        }
        if (this->enqueue(generation, writer)) {
            sendJson(writer, 200, "{}");
        }
    }

    const std::string name;
    const std::size_t slots;
    const std::size_t batchWidth;
    const Millis loadTime;
    const Millis reportLag;
    const std::size_t cacheBlocks;
    const int failLoadPercent;
    const bool checksFencing;
    const bool oneAdapterBatch;
    const std::uint64_t start;
    std::mutex mutex;
    std::mt19937 random;
    std::uint64_t fencing = 0;
    std::uint64_t requestsSeen = 0;
    std::map<std::string, GenerationPtr> generations;
    std::vector<GenerationPtr> waiting;
    std::vector<GenerationPtr> batch;
    std::set<std::string> resident;
    std::map<std::string, std::vector<Writer>> loads; ///< Loads in progress with their waiters.
    std::deque<Report> reports;
    std::list<std::string> cache; ///< Most recently used first.
    std::deque<CacheEvent> cacheEvents;
    std::uint64_t cacheEventsSeen = 0;
    Timer timer;
};

} // namespace

OptionsDescription engineOptions()
{
    OptionsDescription options("engine");
    auto add = options.add_options();
    add("id", po::value<std::string>()->required(), "name in its log");
    add("slots", po::value<std::size_t>()->default_value(8), "adapters that fit at once");
    add("batch", po::value<std::size_t>()->default_value(16), "requests that run at once");
    add("load-ms", po::value<std::int64_t>()->default_value(250), "time that a load takes");
    add("token-ms", po::value<std::int64_t>()->default_value(10), "time between tokens");
    add("check-fencing", po::bool_switch(), "refuse orders with an old fencing number");
    add("one-adapter-batch", po::bool_switch(), "a batch holds one adapter only");
    add("report-lag-ms", po::value<std::int64_t>()->default_value(200), "age of load reports");
    add("cache-blocks", po::value<std::size_t>()->default_value(1024),
        "prompt prefixes that fit in the cache");
    add("fail-loads", po::value<int>()->default_value(0), "percentage of loads that fail");
    add("seed", po::value<std::uint32_t>()->default_value(1), "seed of the random choices");
    return options;
}

HttpHandler makeEngine(const Options &options)
{
    return handlerOf<Engine>(options);
}

} // namespace balsamport::standin
