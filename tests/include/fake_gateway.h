#ifndef BALSAMPORT_TESTS_FAKE_GATEWAY_H
#define BALSAMPORT_TESTS_FAKE_GATEWAY_H

#include <balsamport/filters/gateway.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

/// @file
/// Fakes at the gateway's interfaces. All run on the test's own thread, step by step.

namespace balsamport::testing {

/// @brief Keeps what a caller gets.
class FakeWriter : public ResponseWriter
{
public:
    void send(const HttpResponse &whole) override
    {
        this->answer = whole;
        this->answers += 1;
    }
    void startStream(int streamStatus, const HttpHeaders &streamHeaders) override
    {
        this->answer.status = streamStatus;
        this->answer.headers = streamHeaders;
        this->answers += 1;
    }
    void write(std::string piece, std::function<void()> onWritten) override
    {
        this->answer.body += piece;
        if (this->slow) {
            this->unwritten.push_back(std::move(onWritten));
        } else {
            onWritten();
        }
    }
    void finish() override { this->finished = true; }
    void abort() override { this->aborted = true; }
    [[nodiscard]] bool isDisconnected() const override { return this->gone; }
    void onDisconnect(std::function<void()> callback) override
    {
        this->goneCallback = std::move(callback);
    }

    /// The caller closes its connection.
    void leave()
    {
        this->gone = true;
        if (this->goneCallback) {
            this->goneCallback();
        }
    }
    /// The slow caller reads all that waits.
    void readAll()
    {
        std::vector<std::function<void()>> callbacks;
        callbacks.swap(this->unwritten);
        for (const auto &callback : callbacks) {
            callback();
        }
    }
    [[nodiscard]] std::string header(std::string_view name) const
    {
        return findHeader(this->answer.headers, name).value_or("");
    }

    HttpResponse answer;
    int answers = 0;
    bool slow = false;
    bool finished = false;
    bool aborted = false;
    bool gone = false;
    std::vector<std::function<void()>> unwritten;
    std::function<void()> goneCallback;
};

/// @brief An exchange with a fake backend server, driven by the test.
struct FakeExchange
{
    OutgoingRequest request;
    ExchangeHandlers handlers;
    bool ended = false;
    int resumed = 0;

    /// Lets the request go out; false where the gateway held it back.
    bool connect()
    {
        const bool sent = !this->handlers.mayStillSend || this->handlers.mayStillSend();
        if (!sent) {
            this->end(Error{ErrorCode::ClaimExpired, "not sent"});
        }
        return sent;
    }
    void head(int status, HttpHeaders headers) const
    {
        this->handlers.onHead(ResponseHead{status, std::move(headers)});
    }
    [[nodiscard]] bool piece(std::string_view text) const
    {
        return this->handlers.onBodyChunk(text);
    }
    void end(const Result<void> &result)
    {
        if (!this->ended) {
            this->ended = true;
            const auto done = this->handlers.onDone;
            this->handlers = ExchangeHandlers();
            if (done) {
                done(result);
            }
        }
    }
    void succeed() { this->end(BOOST_OUTCOME_V2_NAMESPACE::success()); }
    void fail(ErrorCode code) { this->end(Error{code, "planted"}); }
};

/// @brief A gateway whose surroundings are fakes.
class FakeGateway
{
public:
    explicit FakeGateway(Snapshot config, std::uint32_t maxInProgress = 100)
        : snapshot(std::make_shared<const Snapshot>(std::move(config)))
        , gateway(this->sources(), maxInProgress)
    { }

    std::shared_ptr<FakeWriter> request(std::string method, const std::string &path,
                                        std::string body, HttpHeaders headers = {})
    {
        auto writer = std::make_shared<FakeWriter>();
        this->requestWith(writer, std::move(method), path, std::move(body), std::move(headers));
        return writer;
    }
    void requestWith(const std::shared_ptr<FakeWriter> &writer, std::string method,
                     const std::string &path, std::string body, HttpHeaders headers = {})
    {
        auto incoming = std::make_shared<IncomingRequest>();
        incoming->method = std::move(method);
        const std::size_t mark = path.find('?');
        incoming->path = path.substr(0, mark);
        incoming->query = mark == std::string::npos ? "" : path.substr(mark + 1);
        incoming->body = std::move(body);
        incoming->headers = std::move(headers);
        this->gateway.handle(incoming, writer);
    }

    /// Runs what the gateway put off, in order.
    void runTimers()
    {
        while (!this->timers.empty()) {
            const auto task = std::move(this->timers.front());
            this->timers.pop_front();
            task();
        }
    }
    [[nodiscard]] FakeExchange &exchange(std::size_t index) { return *this->exchanges.at(index); }

