#ifndef BALSAMPORT_CONTROLLERS_CONFIG_CONTROLLER_H
#define BALSAMPORT_CONTROLLERS_CONFIG_CONTROLLER_H

#include <balsamport/config/validate.h>
#include <balsamport/controllers/membership_controller.h>
#include <balsamport/wire/message_client.h>
#include <balsamport/wire/message_server.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace balsamport {

/// @brief A revision of the configuration with its files. Immutable, so that readers never see
/// files of two revisions.
struct RevisionContent
{
    ConfigRevision revision;
    std::uint64_t digest = 0;
    std::vector<SourceFile> files; ///< Ordered by name.

    bool operator==(const RevisionContent &) const = default;
};

using RevisionContentPtr = std::shared_ptr<const RevisionContent>;

/// @brief A complete revision that has yet to be evaluated.
struct CandidateRevision
{
    RevisionContent content;
    bool fromPlatform = false;

    bool operator==(const CandidateRevision &) const = default;
};

/// @brief Creates the reply to a pull: the files that the requesting VM lacks.
/// @param inForce nullptr where no revision is in force
/// @return at most maxPullBytes of content, but one file at least; further pulls get the rest
[[nodiscard]] wire::ConfigReply makeConfigReply(const RevisionContent *inForce,
                                                const wire::ConfigPull &pull);

/// @brief Creates a pull that names the files that this process has.
[[nodiscard]] wire::ConfigPull makeConfigPull(ConfigRevision revision, std::uint64_t digest,
                                              const std::vector<SourceFile> &files);

/// @brief Merges the reply to a pull into the files that the pull named.
/// @return the files, ordered by name
[[nodiscard]] std::vector<SourceFile> mergeConfigReply(std::vector<SourceFile> files,
                                                       const wire::ConfigReply &reply);

/// Largest content of one reply to a pull, in bytes, where it has more than one file.
constexpr std::size_t maxPullBytes = std::size_t{8} * 1024 * 1024;

/// @brief Holds the configuration in force. The revision in force only increases; a refused
/// revision leaves the last accepted one in force.
///
/// Handles ConfigPull. Evaluates revisions on its own thread, because a large one takes longer than
/// a message handler may. All functions may be called from any thread.
class ConfigController
{
public:
    /// Called on the controller's thread with each revision that comes into force.
    using AcceptedHandler = std::function<void(const SnapshotPtr &snapshot, bool fromPlatform)>;

    ConfigController(MessageClient &client, AcceptedHandler onAccepted);
    ~ConfigController();
    ConfigController(const ConfigController &) = delete;
    ConfigController &operator=(const ConfigController &) = delete;

    /// @return true where the message was one of this controller's kinds
    bool handle(const wire::Envelope &message, const ReplySender &reply);
    /// @brief Sets the revision in force, its age and the last refusal.
    void fillStatus(wire::StatusReply &status) const;

    /// @brief Queues a complete revision for evaluation. An older one is ignored and logged; any is
    /// dropped while 8 revisions wait.
    void submit(CandidateRevision candidate);

    /// @brief Pulls the revision that a peer has in force where it is newer than the own one.
    void pullFromPeer(const PeerConfig &peer);

    /// @brief Stops the thread; revisions that are submitted later are dropped.
    void stop();

    [[nodiscard]] SnapshotPtr snapshot() const;
    /// @return the revision in force; nullptr before the first
    [[nodiscard]] RevisionContentPtr contentInForce() const;
    /// @return the highest revision that was evaluated, whether accepted or refused
    [[nodiscard]] ConfigRevision highestEvaluated() const;

private:
    void run();
    /// Requires the mutex.
    [[nodiscard]] bool isNewAndNotRefused(ConfigRevision revision) const;
    void evaluate(const CandidateRevision &candidate);
    void pull(const PeerConfig &peer, std::vector<SourceFile> staged, int rounds);
    void handleReply(const PeerConfig &peer, const std::vector<SourceFile> &staged,
                     const wire::ConfigReply &reply, int rounds);

    MessageClient &client;
    const AcceptedHandler onAccepted;
    mutable std::mutex mutex;
    std::condition_variable wakeup;
    std::deque<CandidateRevision> candidates;
    RevisionContentPtr inForce;
    SnapshotPtr inForceSnapshot;
    Millis acceptedAt;
    ConfigRevision refused; ///< Last revision that was refused.
    ConfigRevision lastStaleLogged;
    std::string lastRefused;
    ConfigRevision pulledRevision;
    Millis pullUntil;
    bool stopping = false;
    std::thread thread;
};

} // namespace balsamport

#endif
