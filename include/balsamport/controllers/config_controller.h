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

/// @brief One revision with its files. Immutable, so that readers never see a mix of two.
struct RevisionContent
{
    ConfigRevision revision;
    std::uint64_t digest = 0;
    std::vector<SourceFile> files; ///< Ordered by name.

    bool operator==(const RevisionContent &) const = default;
};

using RevisionContentPtr = std::shared_ptr<const RevisionContent>;

/// @brief A complete revision that is to be judged.
struct CandidateRevision
{
    RevisionContent content;
    bool fromPlatform = false;

    bool operator==(const CandidateRevision &) const = default;
};

/// @brief Answers a pull with the files that the asker lacks.
/// @return at most maxPullBytes of content; the asker asks again for the rest
[[nodiscard]] wire::ConfigReply answerConfigPull(const RevisionContent *held,
                                                 const wire::ConfigPull &pull);

/// @brief Writes a pull that names what is held.
[[nodiscard]] wire::ConfigPull makeConfigPull(ConfigRevision revision, std::uint64_t digest,
                                              const std::vector<SourceFile> &files);

/// @brief Merges a reply to a pull into the files that were held.
/// @return the files, ordered by name
[[nodiscard]] std::vector<SourceFile> mergeConfigReply(std::vector<SourceFile> files,
                                                       const wire::ConfigReply &reply);

/// Content of one reply to a pull, in bytes.
constexpr std::size_t maxPullBytes = std::size_t{8} * 1024 * 1024;

/// @brief Holds the configuration in force. Revisions only rise; a refused revision leaves the
/// last accepted one in force.
///
/// Handles ConfigPull. Judges revisions on a thread of its own, since a large one takes longer
/// than a message handler may. All functions may be called from any thread.
class ConfigController
{
public:
    /// @param onAccepted called on the controller's thread with each revision that comes in force
    using AcceptedHandler = std::function<void(const SnapshotPtr &snapshot, bool fromPlatform)>;

    ConfigController(MessageClient &client, AcceptedHandler onAccepted);
    ~ConfigController();
    ConfigController(const ConfigController &) = delete;
    ConfigController &operator=(const ConfigController &) = delete;

    /// @return true where the message was one of this controller's kinds
    bool handle(const wire::Envelope &message, const ReplySender &reply);
    void fillStatus(wire::StatusReply &status) const;

    /// @brief Takes a complete revision to be judged. An older one is ignored and logged.
    void submit(CandidateRevision offered);

    /// @brief Pulls the revision that a peer has in force, if it is newer.
    void pullFromPeer(const PeerConfig &peer);

    /// @brief Stops the thread; later offers are dropped.
    void stop();

    [[nodiscard]] SnapshotPtr snapshot() const;
    /// @return the revision in force; nullptr before the first
    [[nodiscard]] RevisionContentPtr held() const;
    /// @return the highest revision that was judged, accepted or refused
    [[nodiscard]] ConfigRevision highestEvaluated() const;

private:
    void run();
    /// Newer than the one in force and not refused before.
    [[nodiscard]] bool isWanted(ConfigRevision revision) const;
    void judge(const CandidateRevision &offered);
    void pull(const PeerConfig &peer, std::vector<SourceFile> staged, int rounds);
    void takeReply(const PeerConfig &peer, const std::vector<SourceFile> &staged,
                   const wire::ConfigReply &reply, int rounds);

    MessageClient &client;
    const AcceptedHandler onAccepted;
    mutable std::mutex mutex;
    std::condition_variable wakeup;
    std::deque<CandidateRevision> offers;
    RevisionContentPtr inForce;
    SnapshotPtr inForceSnapshot;
    Millis acceptedAt;
    ConfigRevision refused; ///< The last one that was refused.
    ConfigRevision staleLogged;
    std::string lastRefused;
    ConfigRevision pulling;
    Millis pullingUntil;
    bool stopping = false;
    std::thread thread;
};

} // namespace balsamport

#endif
