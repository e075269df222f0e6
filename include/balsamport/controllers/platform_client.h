#ifndef BALSAMPORT_CONTROLLERS_PLATFORM_CLIENT_H
#define BALSAMPORT_CONTROLLERS_PLATFORM_CLIENT_H

#include <balsamport/config/files.h>
#include <balsamport/core/ids.h>
#include <balsamport/http/http_client.h>
#include <balsamport/policy/platform_list.h>

#include <atomic>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A value as the platform lists it.
struct PublishedValue
{
    std::string name;
    std::uint64_t digest = 0; ///< hash64 of the content.

    bool operator==(const PublishedValue &) const = default;
};

/// @brief All values of one revision.
struct PublishedValues
{
    ConfigRevision revision;
    std::vector<PublishedValue> values;

    bool operator==(const PublishedValues &) const = default;
};

/// @name Answers of the platform; BadResponse where they make no sense
/// @{
[[nodiscard]] Result<PublishedValues> parseValues(const std::string &body);
[[nodiscard]] Result<ConfigRevision> parseRevision(const std::string &body);
[[nodiscard]] Result<std::vector<ListedVm>> parseVms(const std::string &body);
/// @}

/// @brief Reads the platform's configuration service. Every call waits for its answer.
///
/// Failures: PlatformUnavailable, RateLimited, BadResponse, ConfigStaleRevision (409: the revision
/// is no longer there). All functions may be called from any thread.
class PlatformClient
{
public:
    /// @param address IP:PORT
    PlatformClient(HttpClient &client, std::string address);

    [[nodiscard]] Result<PublishedValues> values();

    /// @brief Reads one value of one revision; refuses an answer of another revision or content.
    [[nodiscard]] Result<SourceFile> value(const PublishedValue &published,
                                           ConfigRevision revision);

    /// @brief Waits until there is a revision above `after`, or until the timeout.
    [[nodiscard]] Result<ConfigRevision> watch(ConfigRevision after, Millis timeout);

    [[nodiscard]] Result<std::vector<ListedVm>> vms();

    /// @brief Reads all files of one revision, those that changed only.
    /// @param held files that need not be read again where their digest is the same
    /// @return ConfigStaleRevision where a newer revision came in between
    [[nodiscard]] Result<std::vector<SourceFile>> readAll(const PublishedValues &published,
                                                          const std::vector<SourceFile> &held);

    /// @return calls made so far
    [[nodiscard]] std::uint32_t calls() const noexcept { return this->callCount; }

    /// @brief Ends a wait that is under way with PlatformUnavailable, and all later calls.
    void stop();

private:
    [[nodiscard]] Result<HttpResponse> get(const std::string &path, Millis timeout);

    HttpClient &client;
    const std::string address;
    std::atomic<std::uint32_t> callCount{0};
    std::atomic<bool> stopped{false};
};

} // namespace balsamport

#endif
