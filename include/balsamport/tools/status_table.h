#ifndef BALSAMPORT_TOOLS_STATUS_TABLE_H
#define BALSAMPORT_TOOLS_STATUS_TABLE_H

#include <balsamport/core/error.h>

#include <balsamport.pb.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief What one controller answered.
struct ControllerStatus
{
    std::string endpoint;
    Result<wire::StatusReply> reply;
};

/// @brief Writes what an operator must look at: controllers that do not answer, that have no
/// confirmed view, that refused a revision, or whose revisions or digests differ; backend servers
/// that no controller or more than one may order.
/// @return one sentence each; empty where all is well
[[nodiscard]] std::vector<std::string> statusWarnings(const std::vector<ControllerStatus> &fleet);

/// @brief Writes a table of VMs, a table of backend servers and the warnings.
[[nodiscard]] std::string statusAsTable(const std::vector<ControllerStatus> &fleet);

/// @brief Writes all replies as JSON, with the names of the messages' fields.
[[nodiscard]] std::string statusAsJson(const std::vector<ControllerStatus> &fleet);

} // namespace balsamport

#endif
