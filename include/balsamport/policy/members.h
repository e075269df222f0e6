#ifndef BALSAMPORT_POLICY_MEMBERS_H
#define BALSAMPORT_POLICY_MEMBERS_H

#include <balsamport/core/ids.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamport {

/// @brief What a member of the fleet is believed to be.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    Draining,
};

/// @brief A VM of the system as another VM sees it.
struct Member
{
    VmInstance instance;
    MemberState state = MemberState::Alive;
    DataCentreId dataCentre;
    std::string controllerEndpoint; ///< tcp://IP:PORT
    std::string gatewayAddress; ///< IP:PORT
    std::uint64_t refutation = 0; ///< Rises when a member contradicts a suspicion of itself.

    auto operator<=>(const Member &) const = default;
    bool operator==(const Member &) const = default;
};

/// @brief The owner of a backend server, and where its controller listens.
struct Owner
{
    BackendServerId backendServer;
    VmId vm;
    std::string controllerEndpoint; ///< tcp://IP:PORT

    auto operator<=>(const Owner &) const = default;
    bool operator==(const Owner &) const = default;
};

/// @brief The fleet as one controller sees it.
struct FleetView
{
    std::vector<Member> members; ///< Ordered by VM id.
    std::vector<VmId> listedVms; ///< In the order of the platform's list.
    std::vector<Owner> owners; ///< Ordered by backend server.
    bool draining = false; ///< This VM itself is leaving.

    bool operator==(const FleetView &) const = default;
};

} // namespace balsamport

#endif
