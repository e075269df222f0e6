#ifndef BALSAMPORT_TESTS_REQUEST_FORMS_H
#define BALSAMPORT_TESTS_REQUEST_FORMS_H

#include "response_forms.h"

#include <string>
#include <vector>

namespace balsamport::testing {

/// @brief A request byte by byte, and a name for the tests' output.
struct RequestForm
{
    std::string name;
    std::string bytes;

    bool operator==(const RequestForm &) const = default;
};

/// @return a POST request with a body of "hello"
/// @param framing empty for the length of the body
inline std::string requestWith(const std::string &fields, const std::string &framing = {},
                               const std::string &body = "hello",
                               const std::string &line = "POST /book/x?q HTTP/1.1")
{
    return line + "\r\nHost: h\r\nX-Request-Id: r\r\n" + fields
            + (framing.empty() ? "Content-Length: 5\r\n" : framing) + "\r\n" + body;
}

/// @brief Requests that RFC 9110 and RFC 9112 allow.
inline std::vector<RequestForm> soundRequests()
{
    return {
            {"with a length", requestWith("")},
            {"names in lower case", requestWith("x-other: a\r\n", "content-length: 5\r\n")},
            {"no blank behind a colon", requestWith("X-Other:a\r\n", "Content-Length:5\r\n")},
            {"blanks around values",
             requestWith("X-Other: \t a \t \r\n", "Content-Length:  5 \r\n")},
            {"a tab in a value", requestWith("X-Other: a\tb\r\n")},
            {"bytes above 127 in a value", requestWith("X-Other: \xc3\xa9\r\n")},
            {"every character of a token", requestWith("!#$%&'*+-.^_`|~09aZ: a\r\n")},
            {"an empty value", requestWith("X-Other:\r\n")},
            {"chunks", requestWith("", chunkedField, "5\r\nhello\r\n0\r\n\r\n")},
            {"chunks with an extension",
             requestWith("", chunkedField, "5;a=b\r\nhello\r\n0\r\n\r\n")},
            {"chunks with a trailer",
             requestWith("", chunkedField, "5\r\nhello\r\n0\r\nX-Sum: a\r\n\r\n")},
            {"an empty line before", "\r\n" + requestWith("")},
    };
}

/// @brief A form that a server may mend, and the field as it must be passed on.
struct MendedForm
{
    std::string name;
    std::string bytes;
    std::string field; ///< NAME|VALUE

    bool operator==(const MendedForm &) const = default;
};

/// @brief Requests that RFC 9112 lets a server mend: folded lines (5.2), LF alone (2.2), several
/// blanks in the request line (3).
inline std::vector<MendedForm> mendedRequests()
{
    return {
            {"a folded line", requestWith("X-Other: a\r\n b\r\n"), "X-Other|a b"},
            {"a folded line behind a tab", requestWith("X-Other: a\r\n\tb\r\n"), "X-Other|a\tb"},
            {"LF alone", requestWith("X-Other: a\nX-Further: b\r\n"), "X-Further|b"},
            {"two blanks before the target",
             requestWith("X-Other: a\r\n", "", "hello", "POST  /book/x?q HTTP/1.1"), "X-Other|a"},
            {"two blanks behind the target",
             requestWith("X-Other: a\r\n", "", "hello", "POST /book/x?q  HTTP/1.1"), "X-Other|a"},
            {"a byte above 127 in the target",
             requestWith("X-Other: a\r\n", "", "hello", "POST /book/x?q\xe9 HTTP/1.1"),
             "X-Other|a"},
    };
}

/// @brief Requests that the server's parser takes although they break a rule.
inline std::vector<RequestForm> unnoticedRequests()
{
    return {
            {"an end of a chunk that is none",
             requestWith("", chunkedField, "5\r\nhelloxx0\r\n\r\n")},
            {"a blank behind a chunk's size",
             requestWith("", chunkedField, "5 \r\nhello\r\n0\r\n\r\n")},
            {"a blank in the name of a trailer",
             requestWith("", chunkedField, "5\r\nhello\r\n0\r\nX Sum: a\r\n\r\n")},
            {"HTTP/3.1", requestWith("", "", "hello", "POST /book/x HTTP/3.1")},
            {"no version", requestWith("", "", "hello", "POST /book/x")},
    };
}

/// @brief Requests that are none, or whose end two readers could see at different places.
inline std::vector<RequestForm> malformedRequests()
{
    std::vector<RequestForm> forms;
    const auto add = [&forms](const std::string &name, const std::string &bytes) {
        forms.push_back({name, bytes});
    };
    for (const char *value : {"5x", "5 0", "5, 5", "5, 6", "5;5", "+5", "-5", "", "0x5", "5.0",
                              "184467440737095516160"}) {
        add(std::string("a length of \"") + value + '"',
            requestWith("", std::string("Content-Length: ") + value + "\r\n"));
    }
    add("two lengths", requestWith("Content-Length: 5\r\n", "Content-Length: 4\r\n"));
    add("a length beside chunks",
        requestWith("Content-Length: 5\r\n", chunkedField, "5\r\nhello\r\n0\r\n\r\n"));
    add("chunks beside a length",
        requestWith(chunkedField, "Content-Length: 5\r\n", "5\r\nhello\r\n0\r\n\r\n"));
    add("a blank before the colon of the length", requestWith("", "Content-Length : 5\r\n"));
    add("a blank before the colon of the coding",
        requestWith("", "Transfer-Encoding : chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"));
    for (const char *value : {"gzip", "identity", "gzip, chunked", "chunked, gzip", "xchunked",
                              "chunkedx", "\013chunked", ""}) {
        add(std::string("a transfer coding of \"") + value + '"',
            requestWith("", std::string("Transfer-Encoding: ") + value + "\r\n",
                        "5\r\nhello\r\n0\r\n\r\n"));
    }
    add("two transfer codings", requestWith(chunkedField, chunkedField, "5\r\nhello\r\n0\r\n\r\n"));
    for (const char *field :
         {"X Other: a", "X-Other : a", "X-Other\t: a", "X/Other: a", "X-Oth\xe9r: a",
          "X-Ot\x01her: a", ": a", "X-Other a", "X-Other: a\001b", "X-Other: a\177b",
          "X-Other: a\rb", "X-Other: a\r", "Host: h", "host: other"}) {
        add(std::string("a field \"") + field + '"', requestWith(std::string(field) + "\r\n"));
    }
    add("a NUL in a value", requestWith(std::string("X-Other: a\0b\r\n", 14)));
    for (const char *line :
         {"POST /book/\tx HTTP/1.1", "POST /book/\x01x HTTP/1.1", "POST /book/\x7fx HTTP/1.1",
          "POST /book/x HTTP/1.1 ", "POST /book/x\x0cy HTTP/1.1", "POST /book/x y HTTP/1.1",
          "P ST /book/x HTTP/1.1", "POST /book/x http/1.1", "POST /book/x#y HTTP/1.1"}) {
        add(std::string("a request line \"") + line + '"', requestWith("", "", "hello", line));
    }
    for (const char *chunks : {"5x\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
                               " 5\r\nhello\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n"}) {
        add(std::string("chunks \"") + chunks + '"', requestWith("", chunkedField, chunks));
    }
    return forms;
}

} // namespace balsamport::testing

#endif
