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

/// @brief Identifies a request by what it runs: the adapter version and the body, not the key.
[[nodiscard]] Fingerprint fingerprintOf(const AdapterRef &adapter, std::string_view body) noexcept;

/// @brief Whether a request may run.
enum class SuspectVerdict : std::uint8_t {
    Clear, ///< Not suspected.
    RunAlone, ///< May run now, on a backend server that runs nothing else meanwhile.
    Wait, ///< The same request runs alone elsewhere; ask again.
    Quarantine, ///< Crashed two backend servers: refused.
};

/// @brief The crash of a backend server, as one of the requests in progress there saw it.
struct CrashReport
{
    Fingerprint fingerprint;
    RequestId request;
    BackendServerId backendServer;
    Millis at; ///< Monotonic, of the VM that holds the table.

    bool operator==(const CrashReport &) const = default;
};

/// @brief The limits of suspicion.
struct SuspectLimits
{
    std::size_t capacity = 10'000; ///< Suspects that are remembered.
    Millis quarantineTime{600'000}; ///< A suspect is forgotten this long after its last crash.
    Millis aloneLease{60'000}; ///< A run alone that is not reported ends after this time.
    Millis sameCrashWindow{2'000}; ///< Reports on one server this close are one crash.

    bool operator==(const SuspectLimits &) const = default;
};

/// @brief Requests that were in progress when a backend server died.
///
/// After one crash a request runs alone, once at a time; a second crash quarantines it; a run
/// that ends well clears it. Not thread-safe.
class SuspectTable
{
public:
    /// @brief Notes a crash. Several reports of one crash count once.
    /// @return true where the report changed anything
    bool noteCrash(const CrashReport &report, const SuspectLimits &limits);

    /// @brief Notes a suspicion that a peer holds; one that is known already stays as it is.
    /// @return true where it was not known
    bool noteSuspicion(const CrashReport &report, const SuspectLimits &limits);

    /// @brief Notes that a request ran to its end.
    /// @return true where a suspicion was cleared; a quarantine is not cleared
    bool noteFinish(Fingerprint fingerprint);

    /// @brief Notes a quarantine that a peer reported.
    /// @return true where it was not known
    bool noteQuarantine(Fingerprint fingerprint, Millis at, const SuspectLimits &limits);

    /// @brief Notes that a run alone ended without a crash and without a whole answer, for example
    /// because its caller left.
    void noteRunEnded(Fingerprint fingerprint, const RequestId &request);

    /// @brief Decides whether a request may run, and lends it the right to run alone.
    SuspectVerdict ask(Fingerprint fingerprint, const RequestId &request, Millis now,
                       const SuspectLimits &limits);

    /// @brief Tells what is known of a request, without lending anything.
    /// @return Clear, RunAlone where it is suspected, or Quarantine
    [[nodiscard]] SuspectVerdict look(Fingerprint fingerprint, Millis now,
                                      const SuspectLimits &limits) const;

    /// @brief Forgets suspects whose time is over. Linear in their number.
    void expire(Millis now, const SuspectLimits &limits);

    /// @brief One suspect, for peers and for operators.
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
        std::optional<Run> alone;
    };

    void makeRoom(const SuspectLimits &limits);

    std::unordered_map<Fingerprint, Entry> entries;
};

} // namespace balsamport

#endif
