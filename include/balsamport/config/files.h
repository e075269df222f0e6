#ifndef BALSAMPORT_CONFIG_FILES_H
#define BALSAMPORT_CONFIG_FILES_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <string>
#include <vector>

namespace balsamport {

/// @brief One file of the operators' folder: a value of the platform.
struct SourceFile
{
    std::string name;
    std::string content;

    auto operator<=>(const SourceFile &) const = default;
    bool operator==(const SourceFile &) const = default;
};

/// Largest value that the platform holds, in bytes.
constexpr std::size_t maxFileBytes = 1'048'576;

/// @brief Hashes names and contents of all files.
/// @return the same number whatever the order of the files
/// @complexity linear in the contents
[[nodiscard]] std::uint64_t digestOf(std::vector<SourceFile> files);

/// @brief Reads all files of a folder whose names end in `.ini`, ordered by name.
/// @return SettingFileUnreadable where the folder or a file cannot be read
[[nodiscard]] Result<std::vector<SourceFile>> readConfigFolder(const std::string &folder);

} // namespace balsamport

#endif
