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
    std::string rest; ///< Starts with a slash.

    bool operator==(const ServicePath &) const = default;
};

/// @brief Cuts `/v1/services/NAME/REST`.
///
/// Paths with more than one written form (dot segments, doubled slashes, escapes) are refused, so
/// that none gets round a rule for non-repeatable calls.
/// @return InvalidRequest or UnknownService
[[nodiscard]] Result<ServicePath> parseServicePath(std::string_view path);

/// @brief Tells whether a call may not be repeated, by the service's rules.
/// @param rest path for the backend server; may carry a query
[[nodiscard]] bool isNonRepeatable(const ServiceConfig &service, std::string_view method,
                                   std::string_view rest);

} // namespace balsamport

#endif
