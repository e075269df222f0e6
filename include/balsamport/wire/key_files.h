#ifndef BALSAMPORT_WIRE_KEY_FILES_H
#define BALSAMPORT_WIRE_KEY_FILES_H

#include <balsamport/core/error.h>
#include <balsamport/wire/curve_keys.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief Files with the CURVE keys of the fleet. Each contains one key of 40 characters (Z85).
struct KeyFileSettings
{
    std::string publicFile; ///< If this and `secretFile` are empty, messages are not encrypted.
    std::string secretFile;
    std::vector<std::string> acceptedFiles; ///< Further accepted public keys during a key rotation.

    bool operator==(const KeyFileSettings &) const = default;
};

/// @brief Reads and validates the key files.
/// @return SettingMissing if only one of the two files is specified; SettingFileUnreadable;
/// KeyFilePermissions if others than the owner have access to the secret key; KeyFileInvalid if a
/// key is malformed, or the public key does not belong to the secret key
[[nodiscard]] Result<CurveKeys> readCurveKeys(const KeyFileSettings &settings);

/// @brief Checks that only the owner of a secret file has access to it.
/// @return SettingFileUnreadable or KeyFilePermissions
[[nodiscard]] Result<void> checkSecretFile(const std::string &file);

} // namespace balsamport

#endif
