#ifndef BALSAMPORT_CONTROLLERS_CLAIM_CLIENT_H
#define BALSAMPORT_CONTROLLERS_CLAIM_CLIENT_H

#include <balsamport/config/snapshot.h>
#include <balsamport/policy/claim_key.h>
#include <balsamport/policy/claim_votes.h>
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

/// @brief What came of a claim.
struct ClaimOutcome
{
    ClaimStanding standing = ClaimStanding::Undecided;
    /// Where Won: the first byte must be sent before it, else the attempt is abandoned. Monotonic.
    Millis dispatchDeadline;
    /// No attempt with this key ran or will run, given that the gateway abandons its own.
    bool provenNotRun = false;
    std::optional<ErrorCode> failure; ///< Where not Won.
    std::optional<VmInstance> winnerGateway; ///< Where Lost: it may still hold the answer.

    bool operator==(const ClaimOutcome &) const = default;
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
    void ticket(std::function<void(const Result<RequestKey> &key)> callback);

private:
    struct Round;
    struct View
    {
        SnapshotPtr snapshot;
        std::shared_ptr<const FleetView> fleet;
    };

    std::shared_ptr<Round> prepare(const ClaimQuery &query, ClaimCallback callback);
    View view() const;

    MessageClient &messages;
    std::string ownController;
    mutable std::mutex mutex;
    View current;
};

} // namespace balsamport

#endif
