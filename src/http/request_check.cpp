#include "request_check.h"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace balsamport {

namespace {

constexpr unsigned char firstVisible = 0x21;
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char del = 0x7f;

bool isToken(std::string_view text)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [marks](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z')
                || (letter >= 'A' && letter <= 'Z') || marks.find(letter) != std::string_view::npos;
    });
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char byte) {
        return byte == '\t' || (byte >= firstPrintable && byte != del);
    });
}

/// Bytes above 127 are allowed, as callers send them and no server takes them for an end.
bool isTarget(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char byte) {
        return byte >= firstVisible && byte != del && byte != '#';
    });
}

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

} // namespace

Result<void> checkRequestHead(const IncomingRequest &request)
{
    if (!isTarget(request.target)) {
        return Error{ErrorCode::InvalidRequest, "the request target has a byte that none may have"};
    }
    int hosts = 0;
    int codings = 0;
    for (const HttpHeader &header : request.headers) {
        if (!isToken(header.name)) {
            return Error{ErrorCode::InvalidHeader, "the name of a field is no token"};
        }
        if (!isFieldValue(header.value)) {
            return Error{ErrorCode::InvalidHeader, "the value of " + header.name + " is none"};
        }
        hosts += equalIgnoringCase(header.name, "Host") ? 1 : 0;
        if (equalIgnoringCase(header.name, "Transfer-Encoding")) {
            ++codings;
            // The server decodes chunks alone; a body in another coding would be passed on encoded.
            if (!equalIgnoringCase(header.value, "chunked")) {
                return Error{ErrorCode::InvalidHeader, "a transfer coding other than chunked"};
            }
        }
    }
    if (hosts > 1 || codings > 1) {
        return Error{ErrorCode::InvalidHeader,
                     hosts > 1 ? "several Host fields" : "several transfer codings"};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace balsamport
