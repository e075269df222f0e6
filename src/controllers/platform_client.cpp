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
constexpr std::chrono::milliseconds stopCheckInterval{100};
constexpr std::size_t maxResponseBytes = 4 * maxFileBytes;
constexpr std::size_t maxValues = 10'000;

/// A response that is being received; shared with the client's thread.
struct PendingResponse
{
    HttpResponse response;
    std::promise<Result<HttpResponse>> done;
};

Error badResponse(const std::string &what)
{
    return Error{ErrorCode::BadResponse, "platform: " + what};
}

std::string stringMember(const rapidjson::Value &object, const char *key)
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
    vm.vm = VmId(stringMember(entry, "id"));
    vm.dataCentre = DataCentreId(stringMember(entry, "data_centre"));
    vm.controllerEndpoint = stringMember(entry, "controller");
    vm.gatewayAddress = stringMember(entry, "gateway");
    const std::string state = stringMember(entry, "state");
    vm.draining = state == "leaving";
    const bool valid = !vm.vm.empty() && !vm.dataCentre.empty()
            && vm.controllerEndpoint.rfind("tcp://", 0) == 0 && (vm.draining || state == "live");
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
        return badResponse("response has no list of values");
    }
    PublishedValues published;
    published.revision = *revision;
    for (const rapidjson::Value &entry : document["values"].GetArray()) {
        const std::string name = entry.IsObject() ? stringMember(entry, "name") : std::string();
        const auto digest
                = entry.IsObject() ? parseHex(stringMember(entry, "digest")) : std::nullopt;
        if (name.empty() || !digest) {
            return badResponse("a value has no name or no valid digest");
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
        return badResponse("response has no revision");
    }
    return *revision;
}

Result<std::vector<ListedVm>> parseVms(const std::string &body)
{
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    if (document.HasParseError() || !document.IsObject() || !document.HasMember("vms")
        || !document["vms"].IsArray() || document["vms"].Empty()) {
        return badResponse("response has no list of VMs");
    }
    std::vector<ListedVm> vms;
    for (const rapidjson::Value &entry : document["vms"].GetArray()) {
        const std::optional<ListedVm> vm = parseVm(entry);
        const bool isDuplicate = vm
                && std::any_of(vms.begin(), vms.end(),
                               [&vm](const ListedVm &other) { return other.vm == vm->vm; });
        if (!vm || isDuplicate) {
            return badResponse("a VM is invalid or listed twice");
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
    auto pending = std::make_shared<PendingResponse>();
    std::future<Result<HttpResponse>> future = pending->done.get_future();
    ExchangeHandlers handlers;
    handlers.onHead = [pending](const ResponseHead &head) {
        pending->response.status = head.status;
        pending->response.headers = head.headers;
    };
    handlers.onBodyChunk = [pending](std::string_view chunk) {
        if (pending->response.body.size() + chunk.size() <= maxResponseBytes) {
            pending->response.body.append(chunk);
        }
        return true;
    };
    handlers.onDone = [pending](const Result<void> &result) {
        if (result.has_error()) {
            pending->done.set_value(
                    Error{ErrorCode::PlatformUnavailable, describe(result.error())});
        } else {
            pending->done.set_value(std::move(pending->response));
        }
    };
    const std::uint64_t exchangeNumber
            = this->client.start(std::move(request), std::move(handlers));
    while (future.wait_for(stopCheckInterval) != std::future_status::ready) {
        if (this->stopped) {
            this->client.cancel(exchangeNumber);
            return Error{ErrorCode::PlatformUnavailable, "stopped"};
        }
    }
    Result<HttpResponse> response = future.get();
    if (response.has_error()) {
        return response;
    }
    switch (response.value().status) {
    case httpstatus::ok:
        return response;
    case httpstatus::conflict:
        return Error{ErrorCode::ConfigStaleRevision, "the platform no longer has the revision"};
    case httpstatus::tooManyRequests:
        return Error{ErrorCode::RateLimited, "the platform refuses further calls"};
    default:
        return Error{ErrorCode::PlatformUnavailable,
                     "status " + std::to_string(response.value().status)};
    }
}

Result<PublishedValues> PlatformClient::values()
{
    const Result<HttpResponse> response = this->get("/v1/values", callTimeout);
    if (response.has_error()) {
        return response.error();
    }
    return parseValues(response.value().body);
}

Result<SourceFile> PlatformClient::value(const PublishedValue &published, ConfigRevision revision)
{
    const std::string number = std::to_string(revision.number());
    Result<HttpResponse> response
            = this->get("/v1/values/" + published.name + "?revision=" + number, callTimeout);
    if (response.has_error()) {
        return response.error();
    }
    const auto header = findHeader(response.value().headers, "Platform-Revision");
    if (!header || *header != number) {
        return Error{ErrorCode::ConfigStaleRevision, "the response is of another revision"};
    }
    if (hash64(response.value().body) != published.digest) {
        return badResponse("the content of " + published.name + " does not match its digest");
    }
    return SourceFile{published.name, std::move(response.value().body)};
}

Result<ConfigRevision> PlatformClient::watch(ConfigRevision after, Millis timeout)
{
    const Result<HttpResponse> response
            = this->get("/v1/watch?after=" + std::to_string(after.number())
                                + "&timeout_ms=" + std::to_string(timeout.count()),
                        timeout + callTimeout);
    if (response.has_error()) {
        return response.error();
    }
    return parseRevision(response.value().body);
}

Result<std::vector<ListedVm>> PlatformClient::vms()
{
    const Result<HttpResponse> response = this->get("/v1/vms", callTimeout);
    if (response.has_error()) {
        return response.error();
    }
    return parseVms(response.value().body);
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
