#ifndef BALSAMPORT_TESTS_FAKE_GATEWAY_H
#define BALSAMPORT_TESTS_FAKE_GATEWAY_H

#include <balsamport/filters/gateway.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

/// @file
/// Fakes of the gateway's interfaces. All run on the test's thread and are driven by the test.

namespace balsamport::testing {

/// @brief Records the response that a caller gets.
class FakeWriter : public ResponseWriter
{
public:
    void send(const HttpResponse &completeResponse) override
    {
        this->response = completeResponse;
        this->responseCount += 1;
    }
    void startStream(int streamStatus, const HttpHeaders &streamHeaders) override
    {
        this->response.status = streamStatus;
        this->response.headers = streamHeaders;
        this->responseCount += 1;
    }
    void write(std::string chunk, std::function<void()> onWritten) override
    {
        this->response.body += chunk;
        if (this->slow) {
            this->pendingWrites.push_back(std::move(onWritten));
        } else {
            onWritten();
        }
    }
    void finish() override { this->finished = true; }
    void abort() override { this->aborted = true; }
    [[nodiscard]] bool isDisconnected() const override { return this->disconnected; }
    void onDisconnect(std::function<void()> callback) override
    {
        this->disconnectCallback = std::move(callback);
    }

    /// Closes the caller's connection.
    void disconnect()
    {
        this->disconnected = true;
        if (this->disconnectCallback) {
            this->disconnectCallback();
        }
    }
    /// Lets the slow caller read everything that is buffered.
    void readAll()
    {
        std::vector<std::function<void()>> callbacks;
        callbacks.swap(this->pendingWrites);
        for (const auto &callback : callbacks) {
            callback();
        }
    }
    [[nodiscard]] std::string header(std::string_view name) const
    {
        return findHeader(this->response.headers, name).value_or("");
    }

    HttpResponse response;
    int responseCount = 0;
    bool slow = false;
    bool finished = false;
    bool aborted = false;
    bool disconnected = false;
    std::vector<std::function<void()>> pendingWrites;
    std::function<void()> disconnectCallback;
};

/// @brief An exchange with a fake backend server, driven by the test.
struct FakeExchange
{
    OutgoingRequest request;
    ExchangeHandlers handlers;
    bool ended = false;
    int resumeCount = 0;

    /// Establishes the connection; returns false where the gateway did not send the request.
    bool connect()
    {
        const bool sent = !this->handlers.mayStillSend || this->handlers.mayStillSend();
        if (!sent) {
            this->end(Error{ErrorCode::ClaimExpired, "not sent"});
        }
        return sent;
    }
    void sendHead(int status, HttpHeaders headers) const
    {
        this->handlers.onHead(ResponseHead{status, std::move(headers)});
    }
    [[nodiscard]] bool sendChunk(std::string_view text) const
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

/// @brief A gateway with fakes as its dependencies.
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
        const std::size_t queryBegin = path.find('?');
        incoming->path = path.substr(0, queryBegin);
        incoming->query = queryBegin == std::string::npos ? "" : path.substr(queryBegin + 1);
        incoming->body = std::move(body);
        incoming->headers = std::move(headers);
        this->gateway.handle(incoming, writer);
    }

    /// Runs the gateway's delayed tasks, in order and without the delay.
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
    std::vector<PlacementRequest> placementRequests;
    std::vector<PlacementEnd> placementEnds;
    std::vector<RequestId> cancelledWaits;
    std::vector<KeyClaimRequest> claimRequests;
    std::vector<BackendServerId> reportedCrashes;
    std::optional<Error> placementRefusal;
    std::optional<KeyClaimRefusal> claimRefusal;
    Millis claimLifetime{10'000};
    SuspectVerdict verdict = SuspectVerdict::Clear;

private:
    GatewaySources sources()
    {
        GatewaySources result;
        result.snapshot = [this] { return this->snapshot; };
        result.grants.acquire = [this](const PlacementRequest &query,
                                       const PlacementHandler &callback) {
            this->placementRequests.push_back(query);
            if (this->placementRefusal) {
                callback(*this->placementRefusal, Millis(2'500));
                return;
            }
            const std::string id = std::to_string(this->placementRequests.size());
            callback(Placement{BackendServerId("server-" + id), "10.0.0." + id + ":80",
                               GrantId(this->placementRequests.size()), FencingNumber(7), false},
                     Millis(0));
        };
        result.grants.cancel = [this](const RequestId &id) { this->cancelledWaits.push_back(id); };
        result.grants.release = [this](const Placement &, PlacementEnd end) {
            this->placementEnds.push_back(end);
        };
        result.claims.claim = [this](const KeyClaimRequest &query, const auto &callback) {
            this->claimRequests.push_back(query);
            if (this->claimRefusal) {
                callback(KeyClaimResult{std::nullopt, *this->claimRefusal});
                return;
            }
            callback(KeyClaimResult{KeyClaim{monotonicNow() + this->claimLifetime, true}, {}});
        };
        result.claims.requestTicket
                = [](const auto &callback) { callback(RequestKey("ticket-1")); };
        result.backend.start = [this](OutgoingRequest request, ExchangeHandlers handlers) {
            this->exchanges.push_back(std::make_shared<FakeExchange>(
                    FakeExchange{std::move(request), std::move(handlers)}));
            return this->exchanges.size();
        };
        result.backend.resume = [this](std::uint64_t exchangeId) {
            this->exchange(exchangeId - 1).resumeCount++;
        };
        result.backend.cancel = [this](std::uint64_t exchangeId) {
            this->exchange(exchangeId - 1).fail(ErrorCode::CallerGone);
        };
        result.retries = std::make_shared<RetryTracker>(1);
        result.suspects.queryVerdict = [this](Fingerprint, const RequestId &,
                                              const auto &callback) { callback(this->verdict); };
        result.suspects.reportCrash
                = [this](Fingerprint, const RequestId &, const BackendServerId &server,
                         const std::function<void()> &callback) {
                      this->reportedCrashes.push_back(server);
                      callback();
                  };
        result.suspects.reportFinished = [](Fingerprint, const RequestId &) {};
        result.suspects.reportRunEnded = [](Fingerprint, const RequestId &) {};
        result.timer = [this](Millis, std::function<void()> task) {
            this->timers.push_back(std::move(task));
        };
        result.metrics = [] { return std::string("up 1\n"); };
        return result;
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
inline const HttpHeaders eventStreamHeaders{{"Content-Type", "text/event-stream"},
                                            {"Balsamport-Model", "citrus-8b/burn-plan@3"}};
inline const HttpHeaders jsonHeaders{{"Content-Type", "application/json"},
                                     {"Balsamport-Model", "citrus-8b/burn-plan@3"}};

} // namespace balsamport::testing

#endif
