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

/// @brief The endpoint that the path of a request names.
enum class Endpoint : std::uint8_t {
    ChatCompletions,
    Completions,
    Service,
    Models,
    Tickets,
};

/// @brief What is known about whether the request ran on a backend server.
enum class RunState : std::uint8_t {
    NotSent, ///< No byte of the request was sent to a backend server.
    Sent, ///< A backend server may have read the request.
    Ran, ///< A backend server responded to the request.
};

/// @brief State of one request while it passes the filter chain.
///
/// Filters run one after another, on different threads but never at the same time, so plain members
/// need no lock. State that the caller's disconnect may change at any time is accessed through
/// functions only.
class RequestContext
{
public:
    RequestContext(std::shared_ptr<const IncomingRequest> request,
                   std::shared_ptr<ResponseWriter> writer, SnapshotPtr snapshot, Endpoint endpoint,
                   Millis arrived);
    RequestContext(const RequestContext &) = delete;
    RequestContext &operator=(const RequestContext &) = delete;
    ~RequestContext(); ///< Runs the end callbacks where end() was not called.

    const std::shared_ptr<const IncomingRequest> request;
    const std::shared_ptr<ResponseWriter> writer;
    const SnapshotPtr snapshot; ///< Configuration for the whole request; never null.
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
    RequestKey key; ///< Empty where the caller sent none.
    std::optional<KeyClaim> claim; ///< Of a non-repeatable request, once it is won.
    bool repeatabilityKnown = false; ///< The idempotency filter has determined `repeatable`.
    bool claimLost = false;
    bool provenNotRun = false; ///< No attempt with the key has run, or ever will without this one.
    bool runAlone = false; ///< Suspected of crashing servers: has the right to run alone.

    std::optional<Placement> placement; ///< Currently held.
    std::vector<BackendServerId> triedServers;
    std::uint32_t attempts = 0; ///< Number of times the request was sent to a backend server.
    RunState runState = RunState::NotSent;
    std::optional<ErrorCode> failure; ///< Where the response is a typed error.
    int responseStatus = 0; ///< Status of the response that the caller gets.
    std::function<void(const Error &)> failStream; ///< Ends a started stream with an error.

    /// @brief Calls `callback` once when the request has ended in any way.
    void onEnd(std::function<void()> callback);

    /// @brief Claims the right to send the response. Only the first call returns true.
    [[nodiscard]] bool claimResponse() noexcept;

    /// @brief Runs the end callbacks, the last one first; later calls have no effect.
    void end();

private:
    std::atomic<bool> responseClaimed{false};
    std::mutex mutex;
    bool ended = false; ///< Guarded by mutex.
    std::vector<std::function<void()>> endCallbacks; ///< Guarded by mutex.
};

using ContextPtr = std::shared_ptr<RequestContext>;

} // namespace balsamport

#endif
