#include <balsamport/config/files.h>

#include <balsamport/core/hash.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace balsamport {

std::uint64_t digestOf(std::vector<SourceFile> files)
{
    std::sort(files.begin(), files.end());
    std::uint64_t digest = 0;
    for (const SourceFile &file : files) {
        digest = mixHash(digest, hash64(file.name));
        digest = mixHash(digest, hash64(file.content));
    }
    return digest;
}

Result<std::vector<SourceFile>> readConfigFolder(const std::string &folder)
{
    std::vector<SourceFile> files;
    std::error_code failure;
    for (const auto &entry : std::filesystem::directory_iterator(folder, failure)) {
        if (entry.path().extension() != ".ini") {
            continue;
        }
        std::ifstream stream(entry.path(), std::ios::binary);
        if (!stream) {
            return Error{ErrorCode::SettingFileUnreadable, "the file cannot be read",
                         SourceLocation{entry.path().string(), 0, ""}};
        }
        std::ostringstream content;
        content << stream.rdbuf();
        files.push_back(SourceFile{entry.path().filename().string(), content.str()});
    }
    if (failure) {
        return Error{ErrorCode::SettingFileUnreadable, failure.message(),
                     SourceLocation{folder, 0, ""}};
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace balsamport
