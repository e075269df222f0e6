#ifndef BALSAMPORT_CONFIG_FILES_H
#define BALSAMPORT_CONFIG_FILES_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A file of the operators' configuration folder. The platform stores each file as a value.
struct SourceFile
{
    std::string name;
    std::string content;

    auto operator<=>(const SourceFile &) const = default;
    bool operator==(const SourceFile &) const = default;
};

/// Size limit of a value in the platform's store, in bytes.
constexpr std::size_t maxFileBytes = 1'048'576;

/// @brief Hashes the names and contents of files.
/// @return a digest that does not depend on the order of the files
/// @complexity linear in the contents
[[nodiscard]] std::uint64_t digestOf(std::vector<SourceFile> files);

/// @brief Reads the files of a folder whose names end in `.ini`, sorted by name.
/// @return SettingFileUnreadable if the folder or a file cannot be read
[[nodiscard]] Result<std::vector<SourceFile>> readConfigFolder(const std::string &folder);

} // namespace balsamport

#endif
