#ifndef BALSAMPORT_WIRE_CURVE_KEYS_H
#define BALSAMPORT_WIRE_CURVE_KEYS_H

#include <balsamport/core/ids.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief CURVE keys of the fleet, in ZeroMQ's Z85 text form of 40 characters.
///
/// All processes of a fleet share one key pair; whoever lacks it gets nothing. Empty keys mean
/// plain text. `acceptedPublicKeys` lists further public keys that are let in while keys are
/// rotated.
struct CurveKeys
{
    std::string publicKey;
    std::string secretKey;
    std::vector<std::string> acceptedPublicKeys;

    [[nodiscard]] bool isEnabled() const noexcept { return !this->secretKey.empty(); }
    bool operator==(const CurveKeys &) const = default;
};

/// @brief Who sends: put into every envelope.
struct MessageSender
{
    std::string vm;
    std::uint64_t incarnation = 0;

    bool operator==(const MessageSender &) const = default;
};

} // namespace balsamport

#endif
