// Measures the bytes of the messages between gateway and owner for one model request.

#include <balsamport/wire/convert.h>

#include <iostream>
#include <string>

using namespace balsamport;

namespace {

constexpr std::size_t frameBytes = 2; ///< Header of a short ZeroMQ message.

wire::Envelope envelope()
{
    wire::Envelope message;
    message.set_correlation(1'000'000);
    message.mutable_sender()->set_vm("vm-0123");
    message.mutable_sender()->set_incarnation(1'839'461'534'247'782);
    return message;
}

wire::Envelope grantRequest()
{
    wire::Envelope message = envelope();
    wire::GrantRequest &request = *message.mutable_grant_request();
    request.set_request_id("req-6bcc32af5466603b39e3330bbdc9933b");
    request.set_backend_server("engine-0123");
    *request.mutable_adapter() = toWire(
            AdapterRef{BaseModelId("citrus-8b"), AdapterId("member-31999"), AdapterVersion(3)});
    request.set_caller_class("drivers");
    request.set_deadline_ms(60'000);
    request.set_prompt_bytes(2'000);
    request.set_max_tokens(333);
    request.set_fingerprint(0x9E37'79B9'7F4A'7C15U);
    request.set_repeatable(true);
    return message;
}

wire::Envelope grantReply()
{
    wire::Envelope message = envelope();
    wire::GrantReply &reply = *message.mutable_grant_reply();
    reply.set_decision(wire::GrantReply::GRANTED);
    reply.set_grant(29'608'681'673'485'970);
    reply.set_fencing(1'796'349'168'199);
    return message;
}

wire::Envelope grantRelease()
{
    wire::Envelope message = envelope();
    wire::GrantRelease &release = *message.mutable_grant_release();
    release.set_grant(29'608'681'673'485'970);
    release.set_backend_server("engine-0123");
    release.set_how(wire::GrantRelease::FINISHED);
    release.set_request_id("req-6bcc32af5466603b39e3330bbdc9933b");
    return message;
}

} // namespace

int main()
{
    std::size_t bytes = 0;
    for (const wire::Envelope &message : {grantRequest(), grantReply(), grantRelease()}) {
        bytes += message.ByteSizeLong() + frameBytes;
    }
    std::cout << "capacity: name=grant_bytes_per_request value=" << bytes << " unit=bytes\n";
    return 0;
}
