#ifndef BALSAMPORT_EDGE_ORGANISATIONS_H
#define BALSAMPORT_EDGE_ORGANISATIONS_H

#include <balsamport/core/ids.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief An organisation whose callers identify themselves by a key.
struct Organisation
{
    OrganisationId id;
    std::optional<std::int32_t> priority; ///< Goes before the route's; 0 goes first.

    bool operator==(const Organisation &) const = default;
};

/// @brief SHA-256 of a key.
using KeyDigest = std::array<unsigned char, 32>;

/// @brief The organisations of one configuration, and their keys. No key is kept as text.
struct Organisations
{
    /// A key in the table, and whose it is.
    struct KeyEntry
    {
        KeyDigest digest{};
        std::size_t organisation = 0; ///< Index into all.

        bool operator==(const KeyEntry &) const = default;
    };
    std::vector<Organisation> all;
    std::map<std::uint64_t, std::vector<KeyEntry>> keys; ///< By keyed hash.

    bool operator==(const Organisations &) const = default;
};

/// @brief Adds an organisation. A key that two of them hold stays with the first.
/// @param keys as callers send them; an empty one is left out
/// @code addOrganisation(known, {OrganisationId("growers"), 0}, {"k1", "k2"}); @endcode
void addOrganisation(Organisations &known, Organisation organisation,
                     const std::vector<std::string_view> &keys);

/// @brief Finds the organisation that holds a key. Its time does not tell how much of a wrong key
/// is right.
/// @return nothing for a key that nobody holds
[[nodiscard]] const Organisation *findOrganisation(const Organisations &known,
                                                   std::string_view key);

} // namespace balsamport

#endif
