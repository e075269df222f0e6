#ifndef BALSAMPORT_WIRE_CONVERT_H
#define BALSAMPORT_WIRE_CONVERT_H

#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>

#include <balsamport.pb.h>

namespace balsamport {

/// @name Between messages and the types of the core
/// @{
[[nodiscard]] wire::AdapterRef toWire(const AdapterRef &ref);
[[nodiscard]] wire::VmInstance toWire(const VmInstance &instance);
[[nodiscard]] wire::WireError toWire(const Error &error);
[[nodiscard]] AdapterRef fromWire(const wire::AdapterRef &ref);
[[nodiscard]] VmInstance fromWire(const wire::VmInstance &instance);
[[nodiscard]] Error fromWire(const wire::WireError &error);
/// @}

/// @brief Maps a number from a message to a kind of failure.
/// @return ErrorCode::Internal for a number that this version does not know
[[nodiscard]] ErrorCode errorCodeFromNumber(std::uint32_t number) noexcept;

} // namespace balsamport

#endif
