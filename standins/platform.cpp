#include "standin.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <mutex>
#include <sstream>

namespace po = boost::program_options;

namespace balsamport::standin {

namespace {

constexpr std::string_view valuesPath = "/v1/values";
constexpr std::string_view valuePath = "/v1/values/";
constexpr std::string_view adminPath = "/admin/";
constexpr std::size_t maxRevisions = 64;
constexpr std::int64_t defaultWatchMillis = 10'000;
constexpr Millis watchPollPeriod{5};
constexpr std::int64_t millisPerSecond = 1'000;

using Files = std::map<std::string, std::string>;

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

Files readFolder(const std::string &folder)
{
    Files files;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.is_regular_file() && entry.path().extension() == ".ini") {
            files[entry.path().filename().string()] = readFile(entry.path());
        }
    }
    return files;
}

/// Faults that tests inject; every number is a parameter of /admin/mode.
struct Mode
{
    std::int64_t down = 0; ///< Not 0: responds with 503 and breaks watches off.
    std::int64_t stale = 0; ///< Not 0: serves no revision later than the one at which it was set.
    std::int64_t garbage = 0; ///< Not 0: responds with invalid JSON.
    std::int64_t slowMillis = 0; ///< Delay of every response.
    std::int64_t replay = 0; ///< Serves this old revision; 0 for none.
};

struct Watch
{
    Writer writer;
    std::uint64_t after = 0;
    Millis deadline;
};

std::string revisionJson(std::uint64_t revision)
{
    return "{\"revision\":" + std::to_string(revision) + "}";
}

/// A configuration service with reads and watches, and the list of VMs.
class Platform
{
public:
    explicit Platform(const Options &options)
        : folder(options["folder"].as<std::string>())
        , callsPerSecond(options["rate"].as<std::uint64_t>())
        , latest(options["first-revision"].as<std::uint64_t>())
        , vms(readFile(options["vms"].as<std::string>()))
    {
        this->revisions[this->latest] = readFolder(this->folder);
        this->timer.every(watchPollPeriod, [this] { this->completeWatches(); });
    }

    void handle(const Request &request, const Writer &writer)
    {
        if (request->path.starts_with(adminPath)) {
            this->admin(*request, *writer);
            return;
        }
        std::unique_lock lock(this->mutex);
        if (!this->countCall(request->path)) {
            lock.unlock();
            sendError(*writer, 429, "rate_limited");
            return;
        }
        const Mode active = this->mode;
        lock.unlock();
        if (active.slowMillis > 0) {
            this->timer.after(Millis(active.slowMillis), [this, request, writer, active] {
                this->respond(active, *request, writer);
            });
        } else {
            this->respond(active, *request, writer);
        }
    }

private:
    void respond(const Mode &active, const IncomingRequest &request, const Writer &writer)
    {
        if (active.down != 0) {
            sendError(*writer, 503, "down");
        } else if (active.garbage != 0) {
            sendJson(*writer, 200, "{\"revision\":\xff\xfe[[[");
        } else if (request.path == valuesPath) {
            this->listValues(*writer);
        } else if (request.path.starts_with(valuePath)) {
            this->readValue(request, *writer);
        } else if (request.path == "/v1/watch") {
            this->watch(request, writer);
        } else if (request.path == "/v1/vms") {
            const std::lock_guard lock(this->mutex);
            sendJson(*writer, 200, this->vms);
        } else {
            sendError(*writer, 404, "not_found");
        }
    }

    /// Counts a call against the rate limit; guarded by mutex.
    /// @return false where the limit is exceeded
    bool countCall(const std::string &path)
    {
        const std::int64_t second = monotonicNow().count() / millisPerSecond;
        if (second != this->currentSecond) {
            this->currentSecond = second;
            this->callsInSecond = 0;
        }
        ++this->totalCalls;
        const std::string group = path.starts_with(valuePath) ? "/v1/values/NAME" : path;
        ++this->callsByPath[group];
        return ++this->callsInSecond <= this->callsPerSecond;
    }

    /// Guarded by mutex.
    [[nodiscard]] std::uint64_t visibleRevision() const
    {
        if (this->mode.replay != 0) {
            return static_cast<std::uint64_t>(this->mode.replay);
        }
        return this->mode.stale != 0 ? this->staleRevision : this->latest;
    }

