#ifndef BALSAMPORT_FILTERS_SERVICE_PATH_H
#define BALSAMPORT_FILTERS_SERVICE_PATH_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/error.h>

#include <string>
#include <string_view>

namespace balsamport {

/// @brief A path below /v1/services.
struct ServicePath
{
    ServiceId service;
    std::string rest; ///< Path at the service; starts with a slash.

    bool operator==(const ServicePath &) const = default;
};

/// @brief Splits `/v1/services/NAME/REST`.
///
/// Refuses paths that have more than one spelling (dot segments, doubled slashes, escapes), so that
/// none bypasses a rule for non-repeatable calls.
/// @return InvalidRequest or UnknownService
[[nodiscard]] Result<ServicePath> parseServicePath(std::string_view path);

/// @brief Checks a call against the service's rules for non-repeatable calls.
/// @param rest path at the service; may include a query
/// @return true where the call must not be repeated
[[nodiscard]] bool isNonRepeatable(const ServiceConfig &service, std::string_view method,
                                   std::string_view rest);

} // namespace balsamport

#endif
