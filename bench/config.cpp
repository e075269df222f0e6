/// @file
/// Measures the cost of the configuration at the target size, with a section for each adapter and
/// with ranges.

#include <balsamport/config/validate.h>
#include <balsamport/core/clock.h>

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

using namespace balsamport;

namespace {

constexpr int pageKilobytes = 4;
constexpr std::size_t lookups = 1'000'000;

const std::string sites = "[data-centre dc1]\nregion = east\nhas-weight-store = true\n\n"
                          "[backend-server e1]\nkind = engine\naddress = 10.0.0.1:80\n"
                          "data-centre = dc1\nbase = citrus-8b\n";

/// Generates files below the platform's limit of one megabyte, with a section for each adapter.
std::vector<SourceFile> foldersOfSections(std::size_t adapters)
{
    constexpr std::size_t adaptersInFile = 8'000;
    std::vector<SourceFile> files{{"10-sites.ini", sites}};
    for (std::size_t number = 1; number <= adapters; ++number) {
        if ((number - 1) % adaptersInFile == 0) {
            files.push_back({"20-adapters-" + std::to_string(files.size()) + ".ini", ""});
        }
        files.back().content += "[adapter member-" + std::to_string(number)
                + "]\nbase = citrus-8b\nversions = 1,2\nbytes = 52428800\n\n";
    }
    return files;
}

/// Generates a configuration with the same adapters as one declared range.
std::vector<SourceFile> folderOfRange(std::size_t adapters)
{
    return {{"10-sites.ini", sites},
            {"20-adapters.ini",
             "[adapter-range member-]\nfirst = 1\nlast = " + std::to_string(adapters)
                     + "\nbase = citrus-8b\nversions = 1,2\nbytes = 52428800\n"}};
}

std::int64_t residentKilobytes()
{
    std::ifstream statm("/proc/self/statm");
    std::int64_t pages = 0;
    statm >> pages >> pages;
    return pages * pageKilobytes;
}

void report(const std::string &name, double value, const std::string &unit)
{
    std::cout << "capacity: name=" << name << " value=" << value << " unit=" << unit << "\n";
}

std::size_t bytesOf(const std::vector<SourceFile> &files)
{
    std::size_t bytes = 0;
    for (const SourceFile &file : files) {
        bytes += file.content.size();
    }
    return bytes;
}

/// Measures lookups spread over all adapters; returns nanoseconds for each, or -1 where an adapter
/// was not found.
double lookupNanoseconds(const Snapshot &snapshot, std::size_t adapters)
{
    std::vector<AdapterId> ids;
    ids.reserve(adapters);
    for (std::size_t number = 1; number <= adapters; ++number) {
        ids.emplace_back("member-" + std::to_string(number));
    }
    std::size_t found = 0;
    const Millis start = monotonicNow();
    for (std::size_t i = 0; i < lookups; ++i) {
        found += snapshot.findAdapter(ids[i * 7919 % adapters]).has_value() ? 1 : 0;
    }
    const Millis spent = monotonicNow() - start;
    constexpr double nanosPerMilli = 1e6;
    return found == lookups ? static_cast<double>(spent.count()) * nanosPerMilli / lookups : -1;
}

bool measure(const std::string &kind, const std::vector<SourceFile> &files, std::size_t adapters)
{
    const std::int64_t before = residentKilobytes();
    const Millis start = monotonicNow();
    const RevisionValidation result = validateRevision(ConfigRevision(1), files);
    const Millis spent = monotonicNow() - start;
    if (!result.isAccepted()) {
        std::cerr << describe(result.errors.front()) << "\n";
        return false;
    }
    const std::string name = "config_" + kind + "_" + std::to_string(adapters);
    report(name + "_file_bytes", static_cast<double>(bytesOf(files)), "bytes");
    report(name + "_accept", static_cast<double>(spent.count()), "ms");
    report(name + "_memory", static_cast<double>(residentKilobytes() - before), "kilobytes");
    report(name + "_lookup", lookupNanoseconds(*result.snapshot, adapters), "ns");
    return true;
}

} // namespace

int main()
{
    bool good = true;
    for (const std::size_t adapters : {std::size_t{8'000}, std::size_t{32'000}}) {
        good = measure("range", folderOfRange(adapters), adapters) && good;
        good = measure("sections", foldersOfSections(adapters), adapters) && good;
    }
    return good ? 0 : 1;
}
