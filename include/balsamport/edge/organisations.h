#ifndef BALSAMPORT_EDGE_ORGANISATIONS_H
#define BALSAMPORT_EDGE_ORGANISATIONS_H

#include <balsamport/core/ids.h>
#include <balsamport/policy/organisation_quota.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief An organisation whose callers authenticate with a key.
struct Organisation
{
    OrganisationId id;
    std::optional<std::int32_t> priority; ///< Goes before that of the route; 0 is served first.
    std::optional<QuotaLimit> quota{}; ///< Nothing without a limit.

    bool operator==(const Organisation &) const = default;
};

/// @brief SHA-256 of a key.
using KeyDigest = std::array<unsigned char, 32>;

/// @brief The organisations of one configuration and their keys. Keys are stored as digests only.
struct Organisations
{
    /// The digest of a key and the organisation that it belongs to.
    struct KeyEntry
    {
        KeyDigest digest{};
        std::size_t organisation = 0; ///< Index into all.

        bool operator==(const KeyEntry &) const = default;
    };
    std::vector<Organisation> all;
    std::map<std::uint64_t, std::vector<KeyEntry>> keys; ///< Buckets by seeded hash of the key.

    bool operator==(const Organisations &) const = default;
};

/// @brief Adds an organisation. A key of two organisations belongs to the first one.
/// @param keys as callers send them; empty keys are ignored
/// @code addOrganisation(organisations, {OrganisationId("growers"), 0}, {"k1", "k2"}); @endcode
void addOrganisation(Organisations &organisations, Organisation organisation,
                     const std::vector<std::string_view> &keys);

/// @return the quota of an organisation; nothing for one without a limit, or an unknown one
[[nodiscard]] const QuotaLimit *findQuota(const Organisations &organisations,
                                          const OrganisationId &organisation);

/// @brief Finds the organisation of a key. The comparison takes constant time, so that its duration
/// does not reveal how much of a wrong key is correct.
/// @return nullptr for an unknown key
[[nodiscard]] const Organisation *findOrganisation(const Organisations &organisations,
                                                   std::string_view key);

} // namespace balsamport

#endif
