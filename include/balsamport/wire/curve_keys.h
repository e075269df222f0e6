#ifndef BALSAMPORT_WIRE_CURVE_KEYS_H
#define BALSAMPORT_WIRE_CURVE_KEYS_H

#include <balsamport/core/ids.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief CURVE keys of the fleet in ZeroMQ's Z85 encoding, 40 characters each.
///
/// All processes of a fleet share one key pair; peers without an accepted key are refused. Empty
/// keys disable encryption. `acceptedPublicKeys` lists further public keys that are accepted during
/// a key rotation.
struct CurveKeys
{
    std::string publicKey;
    std::string secretKey;
    std::vector<std::string> acceptedPublicKeys;

    [[nodiscard]] bool isEnabled() const noexcept { return !this->secretKey.empty(); }
    bool operator==(const CurveKeys &) const = default;
};

/// @brief Identifies the sender of a message, in every envelope.
struct MessageSender
{
    std::string vm;
    std::uint64_t incarnation = 0;

    bool operator==(const MessageSender &) const = default;
};

} // namespace balsamport

#endif
