#ifndef BALSAMPORT_POLICY_CLAIM_KEY_H
#define BALSAMPORT_POLICY_CLAIM_KEY_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace balsamport {

/// Longest Idempotency-Key that is accepted, in bytes.
constexpr std::size_t maxKeyBytes = 255;

/// @brief A key that a controller issued. It names its only witness: that run of the controller.
struct Ticket
{
    VmInstance witness;
    std::uint64_t number = 0; ///< Increases with every ticket of this run, from 1.

    bool operator==(const Ticket &) const = default;
};

/// @brief Formats a ticket as `ticket.VM.INCARNATION.NUMBER`, the numbers in hexadecimal.
[[nodiscard]] RequestKey formatTicket(const Ticket &ticket);

/// @brief Parses a ticket.
/// @return std::nullopt if the key is not a ticket
[[nodiscard]] std::optional<Ticket> parseTicket(std::string_view key);

/// @brief Extracts the timestamp of a UUID of version 7 (RFC 9562).
/// @return wall clock time; std::nullopt if the text is not such a UUID
[[nodiscard]] std::optional<Millis> uuid7Time(std::string_view key);

/// @brief Parses `Repeatability-First-Sent`, an HTTP date (IMF-fixdate).
/// @return wall clock time; InvalidHeader if the value is not such a date
/// Example: `Fri, 04 Dec 2026 01:01:15 GMT`
[[nodiscard]] Result<Millis> parseFirstSent(std::string_view value);

/// @brief Validates an Idempotency-Key: 1 to maxKeyBytes visible ASCII characters.
/// @return the key; KeyMissing if it is empty, KeyInvalid if it is malformed
[[nodiscard]] Result<RequestKey> checkKey(std::string_view key);

/// @brief Returns the time at which a key was first sent.
/// @param header the parsed `Repeatability-First-Sent`, if the request has it
/// @return wall clock time: that of the key itself, else the header's; std::nullopt if neither is
/// known
[[nodiscard]] std::optional<Millis> firstSentOf(std::string_view key, std::optional<Millis> header);

/// @brief Prefixes a key with its caller, so that two callers may use the same key text.
[[nodiscard]] RequestKey scopedKey(const CallerId &caller, const RequestKey &key);

} // namespace balsamport

#endif
