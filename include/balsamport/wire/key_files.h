#ifndef BALSAMPORT_WIRE_KEY_FILES_H
#define BALSAMPORT_WIRE_KEY_FILES_H

#include <balsamport/core/error.h>
#include <balsamport/wire/curve_keys.h>

#include <string>
#include <vector>

namespace balsamport {

/// @brief Files with the fleet's CURVE keys, one key of 40 characters (Z85) in each.
struct KeyFileSettings
{
    std::string publicFile; ///< Empty together with `secretFile`: plain text.
    std::string secretFile;
    std::vector<std::string> acceptedFiles; ///< Further public keys, while keys are rotated.

    bool operator==(const KeyFileSettings &) const = default;
};

/// @brief Reads and checks the key files.
/// @return SettingMissing where only one of the two files is named; SettingFileUnreadable;
/// KeyFilePermissions where others than the owner may read the secret key; KeyFileInvalid where a
/// key is not one, or the public key does not belong to the secret one
[[nodiscard]] Result<CurveKeys> readCurveKeys(const KeyFileSettings &settings);

/// @brief Refuses a secret file that others than its owner may read or write.
/// @return SettingFileUnreadable or KeyFilePermissions
[[nodiscard]] Result<void> checkSecretFile(const std::string &file);

} // namespace balsamport

#endif
