#ifndef BALSAMPORT_EDGE_REQUEST_FLOW_H
#define BALSAMPORT_EDGE_REQUEST_FLOW_H

#include "edge_state.h"
#include "place_client.h"

#include <balsamport/edge/event_splitter.h>

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamport {

class RequestFlow;

/// @brief What request flows work with.
struct FlowContext
{
    EdgeContext &edge;
    EdgeState &state;
    PlaceClient &places;
    PeerController &peers;
    EngineController &engines;
    std::set<std::shared_ptr<RequestFlow>> running; ///< Requests in progress.
};

/// @brief One request from its arrival to its answer. Lives on the loop's thread.
///
/// A request that is not idempotent is sent again only where the server said that it did not run
/// it, or where no byte of it was sent.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    RequestFlow(FlowContext &context, std::shared_ptr<const IncomingRequest> incoming,
                std::shared_ptr<ResponseWriter> writer);
    void start();

    /// @brief Goes on with a request that came before the first configuration.
    void configInForce();

private:
    /// One send to a backend server, shared with the callbacks of its exchange.
    struct Attempt
    {
        std::uint64_t exchange = 0;
        BackendServerId server;
        std::uint64_t place = 0; ///< 0 for plain services.
        Millis sentAt;
        std::atomic<bool> abandoned{false};
        std::atomic<std::size_t> unwritten{0};
        std::atomic<bool> paused{false};
        bool started = false; ///< A piece of the answer has come.
        bool finished = false; ///< The answer came whole and well.
        bool foreign = false; ///< The answer belongs to another request.
        ServerResponse answer;
        std::string body;
    };

    [[nodiscard]] bool readRequest();
    /// Waits a moment for the first configuration of a daemon that has just started.
    void awaitConfig(Millis patience);
    void begin();
    /// Asks again soon: no engine that was asked has an owner yet.
    void awaitOwner();
    [[nodiscard]] bool readRoute();
    [[nodiscard]] bool identifyCaller(const EdgeConfig &config);
    [[nodiscard]] bool admit();
    void planServers();
    /// Refuses at once where no server of the service is left but such that want a pause.
    [[nodiscard]] bool refusePaused();
    [[nodiscard]] std::string adapterName() const;
    /// Takes an owner's word on the demand for the request's adapter at one of its homes.
    void noteTold(const BackendServerId &server, double perSecond, Millis now);
    void askSpareInstead();
    [[nodiscard]] bool isHome(const BackendServerId &server) const;
    void leaveOutFailed();
    void askNext();
    void takeVerdict(std::uint64_t place, const BackendServerId &server,
                     const PlaceVerdict &verdict);
    void sendToNextReplica();
    void send(const BackendServerId &server, std::uint64_t place, AdapterVersion version);
    /// Heeds what a server said of itself: that it leaves, or wants a pause.
    void heedNotices(const Attempt &attempt);
    [[nodiscard]] ExchangeHandlers handlersOf(const std::shared_ptr<Attempt> &attempt);
    void takeHead(const std::shared_ptr<Attempt> &attempt, const ResponseHead &head);
    void takeBody(const std::shared_ptr<Attempt> &attempt, const std::string &piece);
    /// Goes on with an answer that was held up, once what came of it has been taken.
    void resumeIfPaused(Attempt &attempt);
    [[nodiscard]] bool isNear(const BackendServerId &server) const;
    void relay(const std::shared_ptr<Attempt> &attempt, std::string text);
    void takeEnd(const std::shared_ptr<Attempt> &attempt, const Result<void> &result);
    void finishAnswer(const std::shared_ptr<Attempt> &attempt);
    /// What the stream says of its engine; nothing where it was not one whole answer from near.
    [[nodiscard]] std::optional<StreamPace> streamPace(const Attempt &attempt) const;
    void takeNotRun(const std::shared_ptr<Attempt> &attempt);
    void takeFailure(const std::shared_ptr<Attempt> &attempt, ErrorCode code);
    void endAttempt(const std::shared_ptr<Attempt> &attempt, PlaceEvent event);
    [[nodiscard]] bool mayRepeat() const;
    [[nodiscard]] bool takeRetry(std::string_view reason);
    void tryAgain();
    void noteCrashOf(const std::shared_ptr<Attempt> &attempt);
    /// Ends what is under way: an exchange, or a wait for a place.
    void dropUnfinished();
    void expire();
    void callerGone();
    void refuse(ErrorCode code, Millis retryAfter);
    void fail(int status, ErrorCode code);
    void answer(HttpAnswer answer, std::string_view outcome, ErrorCode code);
    void end();

    FlowContext &context;
    std::shared_ptr<const IncomingRequest> incoming;
    std::shared_ptr<ResponseWriter> writer;
    CallerRequest request;
    EdgeRoute route;
    OrganisationId organisation; ///< The caller's; empty where it needs no key.
    ServiceId service;
    bool engine = false;
    Fingerprint fingerprint;
    Millis arrivedAt;
    Millis objectiveAt;
    Millis deadlineAt;
    EngineRanking ranking; ///< Empty for plain services.
    std::vector<BackendServerId> spares; ///< Asked in place of engines that are down.
    BackendServerId leastBusy; ///< Of those that sent the request elsewhere.
    Millis leastWait{0}; ///< That it would have had there.
    std::vector<BackendServerId> plan; ///< Servers still to try, best first.
    std::set<BackendServerId> failedAt; ///< Servers that failed the request, or did not run it.
    std::uint32_t asks = 0;
    std::uint64_t place = 0; ///< Asked for and not decided yet.
    std::shared_ptr<Attempt> attempt; ///< Under way.
    std::uint32_t runs = 0; ///< Servers that may have run the request.
    std::uint32_t sends = 0;
    Millis retryHint{0}; ///< From the owners that sent this request elsewhere.
    bool streamStarted = false;
    Millis firstPieceAt{0};
    Millis lastPieceAt{0};
    Millis longestGap{0}; ///< Between two pieces.
    std::vector<Millis> gaps; ///< Between pieces, the first ones.
    EventSplitter splitter;
    std::unique_ptr<LoopTimer> timer;
    std::unique_ptr<LoopTimer> ownerTimer; ///< Of awaitOwner(); made when it is needed.
    bool ownerAnswered = false; ///< An engine's owner has decided on the request.
    bool early = false; ///< Came before the first configuration and waits for it.
    bool ended = false;
};

} // namespace balsamport

#endif
