#include <balsamport/controllers/engine_client.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/http_status.h>
#include <balsamport/core/log.h>

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <memory>

namespace balsamport {

namespace {

constexpr Millis engineConnectTimeout{500};
constexpr Millis reportTimeout{1'000};
constexpr std::size_t maxResponseBytes = 1'048'576;

using OutcomeHandler = std::function<void(LoadOutcome)>;

/// A response that the callbacks of one exchange receive.
struct ReceivedResponse
{
    int status = 0;
    std::string body;
};

std::string commandBody(const AdapterRef &adapter, FencingNumber fencing, Millis left)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("lora_name");
    writer.String(adapter.str().c_str());
    writer.Key("fencing");
    writer.Uint64(fencing.number());
    writer.Key("deadline_ms");
    writer.Int64(left.count());
    writer.EndObject();
    return buffer.GetString();
}

OutgoingRequest commandRequest(const AdapterLoadCommand &command, const std::string &path,
                               const AdapterRef &adapter, Millis left)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + command.address + path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = commandBody(adapter, command.fencing, left);
    request.connectTimeout = std::min(engineConnectTimeout, left);
    request.timeout = left;
    return request;
}

/// Whether a failure proves that the engine never read the command.
bool isUnsent(const Error &error)
{
    return error.code == ErrorCode::ConnectFailed || error.code == ErrorCode::ClaimExpired;
}

/// Sends a command.
/// @param done gets the response with any status, or the error
void sendCommand(HttpClient &client, const AdapterLoadCommand &command, const std::string &path,
                 const AdapterRef &adapter,
                 std::function<void(const Result<ReceivedResponse> &)> done)
{
    const Millis left = command.deadline - monotonicNow();
    if (left <= Millis(0)) {
        done(Error{ErrorCode::ClaimExpired, "the command's deadline has passed"});
        return;
    }
    const auto received = std::make_shared<ReceivedResponse>();
    ExchangeHandlers handlers;
    handlers.mayStillSend = [before = command.sendBefore] { return monotonicNow() < before; };
    handlers.onHead = [received](const ResponseHead &head) { received->status = head.status; };
    handlers.onBodyChunk = [received](std::string_view chunk) {
        const std::size_t capacity = maxResponseBytes - received->body.size();
        received->body.append(chunk.substr(0, capacity));
        return true;
    };
    handlers.onDone = [received, done = std::move(done)](const Result<void> &result) {
        if (result.has_value()) {
            done(*received);
        } else {
            done(result.error());
        }
    };
    client.start(commandRequest(command, path, adapter, left), std::move(handlers));
}

void sendLoad(HttpClient &client, const AdapterLoadCommand &command, OutcomeHandler done)
{
    const bool evictionConfirmed = command.evictionCandidate.has_value();
    sendCommand(
            client, command, "/v1/load_lora_adapter", command.adapter,
            [done = std::move(done), evictionConfirmed](const Result<ReceivedResponse> &response) {
                if (response.has_value()) {
                    const bool loaded = response.value().status == httpstatus::ok;
                    done(loaded ? LoadOutcome::Loaded : LoadOutcome::Failed);
                } else if (isUnsent(response.error())) {
                    done(evictionConfirmed ? LoadOutcome::Failed : LoadOutcome::NotSent);
                } else {
                    done(LoadOutcome::Unknown);
                }
            });
}

void sendUnloadThenLoad(HttpClient &client, const AdapterLoadCommand &command, OutcomeHandler done)
{
    sendCommand(
            client, command, "/v1/unload_lora_adapter", *command.evictionCandidate,
            [&client, command, done = std::move(done)](const Result<ReceivedResponse> &response) {
                if (!response.has_value()) {
                    done(isUnsent(response.error()) ? LoadOutcome::NotSent : LoadOutcome::Unknown);
                    return;
                }
                const int status = response.value().status;
                if (status == httpstatus::ok || status == httpstatus::notFound) {
                    sendLoad(client, command, done);
                } else if (status == httpstatus::conflict) {
                    done(LoadOutcome::EvictionCandidateRunning);
                } else {
                    done(LoadOutcome::Unknown);
                }
            });
}

std::uint64_t uintMember(const rapidjson::Value &object, const char *name)
{
    const auto found = object.FindMember(name);
    return found != object.MemberEnd() && found->value.IsUint64() ? found->value.GetUint64() : 0;
}

/// Reads the start time, which an engine may write as a string or as a number.
std::string startMember(const rapidjson::Value &object)
{
    const auto found = object.FindMember("start");
    if (found != object.MemberEnd() && found->value.IsString()) {
        return found->value.GetString();
    }
    return std::to_string(uintMember(object, "start"));
}

} // namespace

