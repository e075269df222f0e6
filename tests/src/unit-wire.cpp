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

void answerProbe(const wire::Envelope &message, const ReplySender &reply)
{
    if (message.has_probe()) {
        wire::Envelope answer;
        answer.mutable_probe_ack()->set_config_revision(message.probe().config_revision() + 1);
        reply(answer);
    } else if (message.has_grant_request()) {
        wire::Envelope queued;
        queued.mutable_grant_reply()->set_decision(wire::GrantReply::QUEUED);
        reply(queued);
        wire::Envelope granted;
        granted.mutable_grant_reply()->set_decision(wire::GrantReply::GRANTED);
        reply(granted);
    } else {
        wire::Envelope failure;
        *failure.mutable_error() = toWire(Error{ErrorCode::NotOwner, "not the owner"});
        reply(failure);
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
    auto server = MessageServer::start(endpoint, {"vm1", 7}, {}, answerProbe);
    REQUIRE(server.has_value());
    MessageClient client({"vm2", 9}, {});

    SECTION("a request gets its reply, with the sender's name")
    {
        const auto reply = client.call(endpoint, probe(41), replyTimeout);
        REQUIRE(reply.has_value());
        REQUIRE(reply.value().probe_ack().config_revision() == 42);
        REQUIRE(reply.value().sender().vm() == "vm1");
        REQUIRE(client.bytesSent() > 0);
        REQUIRE(server.value()->bytesReceived() > 0);
    }

    SECTION("a queued grant gets two replies")
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

    SECTION("a failure of the peer arrives with its type")
    {
        wire::Envelope message;
        message.mutable_status_request();
        const auto reply = client.call(endpoint, message, replyTimeout);
        REQUIRE(reply.has_error());
        REQUIRE(reply.error().code == ErrorCode::NotOwner);
    }

    SECTION("a peer that is down costs a timeout")
    {
        const auto reply = client.call("tcp://127.0.0.1:18479", probe(1), shortTimeout);
        REQUIRE(reply.has_error());
        REQUIRE(reply.error().code == ErrorCode::Timeout);
    }

    SECTION("an endpoint in use is a typed failure")
    {
        const auto second = MessageServer::start(endpoint, {"vm3", 1}, {}, answerProbe);
        REQUIRE(second.has_error());
        REQUIRE(second.error().code == ErrorCode::ListenFailed);
    }
}

TEST_CASE("messages under CURVE keys")
{
    const std::string endpoint = "tcp://127.0.0.1:18472";
    const CurveKeys keys = newKeys();
    auto server = MessageServer::start(endpoint, {"vm1", 7}, keys, answerProbe);
    REQUIRE(server.has_value());

    SECTION("a peer with the fleet's key is answered")
    {
        MessageClient client({"vm2", 9}, keys);
        REQUIRE(client.call(endpoint, probe(1), replyTimeout).has_value());
    }

    SECTION("a peer without a key gets nothing")
    {
        MessageClient client({"vm2", 9}, {});
        REQUIRE(client.call(endpoint, probe(1), shortTimeout).has_error());
    }

    SECTION("a peer with another key gets nothing, even if it knows the server's public key")
    {
        const CurveKeys other = newKeys();
        MessageClient client({"vm2", 9}, CurveKeys{other.publicKey, other.secretKey, {}});
        REQUIRE(client.call(endpoint, probe(1), shortTimeout).has_error());
    }
}