    SnapshotPtr snapshot;
    std::deque<std::shared_ptr<FakeExchange>> exchanges;
    std::deque<std::function<void()>> timers;
    std::vector<PlacementRequest> asked;
    std::vector<PlacementEnd> released;
    std::vector<RequestId> cancelledWaits;
    std::vector<KeyClaimRequest> claimed;
    std::vector<BackendServerId> crashes;
    std::optional<Error> refusePlaces;
    std::optional<KeyClaimRefusal> refuseClaims;
    Millis claimLife{10'000};
    SuspectVerdict verdict = SuspectVerdict::Clear;

private:
    GatewaySources sources()
    {
        GatewaySources all;
        all.snapshot = [this] { return this->snapshot; };
        all.grants.acquire = [this](const PlacementRequest &query,
                                    const PlacementHandler &callback) {
            this->asked.push_back(query);
            if (this->refusePlaces) {
                callback(*this->refusePlaces, Millis(2'500));
                return;
            }
            const std::string number = std::to_string(this->asked.size());
            callback(Placement{BackendServerId("server-" + number), "10.0.0." + number + ":80",
                               GrantId(this->asked.size()), FencingNumber(7), false},
                     Millis(0));
        };
        all.grants.cancel = [this](const RequestId &id) { this->cancelledWaits.push_back(id); };
        all.grants.release
                = [this](const Placement &, PlacementEnd end) { this->released.push_back(end); };
        all.claims.claim = [this](const KeyClaimRequest &query, const auto &callback) {
            this->claimed.push_back(query);
            if (this->refuseClaims) {
                callback(KeyClaimResult{std::nullopt, *this->refuseClaims});
                return;
            }
            callback(KeyClaimResult{KeyClaim{monotonicNow() + this->claimLife, true}, {}});
        };
        all.claims.requestTicket = [](const auto &callback) { callback(RequestKey("ticket-1")); };
        all.backend.start = [this](OutgoingRequest request, ExchangeHandlers handlers) {
            this->exchanges.push_back(std::make_shared<FakeExchange>(
                    FakeExchange{std::move(request), std::move(handlers)}));
            return this->exchanges.size();
        };
        all.backend.resume = [this](std::uint64_t number) { this->exchange(number - 1).resumed++; };
        all.backend.cancel = [this](std::uint64_t number) {
            this->exchange(number - 1).fail(ErrorCode::CallerGone);
        };
        all.retries = std::make_shared<RetryTracker>(1);
        all.suspects.queryVerdict = [this](Fingerprint, const RequestId &, const auto &callback) {
            callback(this->verdict);
        };
        all.suspects.reportCrash
                = [this](Fingerprint, const RequestId &, const BackendServerId &server,
                         const std::function<void()> &callback) {
                      this->crashes.push_back(server);
                      callback();
                  };
        all.suspects.reportFinished = [](Fingerprint, const RequestId &) {};
        all.suspects.reportRunEnded = [](Fingerprint, const RequestId &) {};
        all.timer = [this](Millis, std::function<void()> task) {
            this->timers.push_back(std::move(task));
        };
        all.metrics = [] { return std::string("up 1\n"); };
        return all;
    }

public:
    Gateway gateway;
};

/// @brief A configuration with one route, one range of adapters and one booking service.
inline Snapshot smallSnapshot()
{
    Snapshot snapshot;
    snapshot.revision = ConfigRevision(1);
    AdapterConfig adapter{AdapterId("burn-plan"),
                          BaseModelId("citrus-8b"),
                          1'000,
                          {AdapterVersion(3), AdapterVersion(4)}};
    snapshot.adapters[adapter.id] = adapter;
    snapshot.routes["burn-plan"] = RouteConfig{
            "burn-plan", {{AdapterRef{adapter.base, adapter.id, AdapterVersion(3)}, 1}}, {}, 5};
    ServiceConfig lots;
    lots.id = ServiceId("lots");
    lots.nonRepeatable = {"POST /bookings"};
    snapshot.services[lots.id] = lots;
    return snapshot;
}

constexpr const char *chatBody = R"({"model":"burn-plan","messages":[{"role":"user"}]})";
constexpr const char *streamBody = R"({"model":"burn-plan","stream":true,"messages":[]})";
inline const HttpHeaders eventStream{{"Content-Type", "text/event-stream"},
                                     {"Balsamport-Model", "citrus-8b/burn-plan@3"}};
inline const HttpHeaders jsonAnswer{{"Content-Type", "application/json"},
                                    {"Balsamport-Model", "citrus-8b/burn-plan@3"}};

} // namespace balsamport::testing

#endif
