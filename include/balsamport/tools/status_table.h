#ifndef BALSAMPORT_TOOLS_STATUS_TABLE_H
#define BALSAMPORT_TOOLS_STATUS_TABLE_H

#include <balsamport/core/error.h>

#include <balsamport.pb.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief A controller's response to a status request.
struct ControllerStatus
{
    std::string endpoint;
    Result<wire::StatusReply> reply;
};

/// @brief Lists what needs an operator's attention: controllers that do not respond, have no
/// confirmed view, do not reach the platform, refused a revision, quarantine requests, or hold
/// different revisions or digests; backend servers with no effective owner or more than one.
/// @return one sentence each; empty where there is no warning
[[nodiscard]] std::vector<std::string> statusWarnings(const std::vector<ControllerStatus> &fleet);

/// @brief Formats a table of VMs, a table of backend servers and the warnings.
[[nodiscard]] std::string statusAsTable(const std::vector<ControllerStatus> &fleet);

/// @brief Formats all replies as JSON, with the field names of the messages.
[[nodiscard]] std::string statusAsJson(const std::vector<ControllerStatus> &fleet);

} // namespace balsamport

#endif