    void listValues(ResponseWriter &writer)
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t revision = this->visibleRevision();
        std::vector<std::string> values;
        for (const auto &[name, content] : this->revisions[revision]) {
            values.push_back(fmt::format(R"({{"name":{},"digest":"{:016x}"}})", jsonString(name),
                                         hash64(content)));
        }
        sendJson(writer, 200,
                 fmt::format(R"({{"revision":{},"values":[{}]}})", revision,
                             fmt::join(values, ",")));
    }

    void readValue(const IncomingRequest &request, ResponseWriter &writer)
    {
        const std::lock_guard lock(this->mutex);
        const auto wanted = static_cast<std::uint64_t>(queryNumber(
                request.query, "revision", static_cast<std::int64_t>(this->visibleRevision())));
        const auto revision = this->revisions.find(wanted);
        if (revision == this->revisions.end() || wanted > this->visibleRevision()) {
            sendError(writer, 409, "revision_gone");
            return;
        }
        const auto file = revision->second.find(request.path.substr(valuePath.size()));
        if (file == revision->second.end()) {
            sendError(writer, 404, "value_unknown");
            return;
        }
        writer.send(HttpResponse{
                200,
                {{"Platform-Revision", std::to_string(wanted)}, {"Content-Type", "text/plain"}},
                file->second});
    }

    void watch(const IncomingRequest &request, const Writer &writer)
    {
        Watch watch{writer, static_cast<std::uint64_t>(queryNumber(request.query, "after", 0)),
                    monotonicNow()
                            + Millis(queryNumber(request.query, "timeout_ms", defaultWatchMillis))};
        const std::lock_guard lock(this->mutex);
        this->watches.push_back(std::move(watch));
    }

    void completeWatches()
    {
        const std::lock_guard lock(this->mutex);
        const std::uint64_t revision = this->visibleRevision();
        const Millis now = monotonicNow();
        this->watches.remove_if([&](const Watch &watch) {
            if (this->mode.down != 0) {
                watch.writer->abort();
                return true;
            }
            if (revision <= watch.after && now < watch.deadline) {
                return false;
            }
            sendJson(*watch.writer, 200, revisionJson(revision));
            return true;
        });
    }

    void admin(const IncomingRequest &request, ResponseWriter &writer)
    {
        const std::lock_guard lock(this->mutex);
        if (request.path == "/admin/reload") {
            this->reload();
            sendJson(writer, 200, revisionJson(this->latest));
        } else if (request.path == "/admin/mode") {
            this->setMode(request.query);
            sendJson(writer, 200, revisionJson(this->visibleRevision()));
        } else if (request.path == "/admin/vms") {
            this->setVms(request.body, writer);
        } else if (request.path == "/admin/calls") {
            sendJson(writer, 200, this->callsJson());
        } else {
            sendError(writer, 404, "not_found");
        }
    }

    void reload()
    {
        Files files = readFolder(this->folder);
        if (files == this->revisions[this->latest]) {
            return;
        }
        this->revisions[++this->latest] = std::move(files);
        if (this->revisions.size() > maxRevisions) {
            this->revisions.erase(this->revisions.begin());
        }
        LOG(INFO) << logprefix::standin << "New revision. revision=" << this->latest;
    }

    void setMode(const std::string &query)
    {
        Mode next;
        next.down = queryNumber(query, "down", this->mode.down);
        next.stale = queryNumber(query, "stale", this->mode.stale);
        next.garbage = queryNumber(query, "garbage", this->mode.garbage);
        next.slowMillis = queryNumber(query, "slow_ms", this->mode.slowMillis);
        next.replay = queryNumber(query, "replay", this->mode.replay);
        if (this->mode.stale == 0) {
            this->staleRevision = this->latest;
        }
        this->mode = next;
    }

    void setVms(const std::string &body, ResponseWriter &writer)
    {
        rapidjson::Document document;
        if (document.Parse(body.c_str()).HasParseError() || !document.IsObject()
            || !document.HasMember("vms")) {
            sendError(writer, 400, "invalid_json");
            return;
        }
        this->vms = body;
        sendJson(writer, 200, "{}");
    }

    std::string callsJson()
    {
        std::vector<std::string> counts;
        for (const auto &[path, count] : this->callsByPath) {
            counts.push_back(jsonString(path) + ":" + std::to_string(count));
        }
        return fmt::format(R"({{"total":{},"by_path":{{{}}}}})", this->totalCalls,
                           fmt::join(counts, ","));
    }

    const std::string folder;
    const std::uint64_t callsPerSecond;
    std::mutex mutex;
    std::uint64_t latest;
    std::map<std::uint64_t, Files> revisions;
    std::string vms;
    Mode mode;
    std::uint64_t staleRevision = 0;
    std::list<Watch> watches;
    std::int64_t currentSecond = 0;
    std::uint64_t callsInSecond = 0;
    std::uint64_t totalCalls = 0;
    std::map<std::string, std::uint64_t> callsByPath;
    Timer timer;
};

} // namespace

OptionsDescription platformOptions()
{
    OptionsDescription options("platform");
    auto add = options.add_options();
    add("folder", po::value<std::string>()->required(), "folder of INI files to publish");
    add("vms", po::value<std::string>()->required(), "JSON file with the list of VMs");
    add("rate", po::value<std::uint64_t>()->default_value(2'000), "calls answered a second");
    add("first-revision", po::value<std::uint64_t>()->default_value(1), "revision at start");
    return options;
}

HttpHandler makePlatform(const Options &options)
{
    return handlerOf<Platform>(options);
}

} // namespace balsamport::standin