EngineOperations engineOperationsOver(HttpClient &client)
{
    EngineOperations operations;
    operations.load = [&client](const AdapterLoadCommand &command, OutcomeHandler done) {
        if (command.evictionCandidate) {
            sendUnloadThenLoad(client, command, std::move(done));
        } else {
            sendLoad(client, command, std::move(done));
        }
    };
    operations.report = [&client](const std::string &address,
                                  std::function<void(Result<EngineLoadReport>)> done) {
        OutgoingRequest request;
        request.url = "http://" + address + "/v1/load";
        request.connectTimeout = engineConnectTimeout;
        request.timeout = reportTimeout;
        const auto body = std::make_shared<std::string>();
        ExchangeHandlers handlers;
        handlers.onBodyChunk = [body](std::string_view chunk) {
            body->append(chunk.substr(0, maxResponseBytes - body->size()));
            return true;
        };
        const Millis sent = monotonicNow();
        handlers.onDone = [body, sent, done = std::move(done)](const Result<void> &result) {
            if (result.has_value()) {
                done(parseLoadReport(*body, sent));
            } else {
                done(result.error());
            }
        };
        client.start(std::move(request), std::move(handlers));
    };
    return operations;
}

Result<AdapterRef> parseAdapterRef(std::string_view text)
{
    const Error parseError{ErrorCode::InvalidRequest, "expected base/adapter@version"};
    const std::size_t slash = text.find('/');
    const std::size_t at = text.rfind('@');
    if (slash == std::string_view::npos || at == std::string_view::npos || at < slash) {
        return parseError;
    }
    const std::string_view digits = text.substr(at + 1);
    std::uint64_t version = 0;
    const auto *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, version);
    if (parsed.ec != std::errc{} || parsed.ptr != end || slash == 0 || at == slash + 1) {
        return parseError;
    }
    return AdapterRef{BaseModelId(text.substr(0, slash)),
                      AdapterId(text.substr(slash + 1, at - slash - 1)), AdapterVersion(version)};
}

Result<EngineLoadReport> parseLoadReport(std::string_view body, Millis sent)
{
    rapidjson::Document document;
    document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
    const Error parseError{ErrorCode::BadResponse, "not a load report"};
    if (document.HasParseError() || !document.IsObject() || !document.HasMember("resident")
        || !document["resident"].IsArray()) {
        return parseError;
    }
    EngineLoadReport report;
    report.start = startMember(document);
    report.fencing = FencingNumber(uintMember(document, "fencing"));
    constexpr std::uint64_t maxAgeMillis = 3'600'000;
    const std::uint64_t age = std::min(uintMember(document, "age_ms"), maxAgeMillis);
    report.taken = sent - Millis(static_cast<std::int64_t>(age));
    for (const auto &name : document["resident"].GetArray()) {
        const auto adapter = name.IsString() ? parseAdapterRef(name.GetString())
                                             : Result<AdapterRef>(parseError);
        if (!adapter.has_value()) {
            return parseError;
        }
        report.resident.push_back(adapter.value());
    }
    const rapidjson::Value &root = document;
    const auto running = root.FindMember("running_adapters");
    if (running != root.MemberEnd() && running->value.IsObject()) {
        for (const auto &entry : running->value.GetObject()) {
            const auto adapter = parseAdapterRef(entry.name.GetString());
            if (adapter.has_value() && entry.value.IsUint()) {
                report.running[hashOf(adapter.value())] = entry.value.GetUint();
            }
        }
    }
    return report;
}

} // namespace balsamport
