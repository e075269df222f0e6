#ifndef BALSAMPORT_CTL_CONTROLLERS_H
#define BALSAMPORT_CTL_CONTROLLERS_H

#include "commands.h"

#include <balsamport/config/files.h>
#include <balsamport/wire/message_client.h>

#include <functional>

namespace balsamport::ctl {

/// @brief Sends a request to all controllers of the command line in parallel.
/// @return one result for each endpoint, in the same order; or the error of a key file
[[nodiscard]] Result<std::vector<Result<wire::Envelope>>>
queryControllers(const CommandLine &line, const wire::Envelope &message);

/// @brief Reads the configuration of the first controller of the command line that responds.
/// @return the files, or the error of the last controller
[[nodiscard]] Result<std::vector<SourceFile>> pullConfig(const CommandLine &line);

} // namespace balsamport::ctl

#endif
