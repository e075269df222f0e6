#ifndef BALSAMPORT_CTL_CONTROLLERS_H
#define BALSAMPORT_CTL_CONTROLLERS_H

#include "commands.h"

#include <balsamport/config/files.h>
#include <balsamport/wire/message_client.h>

#include <functional>

namespace balsamport::ctl {

/// @brief Asks all controllers of the command line at once.
/// @return one result for each endpoint, in the same order; or the fault of a key file
[[nodiscard]] Result<std::vector<Result<wire::Envelope>>>
queryControllers(const CommandLine &line, const wire::Envelope &message);

/// @brief Reads the configuration that a running controller holds: the first one that answers.
[[nodiscard]] Result<std::vector<SourceFile>> pullConfig(const CommandLine &line);

} // namespace balsamport::ctl

#endif
