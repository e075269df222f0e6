#include <balsamport/controllers/platform_client.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/http_status.h>

#include <rapidjson/document.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <future>
#include <memory>

namespace balsamport {

namespace {

constexpr Millis callTimeout{2'000};
constexpr Millis connectTimeout{500};
constexpr std::chrono::milliseconds stopCheck{100};
constexpr std::size_t maxAnswerBytes = 4 * maxFileBytes;
constexpr std::size_t maxValues = 10'000;

/// The answer as it comes in; shared with the client's thread.
struct Gathered
{
    HttpResponse answer;
    std::promise<Result<HttpResponse>> done;
};

Error badResponse(const std::string &what)
{
    return Error{ErrorCode::BadResponse, "platform: " + what};
}

std::string textOf(const rapidjson::Value &object, const char *key)
{
    const auto found = object.FindMember(key);
    if (found == object.MemberEnd() || !found->value.IsString()) {
        return {};
    }
    return {found->value.GetString(), found->value.GetStringLength()};
}

std::optional<std::uint64_t> parseHex(const std::string &text)
{
    constexpr int hexadecimal = 16;
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, hexadecimal);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

std::optional<ConfigRevision> revisionOf(const rapidjson::Document &document)
{
    if (document.HasParseError() || !document.IsObject()) {
        return std::nullopt;
    }
    const auto found = document.FindMember("revision");
    if (found == document.MemberEnd() || !found->value.IsUint64()) {
        return std::nullopt;
    }
    return ConfigRevision(found->value.GetUint64());
}

std::optional<ListedVm> parseVm(const rapidjson::Value &entry)
{
    if (!entry.IsObject()) {
        return std::nullopt;
    }
    ListedVm vm;
    vm.vm = VmId(textOf(entry, "id"));
    vm.dataCentre = DataCentreId(textOf(entry, "data_centre"));
    vm.controllerEndpoint = textOf(entry, "controller");
    vm.gatewayAddress = textOf(entry, "gateway");
    const std::string state = textOf(entry, "state");
    vm.leaving = state == "leaving";
    const bool valid = !vm.vm.empty() && !vm.dataCentre.empty()
            && vm.controllerEndpoint.rfind("tcp://", 0) == 0 && (vm.leaving || state == "live");
    return valid ? std::optional(vm) : std::nullopt;
}

} // namespace

Result<PublishedValues> parseValues(const std::string &body)
{
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    const auto revision = revisionOf(document);
    if (!revision || !document.HasMember("values") || !document["values"].IsArray()
        || document["values"].Size() > maxValues) {
        return badResponse("no list of values");
    }
    PublishedValues published;
    published.revision = *revision;
    for (const rapidjson::Value &entry : document["values"].GetArray()) {
        const std::string name = entry.IsObject() ? textOf(entry, "name") : std::string();
        const auto digest = entry.IsObject() ? parseHex(textOf(entry, "digest")) : std::nullopt;
        if (name.empty() || !digest) {
            return badResponse("a value without name or digest");
        }
        published.values.push_back(PublishedValue{name, *digest});
    }
    return published;
}

Result<ConfigRevision> parseRevision(const std::string &body)
{
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    const auto revision = revisionOf(document);
    if (!revision) {
        return badResponse("no revision");
    }
    return *revision;
}

Result<std::vector<ListedVm>> parseVms(const std::string &body)
{
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    if (document.HasParseError() || !document.IsObject() || !document.HasMember("vms")
        || !document["vms"].IsArray() || document["vms"].Empty()) {
        return badResponse("no list of VMs");
    }
    std::vector<ListedVm> vms;
    for (const rapidjson::Value &entry : document["vms"].GetArray()) {
        const std::optional<ListedVm> vm = parseVm(entry);
        const bool twice = vm && std::any_of(vms.begin(), vms.end(), [&vm](const ListedVm &other) {
                               return other.vm == vm->vm;
                           });
        if (!vm || twice) {
            return badResponse("a VM that is faulty or listed twice");
        }
        vms.push_back(*vm);
    }
    return vms;
}

PlatformClient::PlatformClient(HttpClient &httpClient, std::string platformAddress)
    : client(httpClient)
    , address(std::move(platformAddress))
{ }

Result<HttpResponse> PlatformClient::get(const std::string &path, Millis timeout)
{
    if (this->stopped) {
        return Error{ErrorCode::PlatformUnavailable, "stopped"};
    }
    ++this->callCount;
    OutgoingRequest request;
    request.url = "http://" + this->address + path;
    request.connectTimeout = connectTimeout;
    request.timeout = timeout;
    auto gathered = std::make_shared<Gathered>();
    std::future<Result<HttpResponse>> future = gathered->done.get_future();
    ExchangeHandlers handlers;
    handlers.onHead = [gathered](const ResponseHead &head) {
        gathered->answer.status = head.status;
        gathered->answer.headers = head.headers;
    };
    handlers.onBodyChunk = [gathered](std::string_view piece) {
        if (gathered->answer.body.size() + piece.size() <= maxAnswerBytes) {
            gathered->answer.body.append(piece);
        }
        return true;
    };
    handlers.onDone = [gathered](const Result<void> &result) {
        if (result.has_error()) {
            gathered->done.set_value(
                    Error{ErrorCode::PlatformUnavailable, describe(result.error())});
        } else {
            gathered->done.set_value(std::move(gathered->answer));
        }
    };
    const std::uint64_t number = this->client.start(std::move(request), std::move(handlers));
    while (future.wait_for(stopCheck) != std::future_status::ready) {
        if (this->stopped) {
            this->client.cancel(number);
            return Error{ErrorCode::PlatformUnavailable, "stopped"};
        }
    }
    Result<HttpResponse> answer = future.get();
    if (answer.has_error()) {
        return answer;
    }
    switch (answer.value().status) {
    case httpstatus::ok:
        return answer;
    case httpstatus::conflict:
        return Error{ErrorCode::ConfigStaleRevision, "the revision is no longer there"};
    case httpstatus::tooManyRequests:
        return Error{ErrorCode::RateLimited, "the platform refuses further calls"};
    default:
        return Error{ErrorCode::PlatformUnavailable,
                     "status " + std::to_string(answer.value().status)};
    }
}

Result<PublishedValues> PlatformClient::values()
{
    const Result<HttpResponse> answer = this->get("/v1/values", callTimeout);
    if (answer.has_error()) {
        return answer.error();
    }
    return parseValues(answer.value().body);
}

Result<SourceFile> PlatformClient::value(const PublishedValue &published, ConfigRevision revision)
{
    const std::string number = std::to_string(revision.number());
    Result<HttpResponse> answer
            = this->get("/v1/values/" + published.name + "?revision=" + number, callTimeout);
    if (answer.has_error()) {
        return answer.error();
    }
    const auto header = findHeader(answer.value().headers, "Platform-Revision");
    if (!header || *header != number) {
        return Error{ErrorCode::ConfigStaleRevision, "a value of another revision"};
    }
    if (hash64(answer.value().body) != published.digest) {
        return badResponse("the content of " + published.name + " does not match its digest");
    }
    return SourceFile{published.name, std::move(answer.value().body)};
}

Result<ConfigRevision> PlatformClient::watch(ConfigRevision after, Millis timeout)
{
    const Result<HttpResponse> answer
            = this->get("/v1/watch?after=" + std::to_string(after.number())
                                + "&timeout_ms=" + std::to_string(timeout.count()),
                        timeout + callTimeout);
    if (answer.has_error()) {
        return answer.error();
    }
    return parseRevision(answer.value().body);
}

Result<std::vector<ListedVm>> PlatformClient::vms()
{
    const Result<HttpResponse> answer = this->get("/v1/vms", callTimeout);
    if (answer.has_error()) {
        return answer.error();
    }
    return parseVms(answer.value().body);
}

Result<std::vector<SourceFile>> PlatformClient::readAll(const PublishedValues &published,
                                                        const std::vector<SourceFile> &held)
{
    std::vector<SourceFile> files;
    for (const PublishedValue &value : published.values) {
        const auto same = std::find_if(held.begin(), held.end(), [&value](const SourceFile &file) {
            return file.name == value.name && hash64(file.content) == value.digest;
        });
        if (same != held.end()) {
            files.push_back(*same);
            continue;
        }
        Result<SourceFile> file = this->value(value, published.revision);
        if (file.has_error()) {
            return file.error();
        }
        files.push_back(std::move(file.value()));
    }
    return files;
}

void PlatformClient::stop()
{
    this->stopped = true;
}

} // namespace balsamport
