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
constexpr Millis silentTime{400};

CurveKeys newKeys()
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return CurveKeys{publicKey.data(), secretKey.data(), {}};
}

void answer(const wire::Envelope & /*message*/, const ReplySender &reply)
{
    wire::Envelope ack;
    ack.mutable_ack();
    reply(std::move(ack));
}

wire::Envelope question()
{
    wire::Envelope message;
    message.mutable_status_request();
    return message;
}

/// A folder for key files, removed with its contents.
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

/// Sends a raw frame with a key pair of its own and the server's public key.
/// @return true where any answer came
bool rawClientIsAnswered(const std::string &endpoint, const std::string &serverKey,
                         const CurveKeys *own)
{
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::rcvtimeo, static_cast<int>(silentTime.count()));
    if (own != nullptr) {
        socket.set(zmq::sockopt::curve_serverkey, serverKey);
        socket.set(zmq::sockopt::curve_publickey, own->publicKey);
        socket.set(zmq::sockopt::curve_secretkey, own->secretKey);
    }
    socket.connect(endpoint);
    wire::Envelope message = question();
    message.set_correlation(1);
    socket.send(zmq::buffer(message.SerializeAsString()), zmq::send_flags::none);
    zmq::message_t reply;
    return socket.recv(reply).has_value();
}

} // namespace

TEST_CASE("key files are checked at start")
{
    const KeyFolder folder;
    const CurveKeys keys = newKeys();
    const std::string publicFile = folder.write("public", keys.publicKey, ownerOnly);
    const std::string secretFile = folder.write("secret", keys.secretKey, ownerOnly);

    SECTION("a pair is read")
    {
        const auto read = readCurveKeys({publicFile, secretFile, {publicFile}});
        REQUIRE(read.has_value());
        REQUIRE(read.value().secretKey == keys.secretKey);
        REQUIRE(read.value().acceptedPublicKeys.size() == 1);
    }
    SECTION("no files mean plain text; one file alone is a fault")
    {
        REQUIRE_FALSE(readCurveKeys({}).value().isEnabled());
        REQUIRE(readCurveKeys({publicFile, "", {}}).error().code == ErrorCode::SettingMissing);
    }
    SECTION("a secret that others may read is refused")
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
    SECTION("text that is no key, and a file that is not there, are refused")
    {
        const std::string text = folder.write("text", "not a key", ownerOnly);
        REQUIRE(readCurveKeys({text, secretFile, {}}).error().code == ErrorCode::KeyFileInvalid);
        REQUIRE(readCurveKeys({publicFile, secretFile, {"/nowhere"}}).error().code
                == ErrorCode::SettingFileUnreadable);
    }
}

TEST_CASE("a process without the fleet's key gets nothing")
{
    const std::string endpoint = "tcp://127.0.0.1:24471";
    const CurveKeys keys = newKeys();
    const auto server = MessageServer::start(endpoint, {"vm1", 1}, keys, answer);
    REQUIRE(server.has_value());
    REQUIRE(rawClientIsAnswered(endpoint, keys.publicKey, &keys));

    SECTION("not with the server's public key and a pair of its own")
    {
        const CurveKeys own = newKeys();
        REQUIRE_FALSE(rawClientIsAnswered(endpoint, keys.publicKey, &own));
    }
    SECTION("and not in plain text")
    {
        REQUIRE_FALSE(rawClientIsAnswered(endpoint, keys.publicKey, nullptr));
    }
}

TEST_CASE("keys are rotated without a cut")
{
    CurveKeys oldKeys = newKeys();
    CurveKeys newerKeys = newKeys();
    const std::string oldEndpoint = "tcp://127.0.0.1:24472";
    const std::string newEndpoint = "tcp://127.0.0.1:24473";

    SECTION("processes with either key talk to each other while both are accepted")
    {
        oldKeys.acceptedPublicKeys = {newerKeys.publicKey};
        newerKeys.acceptedPublicKeys = {oldKeys.publicKey};
        const auto oldServer = MessageServer::start(oldEndpoint, {"vm1", 1}, oldKeys, answer);
        const auto newServer = MessageServer::start(newEndpoint, {"vm2", 1}, newerKeys, answer);
        REQUIRE(oldServer.has_value());
        REQUIRE(newServer.has_value());
        for (const CurveKeys &keys : {oldKeys, newerKeys}) {
            MessageClient client({"vm3", 1}, keys);
            for (int i = 0; i < 20; ++i) {
                REQUIRE(client.call(oldEndpoint, question(), replyTimeout).has_value());
                REQUIRE(client.call(newEndpoint, question(), replyTimeout).has_value());
            }
        }
    }

    SECTION("once the old key is no longer accepted, it opens nothing")
    {
        const auto newServer = MessageServer::start(newEndpoint, {"vm2", 1}, newerKeys, answer);
        REQUIRE(newServer.has_value());
        oldKeys.acceptedPublicKeys = {newerKeys.publicKey};
        MessageClient client({"vm3", 1}, oldKeys);
        REQUIRE(client.call(newEndpoint, question(), silentTime).has_error());
    }
}
