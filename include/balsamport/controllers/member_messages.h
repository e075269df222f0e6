#ifndef BALSAMPORT_CONTROLLERS_MEMBER_MESSAGES_H
#define BALSAMPORT_CONTROLLERS_MEMBER_MESSAGES_H

#include <balsamport/policy/members.h>
#include <balsamport/policy/platform_list.h>

#include <balsamport.pb.h>

namespace balsamport {

/// @name Conversions between messages and the types of the membership
/// @{
[[nodiscard]] wire::MemberNews toWire(const Member &member);
[[nodiscard]] wire::ListedVmEntry toWire(const ListedVm &listed);
[[nodiscard]] wire::OwnerEntry toWire(const Owner &owner);
[[nodiscard]] Member fromWire(const wire::MemberNews &message);
[[nodiscard]] ListedVm fromWire(const wire::ListedVmEntry &entry);
[[nodiscard]] Owner fromWire(const wire::OwnerEntry &entry);
/// @}

} // namespace balsamport

#endif
