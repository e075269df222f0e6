#ifndef BALSAMPORT_CONTROLLERS_MEMBERSHIP_CONTROLLER_H
#define BALSAMPORT_CONTROLLERS_MEMBERSHIP_CONTROLLER_H

#include <balsamport/policy/membership.h>
#include <balsamport/wire/message_client.h>
#include <balsamport/wire/message_server.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace balsamport {

/// @brief What a probe tells of the sender's configuration.
struct PeerConfig
{
    std::string endpoint; ///< Controller of the peer.
    ConfigRevision revision;
    std::uint64_t digest = 0;

    bool operator==(const PeerConfig &) const = default;
};

/// @brief Settings of a controller's membership.
struct MembershipSettings
{
    Member self;
    std::vector<std::string> seedEndpoints; ///< Controllers to ask before any member is known.
    MembershipTimings timings;

    bool operator==(const MembershipSettings &) const = default;
};

/// @brief Keeps the membership: probes, spreads news and the platform's list, and serves the view
/// to the VM's gateway.
///
/// Handles Probe, ProbeRelay and MembersPull. All functions may be called from any thread.
class MembershipController
{
public:
    using PeerConfigHandler = std::function<void(const PeerConfig &peer)>;

    MembershipController(MessageClient &client, MembershipSettings settings);

    /// @brief Sets who is told of the configuration that peers have. Call before the first message.
    void onPeerConfig(PeerConfigHandler handler);

    /// @return true where the message was one of this controller's kinds
    bool handle(const wire::Envelope &message, const ReplySender &reply);
    void tick(Millis now);
    void fillStatus(wire::StatusReply &status) const;

    /// @brief Takes a list that was just read from the platform.
    void applyPlatformList(std::vector<ListedVm> vms, Millis readAt);

    /// @brief Tells the data centre of a configuration that is now in force here.
    /// @param fromPlatform it was read from the platform, not from a peer
    void announceConfig(ConfigRevision revision, std::uint64_t digest, bool fromPlatform);

    void setOwners(std::vector<Owner> owners);

    /// @brief Spreads that this VM leaves.
    void drain();

    [[nodiscard]] std::shared_ptr<const FleetView> fleet() const;
    [[nodiscard]] PlatformList list() const;
    /// @return true where this VM watches the platform for its data centre
    [[nodiscard]] bool isWatcher() const;
    /// @return true where this VM leaves, by its own decision or by the platform's list
    [[nodiscard]] bool isDraining() const;
    /// @return controllers to ask for a configuration: members first, then the seeds
    [[nodiscard]] std::vector<std::string> peerEndpoints() const;

private:
    void answerProbe(const wire::Envelope &message, const ReplySender &reply);
    void relayProbe(const wire::Envelope &message, const ReplySender &reply);
    void answerPull(const wire::MembersPull &pull, const ReplySender &reply) const;
    void sendProbe(const std::string &endpoint, const VmId &target, Millis now);
    void sendRelays(const ProbeAction &action);
    void probeSeeds(Millis now);
    void takeProbeContent(const std::vector<Member> &news, const VmInstance &sender,
                          std::uint64_t listDigest, Millis listAge, const PeerConfig &peer);
    void takeAck(const wire::Envelope &ack, const std::string &endpoint);
    void pullList(const std::string &endpoint);
    void takeList(const wire::MembersReply &reply, Millis sentAt);
    void announce(std::uint64_t change, bool atRoot);
    void refreshView();
    template<typename Message>
    void fillProbe(Message &message, const VmId &receiver, Millis now);
    [[nodiscard]] std::string endpointOf(const VmId &vm) const;

    MessageClient &client;
    const MembershipSettings settings;
    PeerConfigHandler peerConfigHandler;
    mutable std::mutex mutex;
    MembershipState state;
    std::shared_ptr<const FleetView> view;
    std::vector<Owner> owners;
    ConfigRevision configRevision;
    std::uint64_t configDigest = 0;
    Millis nextSeedProbe;
    Millis listPullUntil; ///< A pull of the list is under way until then.
};

} // namespace balsamport

#endif
