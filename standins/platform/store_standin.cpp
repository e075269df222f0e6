#include "store_standin.h"

#include <openssl/evp.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdlib>
#include <utility>

namespace balsamport::standins {

namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr int okStatus = 200;
constexpr int notFound = 404;
constexpr int gone = 410;
constexpr int unavailable = 503;
constexpr std::size_t itemsPerPage = 50;

std::string encodeBase64(const std::string &bytes)
{
    constexpr std::size_t bytesPerGroup = 3;
    constexpr std::size_t charactersPerGroup = 4;
    std::string text((bytes.size() + bytesPerGroup - 1) / bytesPerGroup * charactersPerGroup + 1,
                     '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        constexpr int hexadecimal = 16;
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(
                    std::strtol(text.substr(i + 1, 2).c_str(), nullptr, hexadecimal));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::string queryValue(const std::string &query, const std::string &name)
{
    const std::string padded = "&" + query;
    const std::size_t begin = padded.find("&" + name + "=");
    if (begin == std::string::npos) {
        return std::string();
    }
    const std::size_t from = begin + name.size() + 2;
    return decodePercent(padded.substr(from, padded.find('&', from) - from));
}

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

Result<std::unique_ptr<StoreStandin>> StoreStandin::start(const std::string &address)
{
    std::unique_ptr<StoreStandin> store(new StoreStandin());
    HttpServerSettings settings;
    settings.address = address;
    settings.threads = 1;
    auto server = HttpServer::start(settings,
                                    [raw = store.get()](const auto &request, const auto &writer) {
                                        raw->serve(*request, writer);
                                    });
    if (server.has_error()) {
        return server.error();
    }
    store->server = std::move(server).value();
    return store;
}

StoreStandin::~StoreStandin()
{
    this->server.reset(); // Its handlers use the tasks.
    this->tasks.reset();
}

std::uint64_t StoreStandin::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    const Change change{key, value, ++this->content.revision, false};
    this->content.items[key] = change;
    this->content.history.push_back(change);
    this->completeWatches();
    return change.revision;
}

void StoreStandin::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->content.items.erase(key);
    this->content.history.push_back(Change{key, std::string(), ++this->content.revision, true});
    this->completeWatches();
}

void StoreStandin::setDown(bool isDown)
{
    const std::lock_guard lock(this->mutex);
    this->down = isDown;
}

void StoreStandin::dropHistory()
{
    const std::lock_guard lock(this->mutex);
    this->content.history.clear();
    this->content.historyStart = this->content.revision;
}

StoreStandin::Copy StoreStandin::copy() const
{
    const std::lock_guard lock(this->mutex);
    return this->content;
}

void StoreStandin::restore(const Copy &copy)
{
    const std::lock_guard lock(this->mutex);
    this->content = copy;
    ++this->era;
    for (const auto &[number, cut] : this->watches) {
        cut.writer->send(this->response(unavailable));
    }
    this->watches.clear();
}

void StoreStandin::omitEra()
{
    const std::lock_guard lock(this->mutex);
    this->statesEra = false;
}

std::uint64_t StoreStandin::calls() const
{
    const std::lock_guard lock(this->mutex);
    return this->callCount;
}

void StoreStandin::serve(const IncomingRequest &request,
                         const std::shared_ptr<ResponseWriter> &writer)
{
    const std::lock_guard lock(this->mutex);
    ++this->callCount;
    if (this->down) {
        writer->send(this->response(unavailable));
        return;
    }
    const std::string prefix = queryValue(request.query, "prefix");
    const std::string after = queryValue(request.query, "after");
    if (request.path == "/v1/kv-range") {
        writer->send(this->list(prefix, after));
    } else if (request.path == "/v1/kv-watch") {
        this->watch(
                Watch{std::strtoull(after.c_str(), nullptr, 10), prefix, writer},
                Millis(std::strtoll(queryValue(request.query, "wait_ms").c_str(), nullptr, 10)));
    } else {
        writer->send(this->response(notFound));
    }
}

HttpResponse StoreStandin::response(int status, std::string body) const
{
    HttpHeaders headers;
    if (this->statesEra) {
        headers.push_back({"Store-Era", std::to_string(this->era)});
    }
    return HttpResponse{status, std::move(headers), std::move(body)};
}

HttpResponse StoreStandin::list(const std::string &prefix, const std::string &after) const
{
    rapidjson::StringBuffer buffer;
    JsonWriter json(buffer);
    json.StartObject();
    json.Key("items");
    json.StartArray();
    std::size_t count = 0;
    bool more = false;
    for (auto item = this->content.items.upper_bound(after); item != this->content.items.end();
         ++item) {
        if (!hasPrefix(item->first, prefix)) {
            continue;
        }
        if (count++ == itemsPerPage) {
            more = true;
            break;
        }
        json.StartObject();
        json.Key("key");
        json.String(item->first.c_str());
        json.Key("value");
        json.String(encodeBase64(item->second.value).c_str());
        json.Key("revision");
        json.Uint64(item->second.revision);
        json.EndObject();
    }
    json.EndArray();
    json.Key("has_more");
    json.Bool(more);
    json.Key("current_rev");
    json.Uint64(this->content.revision);
    json.EndObject();
    return this->response(okStatus, std::string(buffer.GetString(), buffer.GetSize()));
}

void StoreStandin::watch(Watch pendingWatch, Millis wait)
{
    if (pendingWatch.after < this->content.historyStart
        || pendingWatch.after > this->content.revision) {
        pendingWatch.writer->send(this->response(gone));
        return;
    }
    const std::uint64_t number = this->nextWatch++;
    this->watches.emplace(number, std::move(pendingWatch));
    this->completeWatches();
    this->tasks->after(wait, [this, number] {
        const std::lock_guard lock(this->mutex);
        const auto found = this->watches.find(number);
        if (found != this->watches.end()) {
            found->second.writer->send(this->response(okStatus, this->events(found->second)));
            this->watches.erase(found);
        }
    });
}

std::string StoreStandin::events(const Watch &pendingWatch) const
{
    rapidjson::StringBuffer buffer;
    JsonWriter json(buffer);
    json.StartObject();
    json.Key("events");
    json.StartArray();
    for (const Change &change : this->content.history) {
        if (change.revision <= pendingWatch.after || !hasPrefix(change.key, pendingWatch.prefix)) {
            continue;
        }
        json.StartObject();
        json.Key("key");
        json.String(change.key.c_str());
        json.Key("revision");
        json.Uint64(change.revision);
        if (change.deleted) {
            json.Key("deleted");
            json.Bool(true);
        } else {
            json.Key("value");
            json.String(encodeBase64(change.value).c_str());
        }
        json.EndObject();
    }
    json.EndArray();
    json.Key("current_rev");
    json.Uint64(this->content.revision);
    json.EndObject();
    return std::string(buffer.GetString(), buffer.GetSize());
}

void StoreStandin::completeWatches()
{
    for (auto entry = this->watches.begin(); entry != this->watches.end();) {
        if (this->content.revision > entry->second.after) {
            entry->second.writer->send(this->response(okStatus, this->events(entry->second)));
            entry = this->watches.erase(entry);
        } else {
            ++entry;
        }
    }
}

} // namespace balsamport::standins
