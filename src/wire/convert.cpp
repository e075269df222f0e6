#include <balsamport/wire/convert.h>

namespace balsamport {

wire::AdapterRef toWire(const AdapterRef &ref)
{
    wire::AdapterRef message;
    message.set_base(ref.base.str());
    message.set_adapter(ref.adapter.str());
    message.set_version(ref.version.number());
    return message;
}

wire::VmInstance toWire(const VmInstance &instance)
{
    wire::VmInstance message;
    message.set_vm(instance.vm.str());
    message.set_incarnation(instance.incarnation.number());
    return message;
}

wire::WireError toWire(const Error &error)
{
    wire::WireError message;
    message.set_code(errorNumber(error.code));
    message.set_detail(error.detail);
    return message;
}

AdapterRef fromWire(const wire::AdapterRef &ref)
{
    return AdapterRef{BaseModelId(ref.base()), AdapterId(ref.adapter()),
                      AdapterVersion(ref.version())};
}

VmInstance fromWire(const wire::VmInstance &instance)
{
    return VmInstance{VmId(instance.vm()), Incarnation(instance.incarnation())};
}

Error fromWire(const wire::WireError &error)
{
    return Error{errorCodeFromNumber(error.code()), error.detail()};
}

ErrorCode errorCodeFromNumber(std::uint32_t number) noexcept
{
    const auto code = static_cast<ErrorCode>(number);
    if (errorName(code) == "internal") {
        return ErrorCode::Internal;
    }
    return code;
}

} // namespace balsamport
