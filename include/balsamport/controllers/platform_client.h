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

/// @brief A value in the platform's list of values.
struct PublishedValue
{
    std::string name;
    std::uint64_t digest = 0; ///< hash64 of the content.

    bool operator==(const PublishedValue &) const = default;
};

/// @brief All values of a revision.
struct PublishedValues
{
    ConfigRevision revision;
    std::vector<PublishedValue> values;

    bool operator==(const PublishedValues &) const = default;
};

/// @name Parsers of the platform's responses; BadResponse where the content is invalid
/// @{
[[nodiscard]] Result<PublishedValues> parseValues(const std::string &body);
[[nodiscard]] Result<ConfigRevision> parseRevision(const std::string &body);
[[nodiscard]] Result<std::vector<ListedVm>> parseVms(const std::string &body);
/// @}

/// @brief Reads the platform's configuration service. Every call blocks until its response.
///
/// Errors: PlatformUnavailable, RateLimited, BadResponse, ConfigStaleRevision (409: the platform no
/// longer has the revision). All functions may be called from any thread.
class PlatformClient
{
public:
    /// @param address IP:PORT
    PlatformClient(HttpClient &client, std::string address);

    [[nodiscard]] Result<PublishedValues> values();

    /// @brief Reads a value of a revision.
    /// @return ConfigStaleRevision where the response is of another revision, BadResponse where its
    /// content does not match the digest
    [[nodiscard]] Result<SourceFile> value(const PublishedValue &published,
                                           ConfigRevision revision);

    /// @brief Waits for a revision above `after`, for the timeout at most.
    /// @return the platform's revision; not above `after` where the timeout passed
    [[nodiscard]] Result<ConfigRevision> watch(ConfigRevision after, Millis timeout);

    /// @brief Reads the list of VMs.
    [[nodiscard]] Result<std::vector<ListedVm>> vms();

    /// @brief Reads all files of a revision.
    /// @param held files that are not read again where their digest is unchanged
    /// @return ConfigStaleRevision where a newer revision came into force meanwhile
    [[nodiscard]] Result<std::vector<SourceFile>> readAll(const PublishedValues &published,
                                                          const std::vector<SourceFile> &held);

    /// @return number of calls so far
    [[nodiscard]] std::uint32_t calls() const noexcept { return this->callCount; }

    /// @brief Makes the current call and all later ones return PlatformUnavailable.
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
