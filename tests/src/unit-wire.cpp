// Guards against replies that reach the wrong request or are lost, against requests that never end
// when a peer is unreachable, and against peers without the fleet's key.

#include <balsamport/wire/convert.h>
#include <balsamport/wire/message_client.h>
#include <balsamport/wire/message_server.h>

#include <catch2/catch.hpp>

#include <zmq.h>

#include <array>
#include <atomic>
#include <future>

using namespace balsamport;

namespace {

constexpr Millis replyTimeout{5000};
constexpr Millis shortTimeout{300};

CurveKeys newKeys()
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return CurveKeys{publicKey.data(), secretKey.data(), {}};
}

/// Acknowledges a probe, queues and then grants a grant request, and refuses other messages.
void handleMessage(const wire::Envelope &message, const ReplySender &reply)
{
    if (message.has_probe()) {
        wire::Envelope ack;
        ack.mutable_probe_ack()->set_config_revision(message.probe().config_revision() + 1);
        reply(ack);
    } else if (message.has_grant_request()) {
        wire::Envelope queued;
        queued.mutable_grant_reply()->set_decision(wire::GrantReply::QUEUED);
        reply(queued);
        wire::Envelope granted;
        granted.mutable_grant_reply()->set_decision(wire::GrantReply::GRANTED);
        reply(granted);
    } else {
        wire::Envelope refusal;
        *refusal.mutable_error() = toWire(Error{ErrorCode::NotOwner, "not the owner"});
        reply(refusal);
    }
}

wire::Envelope probe(std::uint64_t revision)
{
    wire::Envelope message;
    message.mutable_probe()->set_config_revision(revision);
    return message;
}

} // namespace

TEST_CASE("messages between daemons")
{
    const std::string endpoint = "tcp://127.0.0.1:18471";
    auto server = MessageServer::start(endpoint, {"vm1", 7}, {}, handleMessage);
    REQUIRE(server.has_value());
    MessageClient client({"vm2", 9}, {});

    SECTION("a request receives its reply with the name of the sender")
    {
        const auto reply = client.call(endpoint, probe(41), replyTimeout);
        REQUIRE(reply.has_value());
        REQUIRE(reply.value().probe_ack().config_revision() == 42);
        REQUIRE(reply.value().sender().vm() == "vm1");
        REQUIRE(client.bytesSent() > 0);
        REQUIRE(server.value()->bytesReceived() > 0);
    }

    SECTION("a queued grant receives two replies")
    {
        wire::Envelope message;
        message.mutable_grant_request()->set_request_id("r1");
        std::atomic<int> replies{0};
        std::promise<void> done;
        client.request(endpoint, message, replyTimeout, [&](const Result<wire::Envelope> &reply) {
            ++replies;
            const bool queued = reply.value().grant_reply().decision() == wire::GrantReply::QUEUED;
            if (!queued) {
                done.set_value();
            }
            return queued;
        });
        REQUIRE(done.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
        REQUIRE(replies == 2);
    }

    SECTION("an error of the peer arrives with its type")
    {
        wire::Envelope message;
        message.mutable_status_request();
        const auto reply = client.call(endpoint, message, replyTimeout);
        REQUIRE(reply.has_error());
        REQUIRE(reply.error().code == ErrorCode::NotOwner);
    }

    SECTION("a request to an unreachable peer times out")
    {
        const auto reply = client.call("tcp://127.0.0.1:18479", probe(1), shortTimeout);
        REQUIRE(reply.has_error());
        REQUIRE(reply.error().code == ErrorCode::Timeout);
    }

    SECTION("an endpoint in use yields ListenFailed")
    {
        const auto second = MessageServer::start(endpoint, {"vm3", 1}, {}, handleMessage);
        REQUIRE(second.has_error());
        REQUIRE(second.error().code == ErrorCode::ListenFailed);
    }
}

TEST_CASE("messages encrypted with CURVE keys")
{
    const std::string endpoint = "tcp://127.0.0.1:18472";
    const CurveKeys keys = newKeys();
    auto server = MessageServer::start(endpoint, {"vm1", 7}, keys, handleMessage);
    REQUIRE(server.has_value());

    SECTION("a peer with the fleet's key receives a reply")
    {
        MessageClient client({"vm2", 9}, keys);
        REQUIRE(client.call(endpoint, probe(1), replyTimeout).has_value());
    }

    SECTION("a peer without a key receives nothing")
    {
        MessageClient client({"vm2", 9}, {});
        REQUIRE(client.call(endpoint, probe(1), shortTimeout).has_error());
    }

    SECTION("a peer with another key pair receives nothing")
    {
        const CurveKeys other = newKeys();
        MessageClient client({"vm2", 9}, CurveKeys{other.publicKey, other.secretKey, {}});
        REQUIRE(client.call(endpoint, probe(1), shortTimeout).has_error());
    }
}
