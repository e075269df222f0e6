#ifndef BALSAMPORT_TOOLS_CONFIG_DIFF_H
#define BALSAMPORT_TOOLS_CONFIG_DIFF_H

#include <balsamport/config/merge.h>
#include <balsamport/config/snapshot.h>

#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// @brief One value that differs between two configurations.
struct ConfigChange
{
    std::string section; ///< The text between the brackets, for example "route burn-plan".
    std::string key; ///< Empty where the whole section is added or removed.
    std::optional<std::string> before; ///< Empty where the value was absent.
    std::optional<std::string> after; ///< Empty where the value is absent.
    SourceLocation
            origin; ///< Source location of the new value, or of the old one where it was removed.

    bool operator==(const ConfigChange &) const = default;
};

/// @brief Compares two merged configurations, value by value.
/// @return the changes ordered by section and key
/// @complexity linear in both
[[nodiscard]] std::vector<ConfigChange> diffConfigs(const MergedConfig &before,
                                                    const MergedConfig &after);

/// @brief Formats one line for each change, for example
/// `~ [route burn-plan] target: burn-plan@3 -> burn-plan@4 (90-month-end.ini:3)`.
[[nodiscard]] std::string diffAsText(const std::vector<ConfigChange> &changes);

/// @brief Formats a merged configuration as one INI file, with the origin of each value in a
/// comment above it.
[[nodiscard]] std::string mergeAsText(const MergedConfig &merged);

/// @brief Formats an override file that starts or ends the draining of backend servers.
/// @param names backend servers, or data centres for all backend servers in them
/// @param draining true to drain, false to end the drain
/// @return the file's text, or ConfigUnknownReference where a name is neither
[[nodiscard]] Result<std::string>
drainOverride(const Snapshot &snapshot, const std::vector<std::string> &names, bool draining);

} // namespace balsamport

#endif
