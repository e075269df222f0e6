#ifndef BALSAMPORT_CONTROLLERS_CLAIM_CLIENT_H
#define BALSAMPORT_CONTROLLERS_CLAIM_CLIENT_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/pause_detector.h>
#include <balsamport/policy/claim_key.h>
#include <balsamport/policy/claim_round.h>
#include <balsamport/policy/members.h>
#include <balsamport/wire/message_client.h>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace balsamport {

/// @brief A claim of a key by one attempt.
struct ClaimQuery
{
    RequestKey key; ///< As sent by the caller.
    CallerId caller; ///< Scope of the key: equal keys of two callers are different.
    Fingerprint body;
    AttemptId attempt; ///< From newAttemptId(); not used for any other request.
    std::optional<Millis> firstSentWall; ///< From firstSentOf(); empty where unknown.
    Millis arrivedAt; ///< Monotonic; when this gateway received the request.
    Millis deadline; ///< Monotonic; deadline of the request.

    bool operator==(const ClaimQuery &) const = default;
};

using ClaimCallback = std::function<void(const ClaimOutcome &outcome)>;

/// @return a random number other than 0
[[nodiscard]] AttemptId newAttemptId();

/// @brief Claims keys at the witnesses on behalf of a gateway.
///
/// A key has three witness slots, two of which must grant it. A ticket has one. Where no quorum
/// grants the key, it is closed at the witnesses that reply, so that the response to the caller can
/// often say that nothing ran. Callbacks run on the message client's thread, or on the calling
/// thread where no witness is known. All functions may be called from any thread.
///
/// A gateway that was paused reads requests that arrived during the pause, and can't tell their
/// age: for 2 s after it resumed, keys without a first-sent time are refused.
class ClaimClient
{
public:
    /// @param messages must outlive this object and every claim in progress
    /// @param ownController endpoint of this VM's controller, which issues tickets; tcp://IP:PORT
    ClaimClient(MessageClient &messages, std::string ownController);

    /// @brief Sets the configuration and the fleet that witness slots are chosen from.
    void update(SnapshotPtr snapshot, std::shared_ptr<const FleetView> fleet);

    /// @brief Claims a key.
    /// @param callback called once, after 900 ms at the latest
    void claim(const ClaimQuery &query, ClaimCallback callback);

    /// @brief Closes a key that no attempt of this gateway will use. Where the outcome has
    /// provenNotRun set, no later attempt can win the key.
    void close(const ClaimQuery &query, ClaimCallback callback);

    /// @brief Requests a ticket from this VM's controller.
    void requestTicket(std::function<void(const Result<RequestKey> &key)> callback);

private:
    struct ClaimInProgress;
    struct View
    {
        SnapshotPtr snapshot;
        std::shared_ptr<const FleetView> fleet;
    };

    std::shared_ptr<ClaimInProgress> prepare(const ClaimQuery &query, ClaimCallback callback,
                                             bool closeOnly);
    View view() const;

    MessageClient &messages;
    std::string ownController;
    PauseDetector pauses;
    mutable std::mutex mutex;
    View current;
};

} // namespace balsamport

#endif
