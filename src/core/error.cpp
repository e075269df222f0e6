#include <balsamport/core/error.h>

#include <algorithm>
#include <array>

namespace balsamport {

namespace {

struct ErrorCodeName
{
    ErrorCode code;
    std::string_view name;
};

/// Every ErrorCode, in the order of the enumeration.
constexpr auto errorCodeNames = std::to_array<ErrorCodeName>({
        {ErrorCode::InvalidRequest, "invalid_request"},
        {ErrorCode::InvalidJson, "invalid_json"},
        {ErrorCode::InvalidHeader, "invalid_header"},
        {ErrorCode::BodyTooLarge, "body_too_large"},
        {ErrorCode::HeadersTooLarge, "headers_too_large"},
        {ErrorCode::Unauthorized, "unauthorized"},
        {ErrorCode::UnknownModel, "unknown_model"},
        {ErrorCode::UnknownService, "unknown_service"},
        {ErrorCode::UnknownPath, "unknown_path"},
        {ErrorCode::MethodNotAllowed, "method_not_allowed"},
        {ErrorCode::RequestTimeout, "request_timeout"},
        {ErrorCode::CallerGone, "caller_gone"},
        {ErrorCode::Overloaded, "overloaded"},
        {ErrorCode::DeadlineExceeded, "deadline_exceeded"},
        {ErrorCode::NoBackendServer, "no_backend_server"},
        {ErrorCode::LoadFailed, "load_failed"},
        {ErrorCode::GrantExpired, "grant_expired"},
        {ErrorCode::GrantUnknown, "grant_unknown"},
        {ErrorCode::Leaving, "leaving"},
        {ErrorCode::LinkBudgetSpent, "link_budget_spent"},
        {ErrorCode::RetryBudgetSpent, "retry_budget_spent"},
        {ErrorCode::CircuitOpen, "circuit_open"},
        {ErrorCode::Quarantined, "quarantined"},
        {ErrorCode::QuotaExceeded, "quota_exceeded"},
        {ErrorCode::KeyMissing, "key_missing"},
        {ErrorCode::KeyInvalid, "key_invalid"},
        {ErrorCode::KeyUsed, "key_used"},
        {ErrorCode::KeyBodyMismatch, "key_body_mismatch"},
        {ErrorCode::KeyTooOld, "key_too_old"},
        {ErrorCode::KeyFromFuture, "key_from_future"},
        {ErrorCode::WitnessUnavailable, "witness_unavailable"},
        {ErrorCode::ClaimExpired, "claim_expired"},
        {ErrorCode::KeyClosed, "key_closed"},
        {ErrorCode::KeyInProgress, "key_in_progress"},
        {ErrorCode::TicketUnknown, "ticket_unknown"},
        {ErrorCode::OutcomeUnknown, "outcome_unknown"},
        {ErrorCode::ConfigSyntax, "config_syntax"},
        {ErrorCode::ConfigUnknownSection, "config_unknown_section"},
        {ErrorCode::ConfigUnknownKey, "config_unknown_key"},
        {ErrorCode::ConfigInvalidValue, "config_invalid_value"},
        {ErrorCode::ConfigMissingKey, "config_missing_key"},
        {ErrorCode::ConfigUnknownReference, "config_unknown_reference"},
        {ErrorCode::ConfigDuplicate, "config_duplicate"},
        {ErrorCode::ConfigTooLarge, "config_too_large"},
        {ErrorCode::ConfigStaleRevision, "config_stale_revision"},
        {ErrorCode::ConfigUnavailable, "config_unavailable"},
        {ErrorCode::SettingUnknown, "setting_unknown"},
        {ErrorCode::SettingInvalid, "setting_invalid"},
        {ErrorCode::SettingMissing, "setting_missing"},
        {ErrorCode::SettingFileUnreadable, "setting_file_unreadable"},
        {ErrorCode::KeyFileInvalid, "key_file_invalid"},
        {ErrorCode::KeyFilePermissions, "key_file_permissions"},
        {ErrorCode::NotOwner, "not_owner"},
        {ErrorCode::OwnerUnknown, "owner_unknown"},
        {ErrorCode::ViewUnconfirmed, "view_unconfirmed"},
        {ErrorCode::HandoverWait, "handover_wait"},
        {ErrorCode::FencingRefused, "fencing_refused"},
        {ErrorCode::OrderExpired, "order_expired"},
        {ErrorCode::AdapterPinned, "adapter_pinned"},
        {ErrorCode::VmUnknown, "vm_unknown"},
        {ErrorCode::ConnectFailed, "connect_failed"},
        {ErrorCode::ConnectionBroken, "connection_broken"},
        {ErrorCode::Timeout, "timeout"},
        {ErrorCode::BadResponse, "bad_response"},
        {ErrorCode::MessageInvalid, "message_invalid"},
        {ErrorCode::BackendServerCrashed, "backend_server_crashed"},
        {ErrorCode::AdapterNotLoaded, "adapter_not_loaded"},
        {ErrorCode::WrongVersion, "wrong_version"},
        {ErrorCode::BackendServerError, "backend_server_error"},
        {ErrorCode::PlatformUnavailable, "platform_unavailable"},
        {ErrorCode::RateLimited, "rate_limited"},
        {ErrorCode::ListenFailed, "listen_failed"},
        {ErrorCode::AnswerIncomplete, "answer_incomplete"},
        {ErrorCode::MalformedResponse, "malformed_response"},
        {ErrorCode::Internal, "internal"},
});

static_assert(std::is_sorted(errorCodeNames.begin(), errorCodeNames.end(),
                             [](const ErrorCodeName &a, const ErrorCodeName &b) {
                                 return a.code < b.code;
                             }));

} // namespace

std::string_view errorName(ErrorCode code) noexcept
{
    const auto *const found
            = std::find_if(errorCodeNames.begin(), errorCodeNames.end(),
                           [code](const ErrorCodeName &entry) { return entry.code == code; });
    return found == errorCodeNames.end() ? "internal" : found->name;
}

std::string describe(const Error &error)
{
    std::string line;
    if (!error.location.file.empty()) {
        line += error.location.file;
        if (error.location.line != 0) {
            line += ":" + std::to_string(error.location.line);
        }
        line += ": ";
    }
    if (!error.location.key.empty()) {
        line += error.location.key + ": ";
    }
    line += error.detail + " (";
    line += errorName(error.code);
    line += ", " + std::to_string(errorNumber(error.code)) + ")";
    return line;
}

} // namespace balsamport
