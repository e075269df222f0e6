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

/// @brief One claim of one key.
struct ClaimQuery
{
    RequestKey key; ///< As the caller sent it.
    CallerId caller; ///< Keys of different callers are different keys.
    Fingerprint body;
    AttemptId attempt; ///< newAttemptId(); never used for another request.
    std::optional<Millis> firstSentWall; ///< firstSentOf(); nothing where unknown.
    Millis arrivedAt; ///< Monotonic; when the request came to this gateway.
    Millis deadline; ///< Monotonic; of the request.

    bool operator==(const ClaimQuery &) const = default;
};

using ClaimCallback = std::function<void(const ClaimOutcome &outcome)>;

/// @return a random number other than 0
[[nodiscard]] AttemptId newAttemptId();

/// @brief Claims keys at the witnesses for a gateway.
///
/// Each key has three seats; two must grant it. A ticket has one. Where no majority is found the
/// key is closed at the witnesses that answer, so that the caller can often be told that nothing
/// ran. Callbacks run on the message client's thread, or on the caller's own where no witness is
/// known. All functions may be called from any thread.
///
/// A gateway that was paused may read requests that waited for it, so that their age cannot be
/// told: for 2 s after it woke, keys without a first-sent time are refused.
class ClaimClient
{
public:
    /// @param messages must outlive this object and every claim under way
    /// @param ownController controller of this VM, which issues tickets; tcp://IP:PORT
    ClaimClient(MessageClient &messages, std::string ownController);

    /// @brief Takes the configuration and the fleet that seats are chosen from.
    void update(SnapshotPtr snapshot, std::shared_ptr<const FleetView> fleet);

    /// @brief Claims a key. Calls back once, after 900 ms at the latest.
    void claim(const ClaimQuery &query, ClaimCallback callback);

    /// @brief Closes a key that no attempt of this gateway will use: no later attempt can win it
    /// where the outcome says provenNotRun.
    void close(const ClaimQuery &query, ClaimCallback callback);

    /// @brief Asks this VM's controller for a ticket.
    void requestTicket(std::function<void(const Result<RequestKey> &key)> callback);

private:
    struct Round;
    struct View
    {
        SnapshotPtr snapshot;
        std::shared_ptr<const FleetView> fleet;
    };

    std::shared_ptr<Round> prepare(const ClaimQuery &query, ClaimCallback callback, bool closeOnly);
    View view() const;

    MessageClient &messages;
    std::string ownController;
    PauseDetector pauses;
    mutable std::mutex mutex;
    View current;
};

} // namespace balsamport

#endif
