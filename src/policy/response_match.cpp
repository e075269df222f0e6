#include <balsamport/policy/response_match.h>

namespace balsamport {

std::optional<ErrorCode> findResponseMismatch(const ExpectedResponse &expected,
                                              const ResponseLabel &label)
{
    if (label.attempt != expected.attempt) {
        return ErrorCode::GrantExpired;
    }
    if (label.request && *label.request != expected.request) {
        return ErrorCode::BadResponse;
    }
    if (label.adapter && *label.adapter != expected.adapter.str()) {
        return ErrorCode::WrongVersion;
    }
    return std::nullopt;
}

} // namespace balsamport
