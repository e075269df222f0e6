#ifndef BALSAMPORT_POLICY_SUSPECTS_H
#define BALSAMPORT_POLICY_SUSPECTS_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief Hashes what a request runs: the adapter version and the body, but not its key.
[[nodiscard]] Fingerprint fingerprintOf(const AdapterRef &adapter, std::string_view body) noexcept;

/// @brief Whether a request may run.
enum class SuspectVerdict : std::uint8_t {
    Clear, ///< Not suspected.
    RunAlone, ///< May run now, on a backend server that runs no other request meanwhile.
    Wait, ///< The same request runs alone on another server; query again later.
    Quarantine, ///< Crashed backend servers twice: refused.
};

/// @brief Reports that a backend server crashed while a request was in progress there.
struct CrashReport
{
    Fingerprint fingerprint;
    RequestId request;
    BackendServerId backendServer;
    Millis at; ///< Monotonic, on the VM that holds the table.

    bool operator==(const CrashReport &) const = default;
};

/// @brief Limits of the table of suspects.
struct SuspectLimits
{
    std::size_t capacity = 10'000; ///< Largest number of suspects; the oldest is evicted.
    Millis quarantineTime{600'000}; ///< A suspect is removed this long after its last crash.
    Millis runAloneLease{60'000}; ///< A run alone whose end is not reported ends after this time.
    Millis sameCrashWindow{2'000}; ///< Reports on a server within this time are one crash.

    bool operator==(const SuspectLimits &) const = default;
};

/// @brief Table of requests that were in progress when a backend server crashed.
///
/// After one crash a request runs alone, one run at a time; a second crash quarantines it; a run
/// that finishes clears it. Not thread-safe.
class SuspectTable
{
public:
    /// @brief Records a crash. Several reports of one crash count once.
    /// @return true where the report changed anything
    bool recordCrash(const CrashReport &report, const SuspectLimits &limits);

    /// @brief Records a suspicion that a peer reported; a known one stays unchanged.
    /// @return true where it was not known
    bool recordSuspicion(const CrashReport &report, const SuspectLimits &limits);

    /// @brief Records that a request finished.
    /// @return true where a suspicion was cleared; a quarantine is not cleared
    bool recordFinish(Fingerprint fingerprint);

    /// @brief Records a quarantine that a peer reported.
    /// @param at time of the last crash, monotonic
    /// @return true where it was not known
    bool recordQuarantine(Fingerprint fingerprint, Millis at, const SuspectLimits &limits);

    /// @brief Records that a run alone ended without a crash and without a complete response, for
    /// example because its caller disconnected.
    void recordRunEnd(Fingerprint fingerprint, const RequestId &request);

    /// @brief Decides whether a request may run; grants it the lease of the run alone where it is
    /// suspected and the lease is free.
    SuspectVerdict requestRun(Fingerprint fingerprint, const RequestId &request, Millis now,
                              const SuspectLimits &limits);

    /// @brief Reads the verdict on a request without granting the lease.
    /// @return Clear, RunAlone where it is suspected, or Quarantine
    [[nodiscard]] SuspectVerdict verdictFor(Fingerprint fingerprint, Millis now,
                                            const SuspectLimits &limits) const;

    /// @brief Removes suspects whose quarantine time is over. Linear in their number.
    void expire(Millis now, const SuspectLimits &limits);

    /// @brief A suspect as reported to peers and operators.
    struct Listed
    {
        Fingerprint fingerprint;
        bool quarantined = false;
        BackendServerId lastServer;
        Millis lastAt;

        bool operator==(const Listed &) const = default;
    };
    [[nodiscard]] std::vector<Listed> list() const;

    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }
    [[nodiscard]] std::size_t quarantinedCount() const noexcept;

private:
    struct Run
    {
        RequestId request;
        Millis until; ///< Monotonic.
    };
    struct Entry
    {
        std::uint32_t crashes = 0;
        bool quarantined = false;
        BackendServerId lastServer;
        Millis lastAt;
        std::optional<Run> aloneRun;
    };

    void evictOldest(const SuspectLimits &limits);

    std::unordered_map<Fingerprint, Entry> entries;
};

} // namespace balsamport

#endif
