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

constexpr Millis orderConnectTimeout{500};
constexpr Millis reportTimeout{1'000};
constexpr std::size_t maxAnswerBytes = 1'048'576;

using OutcomeHandler = std::function<void(LoadOutcome)>;

/// The parts of an answer, gathered from the callbacks of one exchange.
struct Exchange
{
    int status = 0;
    std::string body;
};

std::string orderBody(const AdapterRef &adapter, FencingNumber fencing, Millis left)
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

OutgoingRequest orderRequest(const EngineOrder &order, const std::string &path,
                             const AdapterRef &adapter, Millis left)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + order.address + path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = orderBody(adapter, order.fencing, left);
    request.connectTimeout = std::min(orderConnectTimeout, left);
    request.timeout = left;
    return request;
}

/// Whether a failure proves that the engine never read the order.
bool isUnsent(const Error &error)
{
    return error.code == ErrorCode::ConnectFailed || error.code == ErrorCode::ClaimExpired;
}

/// Sends one order; `done` gets the answer with its status, or the failure.
void sendOrder(HttpClient &client, const EngineOrder &order, const std::string &path,
               const AdapterRef &adapter, std::function<void(const Result<Exchange> &)> done)
{
    const Millis left = order.deadline - monotonicNow();
    if (left <= Millis(0)) {
        done(Error{ErrorCode::ClaimExpired, "the order's deadline has passed"});
        return;
    }
    const auto exchange = std::make_shared<Exchange>();
    ExchangeHandlers handlers;
    handlers.mayStillSend = [before = order.sendBefore] { return monotonicNow() < before; };
    handlers.onHead = [exchange](const ResponseHead &head) { exchange->status = head.status; };
    handlers.onBodyChunk = [exchange](std::string_view piece) {
        const std::size_t room = maxAnswerBytes - exchange->body.size();
        exchange->body.append(piece.substr(0, room));
        return true;
    };
    handlers.onDone = [exchange, done = std::move(done)](const Result<void> &result) {
        if (result.has_value()) {
            done(*exchange);
        } else {
            done(result.error());
        }
    };
    client.start(orderRequest(order, path, adapter, left), std::move(handlers));
}

void sendLoad(HttpClient &client, const EngineOrder &order, OutcomeHandler done)
{
    const bool victimGone = order.victim.has_value();
    sendOrder(client, order, "/v1/load_lora_adapter", order.adapter,
              [done = std::move(done), victimGone](const Result<Exchange> &answer) {
                  if (answer.has_value()) {
                      const bool loaded = answer.value().status == httpstatus::ok;
                      done(loaded ? LoadOutcome::Loaded : LoadOutcome::Failed);
                  } else if (isUnsent(answer.error())) {
                      done(victimGone ? LoadOutcome::Failed : LoadOutcome::NotSent);
                  } else {
                      done(LoadOutcome::Unknown);
                  }
              });
}

void sendUnloadThenLoad(HttpClient &client, const EngineOrder &order, OutcomeHandler done)
{
    sendOrder(client, order, "/v1/unload_lora_adapter", *order.victim,
              [&client, order, done = std::move(done)](const Result<Exchange> &answer) {
                  if (!answer.has_value()) {
                      done(isUnsent(answer.error()) ? LoadOutcome::NotSent : LoadOutcome::Unknown);
                      return;
                  }
                  const int status = answer.value().status;
                  if (status == httpstatus::ok || status == httpstatus::notFound) {
                      sendLoad(client, order, done);
                  } else if (status == httpstatus::conflict) {
                      done(LoadOutcome::VictimRunning);
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

/// The start time may be written as a text or as a number.
std::string startMember(const rapidjson::Value &object)
{
    const auto found = object.FindMember("start");
    if (found != object.MemberEnd() && found->value.IsString()) {
        return found->value.GetString();
    }
    return std::to_string(uintMember(object, "start"));
}

} // namespace

EngineOrders engineOrdersOver(HttpClient &client)
{
    EngineOrders orders;
    orders.load = [&client](const EngineOrder &order, OutcomeHandler done) {
        if (order.victim) {
            sendUnloadThenLoad(client, order, std::move(done));
        } else {
            sendLoad(client, order, std::move(done));
        }
    };
    orders.report = [&client](const std::string &address,
                              std::function<void(Result<LoadReport>)> done) {
        OutgoingRequest request;
        request.url = "http://" + address + "/v1/load";
        request.connectTimeout = orderConnectTimeout;
        request.timeout = reportTimeout;
        const auto body = std::make_shared<std::string>();
        ExchangeHandlers handlers;
        handlers.onBodyChunk = [body](std::string_view piece) {
            body->append(piece.substr(0, maxAnswerBytes - body->size()));
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
    return orders;
}

Result<AdapterRef> parseAdapterRef(std::string_view text)
{
    const Error fault{ErrorCode::InvalidRequest, "expected base/adapter@version"};
    const std::size_t slash = text.find('/');
    const std::size_t at = text.rfind('@');
    if (slash == std::string_view::npos || at == std::string_view::npos || at < slash) {
        return fault;
    }
    const std::string_view digits = text.substr(at + 1);
    std::uint64_t version = 0;
    const auto *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, version);
    if (parsed.ec != std::errc{} || parsed.ptr != end || slash == 0 || at == slash + 1) {
        return fault;
    }
    return AdapterRef{BaseModelId(text.substr(0, slash)),
                      AdapterId(text.substr(slash + 1, at - slash - 1)), AdapterVersion(version)};
}

Result<LoadReport> parseLoadReport(std::string_view body, Millis sent)
{
    rapidjson::Document document;
    document.Parse<rapidjson::kParseIterativeFlag>(body.data(), body.size());
    const Error fault{ErrorCode::BadResponse, "not a load report"};
    if (document.HasParseError() || !document.IsObject() || !document.HasMember("resident")
        || !document["resident"].IsArray()) {
        return fault;
    }
    LoadReport report;
    report.start = startMember(document);
    report.fencing = FencingNumber(uintMember(document, "fencing"));
    constexpr std::uint64_t oldestMillis = 3'600'000;
    const std::uint64_t age = std::min(uintMember(document, "age_ms"), oldestMillis);
    report.taken = sent - Millis(static_cast<std::int64_t>(age));
    for (const auto &name : document["resident"].GetArray()) {
        const auto adapter
                = name.IsString() ? parseAdapterRef(name.GetString()) : Result<AdapterRef>(fault);
        if (!adapter.has_value()) {
            return fault;
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
