#include <balsamport/controllers/member_messages.h>

#include <balsamport/wire/convert.h>

namespace balsamport {

namespace {

wire::MemberNews::State toWire(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return wire::MemberNews::ALIVE;
    case MemberState::Suspect:
        return wire::MemberNews::SUSPECT;
    case MemberState::Dead:
        return wire::MemberNews::DEAD;
    case MemberState::Draining:
        return wire::MemberNews::LEAVING;
    }
    return wire::MemberNews::UNSPECIFIED;
}

MemberState fromWire(wire::MemberNews::State state)
{
    switch (state) {
    case wire::MemberNews::SUSPECT:
        return MemberState::Suspect;
    case wire::MemberNews::DEAD:
        return MemberState::Dead;
    case wire::MemberNews::LEAVING:
        return MemberState::Draining;
    default:
        return MemberState::Alive;
    }
}

} // namespace

wire::MemberNews toWire(const Member &member)
{
    wire::MemberNews message;
    *message.mutable_instance() = toWire(member.instance);
    message.set_state(toWire(member.state));
    message.set_data_centre(member.dataCentre.str());
    message.set_controller_endpoint(member.controllerEndpoint);
    message.set_gateway_address(member.gatewayAddress);
    message.set_refutation(member.refutation);
    return message;
}

wire::ListedVmEntry toWire(const ListedVm &listed)
{
    wire::ListedVmEntry entry;
    entry.set_vm(listed.vm.str());
    entry.set_data_centre(listed.dataCentre.str());
    entry.set_controller_endpoint(listed.controllerEndpoint);
    entry.set_gateway_address(listed.gatewayAddress);
    entry.set_leaving(listed.draining);
    return entry;
}

wire::OwnerEntry toWire(const Owner &owner)
{
    wire::OwnerEntry entry;
    entry.set_backend_server(owner.backendServer.str());
    entry.set_vm(owner.vm.str());
    entry.set_controller_endpoint(owner.controllerEndpoint);
    return entry;
}

Member fromWire(const wire::MemberNews &message)
{
    Member member;
    member.instance = fromWire(message.instance());
    member.state = fromWire(message.state());
    member.dataCentre = DataCentreId(message.data_centre());
    member.controllerEndpoint = message.controller_endpoint();
    member.gatewayAddress = message.gateway_address();
    member.refutation = message.refutation();
    return member;
}

ListedVm fromWire(const wire::ListedVmEntry &entry)
{
    return ListedVm{VmId(entry.vm()), DataCentreId(entry.data_centre()),
                    entry.controller_endpoint(), entry.gateway_address(), entry.leaving()};
}

Owner fromWire(const wire::OwnerEntry &entry)
{
    return Owner{BackendServerId(entry.backend_server()), VmId(entry.vm()),
                 entry.controller_endpoint()};
}

} // namespace balsamport
