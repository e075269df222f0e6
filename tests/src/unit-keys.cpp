// Guards against processes without the fleet's key that receive replies, against secret keys that
// others can read, and against lost messages during a key rotation.

#include <balsamport/wire/key_files.h>
#include <balsamport/wire/message_client.h>
#include <balsamport/wire/message_server.h>

#include <catch2/catch.hpp>
#include <zmq.hpp>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace balsamport;
namespace fs = std::filesystem;

namespace {

constexpr Millis replyTimeout{5'000};
constexpr Millis maxReplyWait{400};

CurveKeys newKeys()
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return CurveKeys{publicKey.data(), secretKey.data(), {}};
}

void sendAck(const wire::Envelope & /*message*/, const ReplySender &reply)
{
    wire::Envelope ack;
    ack.mutable_ack();
    reply(std::move(ack));
}

wire::Envelope statusRequest()
{
    wire::Envelope message;
    message.mutable_status_request();
    return message;
}

/// A temporary folder for key files, removed with its contents on destruction.
struct KeyFolder
{
    KeyFolder()
    {
        std::string pattern = (fs::temp_directory_path() / "balsamport-keys-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        this->path = pattern;
    }
    ~KeyFolder() { fs::remove_all(this->path); }
    KeyFolder(const KeyFolder &) = delete;
    KeyFolder &operator=(const KeyFolder &) = delete;

    std::string write(const std::string &name, const std::string &text, fs::perms perms) const
    {
        const fs::path file = this->path / name;
        std::ofstream(file) << text << "\n";
        fs::permissions(file, perms);
        return file.string();
    }

    fs::path path;
};

constexpr fs::perms ownerOnly = fs::perms::owner_read | fs::perms::owner_write;

/// Sends a request from a raw socket, without the client under test.
/// @param own key pair of the socket; nullptr for no encryption
/// @return true if a reply arrived
bool receivesReply(const std::string &endpoint, const std::string &serverKey, const CurveKeys *own)
{
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::rcvtimeo, static_cast<int>(maxReplyWait.count()));
    if (own != nullptr) {
        socket.set(zmq::sockopt::curve_serverkey, serverKey);
        socket.set(zmq::sockopt::curve_publickey, own->publicKey);
        socket.set(zmq::sockopt::curve_secretkey, own->secretKey);
    }
    socket.connect(endpoint);
    wire::Envelope message = statusRequest();
    message.set_correlation(1);
    socket.send(zmq::buffer(message.SerializeAsString()), zmq::send_flags::none);
    zmq::message_t reply;
    return socket.recv(reply).has_value();
}

} // namespace

TEST_CASE("key files are validated")
{
    const KeyFolder folder;
    const CurveKeys keys = newKeys();
    const std::string publicFile = folder.write("public", keys.publicKey, ownerOnly);
    const std::string secretFile = folder.write("secret", keys.secretKey, ownerOnly);

    SECTION("a matching pair and further accepted keys are read")
    {
        const auto read = readCurveKeys({publicFile, secretFile, {publicFile}});
        REQUIRE(read.has_value());
        REQUIRE(read.value().secretKey == keys.secretKey);
        REQUIRE(read.value().acceptedPublicKeys.size() == 1);
    }
    SECTION("no files disable encryption, and a single file is refused")
    {
        REQUIRE_FALSE(readCurveKeys({}).value().isEnabled());
        REQUIRE(readCurveKeys({publicFile, "", {}}).error().code == ErrorCode::SettingMissing);
    }
    SECTION("a secret key file that the group may read is refused")
    {
        fs::permissions(secretFile, ownerOnly | fs::perms::group_read);
        REQUIRE(readCurveKeys({publicFile, secretFile, {}}).error().code
                == ErrorCode::KeyFilePermissions);
    }
    SECTION("a public key of another pair is refused")
    {
        const std::string other = folder.write("other", newKeys().publicKey, ownerOnly);
        REQUIRE(readCurveKeys({other, secretFile, {}}).error().code == ErrorCode::KeyFileInvalid);
    }
    SECTION("malformed keys and missing files are refused")
    {
        const std::string text = folder.write("text", "not a key", ownerOnly);
        REQUIRE(readCurveKeys({text, secretFile, {}}).error().code == ErrorCode::KeyFileInvalid);
        REQUIRE(readCurveKeys({publicFile, secretFile, {"/nowhere"}}).error().code
                == ErrorCode::SettingFileUnreadable);
    }
}

TEST_CASE("a process without the fleet's key receives no reply")
{
    const std::string endpoint = "tcp://127.0.0.1:24471";
    const CurveKeys keys = newKeys();
    const auto server = MessageServer::start(endpoint, {"vm1", 1}, keys, sendAck);
    REQUIRE(server.has_value());
    REQUIRE(receivesReply(endpoint, keys.publicKey, &keys));

    SECTION("with the server's public key and another key pair")
    {
        const CurveKeys own = newKeys();
        REQUIRE_FALSE(receivesReply(endpoint, keys.publicKey, &own));
    }
    SECTION("without encryption")
    {
        REQUIRE_FALSE(receivesReply(endpoint, keys.publicKey, nullptr));
    }
}

TEST_CASE("key rotation without interruption")
{
    CurveKeys oldKeys = newKeys();
    CurveKeys newerKeys = newKeys();
    const std::string oldEndpoint = "tcp://127.0.0.1:24472";
    const std::string newEndpoint = "tcp://127.0.0.1:24473";

    SECTION("processes with either key can communicate while both are accepted")
    {
        oldKeys.acceptedPublicKeys = {newerKeys.publicKey};
        newerKeys.acceptedPublicKeys = {oldKeys.publicKey};
        const auto oldServer = MessageServer::start(oldEndpoint, {"vm1", 1}, oldKeys, sendAck);
        const auto newServer = MessageServer::start(newEndpoint, {"vm2", 1}, newerKeys, sendAck);
        REQUIRE(oldServer.has_value());
        REQUIRE(newServer.has_value());
        for (const CurveKeys &keys : {oldKeys, newerKeys}) {
            MessageClient client({"vm3", 1}, keys);
            for (int i = 0; i < 20; ++i) {
                REQUIRE(client.call(oldEndpoint, statusRequest(), replyTimeout).has_value());
                REQUIRE(client.call(newEndpoint, statusRequest(), replyTimeout).has_value());
            }
        }
    }

    SECTION("a client with the old key receives no reply once it is not accepted")
    {
        const auto newServer = MessageServer::start(newEndpoint, {"vm2", 1}, newerKeys, sendAck);
        REQUIRE(newServer.has_value());
        oldKeys.acceptedPublicKeys = {newerKeys.publicKey};
        MessageClient client({"vm3", 1}, oldKeys);
        REQUIRE(client.call(newEndpoint, statusRequest(), maxReplyWait).has_error());
    }
}
