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

/// Longest Idempotency-Key that is taken, in bytes.
constexpr std::size_t maxKeyBytes = 255;

/// @brief A key that names its only witness: one run of the controller on one VM.
struct Ticket
{
    VmInstance witness;
    std::uint64_t number = 0; ///< Rises with every ticket of this run, from 1.

    bool operator==(const Ticket &) const = default;
};

/// @brief Writes a ticket as `ticket.VM.INCARNATION.NUMBER`, the numbers in hexadecimal.
[[nodiscard]] RequestKey formatTicket(const Ticket &ticket);

/// @brief Reads a ticket.
/// @return nothing where the key is not a ticket
[[nodiscard]] std::optional<Ticket> parseTicket(std::string_view key);

/// @brief Reads the time that a UUID of version 7 carries (RFC 9562).
/// @return wall clock time; nothing where the text is not such a UUID
[[nodiscard]] std::optional<Millis> uuid7Time(std::string_view key);

/// @brief Reads `Repeatability-First-Sent`, a date as in HTTP (IMF-fixdate).
/// @return wall clock time; InvalidHeader where it is not such a date
/// Example: `Fri, 04 Dec 2026 01:01:15 GMT`
[[nodiscard]] Result<Millis> parseFirstSent(std::string_view value);

/// @brief Checks an Idempotency-Key: 1 to maxKeyBytes visible ASCII characters.
/// @return KeyMissing for an empty key, KeyInvalid for a wrong one
[[nodiscard]] Result<RequestKey> checkKey(std::string_view key);

/// @brief Gives the time at which a key was first sent.
/// @param header the parsed header, where there is one
/// @return the time in the key itself, else the header's; nothing where neither is known
[[nodiscard]] std::optional<Millis> firstSentOf(std::string_view key, std::optional<Millis> header);

/// @brief Tells callers' keys apart, so that two callers may use the same text.
[[nodiscard]] RequestKey scopedKey(const CallerId &caller, const RequestKey &key);

} // namespace balsamport

#endif
