#ifndef BALSAMPORT_WIRE_CONVERT_H
#define BALSAMPORT_WIRE_CONVERT_H

#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>

#include <balsamport.pb.h>

namespace balsamport {

/// @name Conversion between protobuf messages and core types
/// @{
[[nodiscard]] wire::AdapterRef toWire(const AdapterRef &ref);
[[nodiscard]] wire::VmInstance toWire(const VmInstance &instance);
[[nodiscard]] wire::WireError toWire(const Error &error);
[[nodiscard]] AdapterRef fromWire(const wire::AdapterRef &ref);
[[nodiscard]] VmInstance fromWire(const wire::VmInstance &instance);
[[nodiscard]] Error fromWire(const wire::WireError &error);
/// @}

/// @brief Converts the number of a received error to its type.
/// @return ErrorCode::Internal for a number unknown to this version
[[nodiscard]] ErrorCode errorCodeFromNumber(std::uint32_t number) noexcept;

} // namespace balsamport

#endif
