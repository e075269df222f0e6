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

/// @brief The configuration of a peer, as its probe announces it.
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
    std::vector<std::string> seedEndpoints; ///< Probed while no member is introduced.
    MembershipTimings timings;

    bool operator==(const MembershipSettings &) const = default;
};

/// @brief Maintains the membership: probes members, spreads gossip and the platform's list, and
/// serves the fleet view to the VM's gateway.
///
/// Handles Probe, ProbeRelay and MembersPull. All functions may be called from any thread.
class MembershipController
{
public:
    using PeerConfigHandler = std::function<void(const PeerConfig &peer)>;

    MembershipController(MessageClient &client, MembershipSettings settings);

    /// @brief Sets the handler of configurations that peers announce. Call before the first
    /// message.
    void onPeerConfig(PeerConfigHandler handler);

    /// @return true where the message was one of this controller's kinds
    bool handle(const wire::Envelope &message, const ReplySender &reply);
    /// @brief Sends probes that are due and expires suspects.
    /// @param now monotonic
    void tick(Millis now);
    void fillStatus(wire::StatusReply &status) const;

    /// @brief Applies a list that this VM has just read from the platform.
    /// @param readAt monotonic
    void applyPlatformList(std::vector<ListedVm> vms, Millis readAt);

    /// @brief Announces to the data centre the configuration that is now in force here.
    /// @param fromPlatform whether it was read from the platform or from a peer
    void announceConfig(ConfigRevision revision, std::uint64_t digest, bool fromPlatform);

    void setOwners(std::vector<Owner> owners);

    /// @brief Marks this VM as draining and announces it to the data centre.
    void drain();

    [[nodiscard]] std::shared_ptr<const FleetView> fleet() const;
    [[nodiscard]] PlatformList list() const;
    /// @return true where this VM watches the platform for its data centre
    [[nodiscard]] bool isWatcher() const;
    /// @return true where this VM is draining, by its own decision or by the platform's list
    [[nodiscard]] bool isDraining() const;
    /// @return endpoints of controllers to request a configuration from: members first, then seeds
    [[nodiscard]] std::vector<std::string> peerEndpoints() const;

private:
    void handleProbe(const wire::Envelope &message, const ReplySender &reply);
    void handleProbeRelay(const wire::Envelope &message, const ReplySender &reply);
    void handlePull(const wire::MembersPull &pull, const ReplySender &reply) const;
    void sendProbe(const std::string &endpoint, const VmId &target, Millis now);
    void sendRelays(const ProbeAction &action);
    void probeSeeds(Millis now);
    void applyProbeContent(const std::vector<Member> &gossip, const VmInstance &sender,
                           std::uint64_t listDigest, Millis listAge, const PeerConfig &peer);
    void handleAck(const wire::Envelope &ack, const std::string &endpoint);
    void pullList(const std::string &endpoint);
    void applyListReply(const wire::MembersReply &reply, Millis sentAt);
    void broadcast(std::uint64_t change, bool sendToRoot);
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
    Millis listPullUntil; ///< No further pull of the list before then; monotonic.
};

} // namespace balsamport

#endif
