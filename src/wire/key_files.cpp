#include <balsamport/wire/key_files.h>

#include <zmq.h>

#include <array>
#include <filesystem>
#include <fstream>

namespace balsamport {

namespace {

constexpr std::size_t z85KeyCharacters = 40;
constexpr std::size_t curveKeyBytes = 32;

Result<std::string> readKey(const std::string &file)
{
    std::ifstream stream(file);
    std::string key;
    if (!stream) {
        return Error{ErrorCode::SettingFileUnreadable, "the key file cannot be read",
                     SourceLocation{file, 0, ""}};
    }
    stream >> key;
    std::array<std::uint8_t, curveKeyBytes> bytes{};
    if (key.size() != z85KeyCharacters || zmq_z85_decode(bytes.data(), key.c_str()) == nullptr) {
        return Error{ErrorCode::KeyFileInvalid, "expected a key of 40 characters (Z85)",
                     SourceLocation{file, 1, ""}};
    }
    return key;
}

bool isKeyPair(const CurveKeys &keys)
{
    std::array<char, z85KeyCharacters + 1> derived{};
    return zmq_curve_public(derived.data(), keys.secretKey.c_str()) == 0
            && keys.publicKey == derived.data();
}

} // namespace

Result<void> checkSecretFile(const std::string &file)
{
    namespace fs = std::filesystem;
    std::error_code failure;
    const fs::perms perms = fs::status(file, failure).permissions();
    if (failure || perms == fs::perms::unknown) {
        return Error{ErrorCode::SettingFileUnreadable, "the key file cannot be read",
                     SourceLocation{file, 0, ""}};
    }
    if ((perms & (fs::perms::group_all | fs::perms::others_all)) != fs::perms::none) {
        return Error{ErrorCode::KeyFilePermissions,
                     "others than the owner have access to the file; expected mode 0600 or 0400",
                     SourceLocation{file, 0, ""}};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<CurveKeys> readCurveKeys(const KeyFileSettings &settings)
{
    CurveKeys keys;
    if (settings.publicFile.empty() && settings.secretFile.empty()) {
        return keys;
    }
    if (settings.publicFile.empty() || settings.secretFile.empty()) {
        return Error{ErrorCode::SettingMissing,
                     "keys.public and keys.secret must be given together",
                     SourceLocation{"", 0, "keys.public"}};
    }
    const Result<void> secret = checkSecretFile(settings.secretFile);
    if (secret.has_error()) {
        return secret.error();
    }
    const Result<std::string> publicKey = readKey(settings.publicFile);
    if (publicKey.has_error()) {
        return publicKey.error();
    }
    const Result<std::string> secretKey = readKey(settings.secretFile);
    if (secretKey.has_error()) {
        return secretKey.error();
    }
    keys.publicKey = publicKey.value();
    keys.secretKey = secretKey.value();
    if (!isKeyPair(keys)) {
        return Error{ErrorCode::KeyFileInvalid, "the public key does not belong to the secret key",
                     SourceLocation{settings.publicFile, 1, ""}};
    }
    for (const std::string &file : settings.acceptedFiles) {
        const Result<std::string> accepted = readKey(file);
        if (accepted.has_error()) {
            return accepted.error();
        }
        keys.acceptedPublicKeys.push_back(accepted.value());
    }
    return keys;
}

} // namespace balsamport
