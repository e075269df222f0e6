#include <balsamport/core/memory_use.h>

#include <malloc.h>
#include <unistd.h>

#include <cstdio>

namespace balsamport {

namespace {

std::uint64_t residentBytes() noexcept
{
    // Format: total pages, resident pages. Source: proc(5).
    std::FILE *const file = std::fopen("/proc/self/statm", "re");
    if (file == nullptr) {
        return 0;
    }
    unsigned long total = 0;
    unsigned long resident = 0;
    const int fields = std::fscanf(file, "%lu %lu", &total, &resident);
    std::fclose(file);
    return fields == 2 ? std::uint64_t{resident} * static_cast<std::uint64_t>(getpagesize()) : 0;
}

} // namespace

MemoryUse memoryUse() noexcept
{
    const struct mallinfo2 heap = mallinfo2();
    return MemoryUse{residentBytes(), heap.uordblks + heap.hblkhd, heap.fordblks};
}

} // namespace balsamport
