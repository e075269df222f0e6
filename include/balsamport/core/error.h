#ifndef BALSAMPORT_CORE_ERROR_H
#define BALSAMPORT_CORE_ERROR_H

#include <boost/outcome.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief All error types. Their numbers are stable and never reused for another type.
///
/// 1xx: the caller's request; 2xx: routing and limits; 3xx: at-most-once; 4xx: configuration and
/// settings; 5xx: membership and ownership; 6xx: transport and backend servers; 7xx: internal.
enum class ErrorCode : std::uint16_t {
    InvalidRequest = 101,
    InvalidJson = 102,
    InvalidHeader = 103,
    BodyTooLarge = 104,
    HeadersTooLarge = 105,
    Unauthorized = 106,
    UnknownModel = 107,
    UnknownService = 108,
    UnknownPath = 109,
    MethodNotAllowed = 110,
    RequestTimeout = 111,
    CallerGone = 112,

    Overloaded = 201,
    DeadlineExceeded = 202,
    NoBackendServer = 203,
    LoadFailed = 204,
    GrantExpired = 205,
    GrantUnknown = 206,
    Leaving = 207,
    LinkBudgetSpent = 208,
    RetryBudgetSpent = 209,
    CircuitOpen = 210,
    Quarantined = 211,
    QuotaExceeded = 212,

    KeyMissing = 301,
    KeyInvalid = 302,
    KeyUsed = 303,
    KeyBodyMismatch = 304,
    KeyTooOld = 305,
    KeyFromFuture = 306,
    WitnessUnavailable = 307,
    ClaimExpired = 308,
    KeyClosed = 309,
    KeyInProgress = 310,
    TicketUnknown = 311,
    OutcomeUnknown = 312,

    ConfigSyntax = 401,
    ConfigUnknownSection = 402,
    ConfigUnknownKey = 403,
    ConfigInvalidValue = 404,
    ConfigMissingKey = 405,
    ConfigUnknownReference = 406,
    ConfigDuplicate = 407,
    ConfigTooLarge = 408,
    ConfigStaleRevision = 409,
    ConfigUnavailable = 410,
    SettingUnknown = 420,
    SettingInvalid = 421,
    SettingMissing = 422,
    SettingFileUnreadable = 423,
    KeyFileInvalid = 424,
    KeyFilePermissions = 425,

    NotOwner = 501,
    OwnerUnknown = 502,
    ViewUnconfirmed = 503,
    HandoverWait = 504,
    FencingRefused = 505,
    OrderExpired = 506,
    AdapterPinned = 507,
    VmUnknown = 508,

    ConnectFailed = 601,
    ConnectionBroken = 602,
    Timeout = 603,
    BadResponse = 604,
    MessageInvalid = 605,
    BackendServerCrashed = 606,
    AdapterNotLoaded = 607,
    WrongVersion = 608,
    BackendServerError = 609,
    PlatformUnavailable = 610,
    RateLimited = 611,
    ListenFailed = 612,
    AnswerIncomplete = 613,
    MalformedResponse = 614,

    Internal = 701,
};

/// @brief Position of an error in its input, for example a line of a configuration file.
struct SourceLocation
{
    std::string file;
    std::uint32_t line = 0; ///< Counted from 1; 0 if it does not apply.
    std::string key;

    auto operator<=>(const SourceLocation &) const = default;
    bool operator==(const SourceLocation &) const = default;
};

/// @brief An error: its type, its cause in this case, and its location.
struct Error
{
    ErrorCode code = ErrorCode::Internal;
    std::string detail;
    SourceLocation location{};

    bool operator==(const Error &) const = default;
};

/// @brief Either a value or an Error. Throws on access to the alternative that it does not hold.
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::checked<T, Error>;

/// @return the stable name of an error type in snake case, for example "key_body_mismatch";
/// "internal" for a number without a type
[[nodiscard]] std::string_view errorName(ErrorCode code) noexcept;

/// @brief Formats an error as one line: `file:line: key: detail (name, number)`.
/// @complexity linear in the length of the texts
[[nodiscard]] std::string describe(const Error &error);

/// @return the stable number of an error type
[[nodiscard]] constexpr std::uint16_t errorNumber(ErrorCode code) noexcept
{
    return static_cast<std::uint16_t>(code);
}

} // namespace balsamport

#endif
