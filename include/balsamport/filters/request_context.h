#ifndef BALSAMPORT_FILTERS_REQUEST_CONTEXT_H
#define BALSAMPORT_FILTERS_REQUEST_CONTEXT_H

#include <balsamport/config/snapshot.h>
#include <balsamport/filters/model_request.h>
#include <balsamport/filters/sources.h>
#include <balsamport/http/http_server.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// @brief What a request asks for, by its path.
enum class Endpoint : std::uint8_t {
    ChatCompletions,
    Completions,
    Service,
    Models,
    Tickets,
};

/// @brief What is known about whether the request ran on a backend server.
enum class RunState : std::uint8_t {
    NotSent, ///< No byte of it has left for a backend server.
    Sent, ///< It may have been read.
    Ran, ///< A backend server answered it.
};

/// @brief One request on its way through the filter chain.
///
/// Filters run one after another, on different threads but never at the same time, so that plain
/// members need no lock. What the caller's disconnect touches at any time is behind functions.
class RequestContext
{
public:
    RequestContext(std::shared_ptr<const IncomingRequest> request,
                   std::shared_ptr<ResponseWriter> writer, SnapshotPtr snapshot, Endpoint endpoint,
                   Millis arrived);
    RequestContext(const RequestContext &) = delete;
    RequestContext &operator=(const RequestContext &) = delete;
    ~RequestContext(); ///< Runs the finishers where end() did not.

    const std::shared_ptr<const IncomingRequest> request;
    const std::shared_ptr<ResponseWriter> writer;
    const SnapshotPtr snapshot; ///< In force for the whole request; never null.
    const Endpoint endpoint;
    const Millis arrived; ///< Monotonic.

    RequestId id;
    Millis deadline; ///< Monotonic.
    CallerId caller; ///< Empty where no callers are configured.
    CallerClassConfig callerClass;
    ModelRequest model; ///< Model endpoints only.
    std::optional<AdapterRef> adapter; ///< Resolved once, at admission.
    ServiceId service; ///< Plain services only.
    std::string backendPath; ///< Path and query for the backend server.
    std::int32_t priority = 0;
    Fingerprint fingerprint; ///< Of the adapter and the body.

    bool repeatable = true; ///< May be sent again after it may have run.
    RequestKey key; ///< Empty where the caller gave none.
    std::optional<KeyClaim> claim; ///< Of a non-repeatable request, once it is won.
    bool keyKnown = false; ///< The idempotency filter has decided on `repeatable`.
    bool claimLost = false;
    bool provenNotRun = false; ///< No attempt with the key has run, or ever will without this one.
    bool alone = false; ///< Suspected: it has the right to run alone.

    std::optional<Placement> placement; ///< Held now.
    std::vector<BackendServerId> triedServers;
    std::uint32_t attempts = 0; ///< Times the request was sent to a backend server.
    RunState run = RunState::NotSent;
    std::optional<ErrorCode> failure; ///< Where the answer is a typed error.
    int answerStatus = 0; ///< Of the answer that the caller gets.
    std::function<void(const Error &)> failStream; ///< Ends a stream that has started.

    /// @brief Calls back once when the request has ended in any way.
    void onEnd(std::function<void()> finisher);

    /// @brief Takes the right to give the answer. Only the first call gets it.
    [[nodiscard]] bool claimAnswer() noexcept;

    /// @brief Runs the finishers, last first; later calls do nothing.
    void end();

private:
    std::atomic<bool> answered{false};
    std::mutex mutex;
    bool ended = false;
    std::vector<std::function<void()>> finishers;
};

using ContextPtr = std::shared_ptr<RequestContext>;

} // namespace balsamport

#endif
