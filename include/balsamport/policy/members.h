#ifndef BALSAMPORT_POLICY_MEMBERS_H
#define BALSAMPORT_POLICY_MEMBERS_H

#include <balsamport/core/ids.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamport {

/// @brief The state of a member of the fleet as assumed by another VM.
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Dead,
    Draining,
};

/// @brief A VM of the fleet as seen by another VM.
struct Member
{
    VmInstance instance;
    MemberState state = MemberState::Alive;
    DataCentreId dataCentre;
    std::string controllerEndpoint; ///< tcp://IP:PORT
    std::string gatewayAddress; ///< IP:PORT
    std::uint64_t refutation = 0; ///< Incremented when the member refutes a suspicion.

    auto operator<=>(const Member &) const = default;
    bool operator==(const Member &) const = default;
};

/// @brief The owner of a backend server and the endpoint of its controller.
struct Owner
{
    BackendServerId backendServer;
    VmId vm;
    std::string controllerEndpoint; ///< tcp://IP:PORT

    auto operator<=>(const Owner &) const = default;
    bool operator==(const Owner &) const = default;
};

/// @brief The fleet as seen by one controller.
struct FleetView
{
    std::vector<Member> members; ///< Ordered by VM id.
    std::vector<VmId> listedVms; ///< In the order of the platform's list.
    std::vector<Owner> owners; ///< Ordered by backend server.
    bool draining = false; ///< This VM itself is draining.

    bool operator==(const FleetView &) const = default;
};

} // namespace balsamport

#endif
