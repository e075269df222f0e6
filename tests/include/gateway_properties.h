#ifndef BALSAMPORT_TESTS_GATEWAY_PROPERTIES_H
#define BALSAMPORT_TESTS_GATEWAY_PROPERTIES_H

#include <balsamport/filters/model_name.h>
#include <balsamport/filters/model_request.h>
#include <balsamport/filters/service_path.h>
#include <balsamport/filters/sse_parser.h>

#include <rapidcheck.h>

#include <rapidjson/document.h>

#include <algorithm>
#include <string>
#include <vector>

/// @file
/// Properties of the gateway's parsers, for the unit tests and for the long fuzzing program.

namespace balsamport::testing {

/// @brief Text put together from pieces that matter to a parser, and from random bytes.
inline rc::Gen<std::string> textOf(const std::vector<std::string> &pieces)
{
    const auto known = rc::gen::elementOf(pieces);
    const auto bytes = rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(
                                rc::gen::weightedOneOf<std::string>({{12, known}, {1, bytes}})),
                        [](const std::vector<std::string> &parts) {
                            std::string text;
                            for (const std::string &part : parts) {
                                text += part;
                            }
                            return text;
                        });
}

/// @brief A request body that is near to a right one.
inline rc::Gen<std::string> nearlyRightBody()
{
    const auto member = rc::gen::elementOf(std::vector<std::string>{
            R"("model":"m@1")", R"("model" : "\u0061\"x")", R"("model":7)", R"("model":null)",
            R"("messages":[])", R"("messages":[{"model":"x","content":"h\u00e9"}])",
            R"("messages":"text")", R"("messages":{})", R"("stream":true)", R"("stream":"yes")",
            R"("stream":null)", R"("max_tokens":5)", R"("max_tokens":-1)", R"("max_tokens":1e9)",
            R"("x":{"model":"y","messages":[]})", "\"x\":\"\xff\"", R"("x":[[[[1]]]])",
            R"("x":1.50)", R"("x")"});
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(member),
                        [](const std::vector<std::string> &members) {
                            std::string body = "{";
                            for (const std::string &one : members) {
                                body += (body.size() > 1 ? ", " : "") + one;
                            }
                            return body + "}";
                        });
}

/// @brief What a whole JSON document says that the body holds; nothing where it must be refused.
inline std::optional<std::string> modelByDocument(const std::string &body)
{
    rapidjson::Document document;
    document.Parse<rapidjson::kParseValidateEncodingFlag | rapidjson::kParseIterativeFlag>(
            body.data(), body.size());
    if (document.HasParseError() || !document.IsObject()) {
        return std::nullopt;
    }
    std::optional<std::string> model;
    bool hasMessages = false;
    bool right = true;
    const auto end = document.MemberEnd();
    for (auto member = document.MemberBegin(); member - end < 0; ++member) {
        const std::string name(member->name.GetString(), member->name.GetStringLength());
        const auto &value = member->value;
        if (name == "model") {
            right = right && !model && value.IsString() && value.GetStringLength() != 0;
            model = value.IsString() ? std::string(value.GetString(), value.GetStringLength()) : "";
        } else if (name == "messages") {
            right = right && (value.IsArray() || value.IsString());
            hasMessages = true;
        } else if (name == "stream") {
            right = right && (value.IsBool() || value.IsNull());
        } else if (name == "max_tokens") {
            right = right && (value.IsUint() || value.IsNull());
        }
    }
    return right && hasMessages ? model : std::nullopt;
}

/// @brief Agrees with a whole document, and replaces the model and nothing else.
inline void checkModelRequest(const std::string &body)
{
    const auto parsed = parseModelRequest(body, "messages");
    const auto expected = modelByDocument(body);
    RC_ASSERT(parsed.has_value() == expected.has_value());
    if (!parsed.has_value()) {
        return;
    }
    const ModelRequest &request = parsed.value();
    RC_ASSERT(request.model == *expected);
    RC_ASSERT(body.at(request.modelBegin) == '"');
    RC_ASSERT(body.at(request.modelEnd - 1) == '"');
    const std::string changed = withModel(body, request, "base/\"new\"@2");
    RC_ASSERT(modelByDocument(changed) == std::optional<std::string>("base/\"new\"@2"));
    RC_ASSERT(changed.substr(0, request.modelBegin) == body.substr(0, request.modelBegin));
    RC_ASSERT(changed.ends_with(body.substr(request.modelEnd)));
}

/// @brief Gives the same events however the stream is cut into pieces.
inline void checkSsePieces(const std::string &text, const std::vector<std::uint8_t> &cuts)
{
    SseParser whole;
    const auto expected = whole.feed(text);
    RC_ASSERT(expected.has_value());
    SseParser inPieces;
    std::vector<SseEvent> events;
    std::size_t start = 0;
    std::size_t turn = 0;
    while (start < text.size()) {
        const std::size_t wanted = cuts.empty() ? 1 : cuts[turn++ % cuts.size()] % 8;
        const std::size_t length = std::min(wanted, text.size() - start);
        const auto some = inPieces.feed(std::string_view(text).substr(start, length));
        RC_ASSERT(some.has_value());
        events.insert(events.end(), some.value().begin(), some.value().end());
        start += length;
        if (wanted == 0 && turn >= cuts.size()) {
            break;
        }
    }
    if (start >= text.size()) {
        RC_ASSERT(events == expected.value());
        RC_ASSERT(inPieces.inEvent() == whole.inEvent());
    }
}

/// @brief An event that was written is read back.
inline void checkSseRoundTrip(std::uint64_t id, std::string data)
{
    std::replace(data.begin(), data.end(), '\r', ' ');
    const SseEvent event{id, data};
    SseParser parser;
    const auto events = parser.feed(formatSseEvent(event));
    RC_ASSERT(events.has_value());
    RC_ASSERT(events.value() == std::vector<SseEvent>{event});
}

/// @brief A model name that is accepted is written as it was read.
inline void checkModelName(const std::string &text)
{
    const auto name = parseModelName(text);
    if (name) {
        const std::string base = name->base.empty() ? "" : name->base.str() + "/";
        RC_ASSERT(base + name->adapter.str() + "@" + std::to_string(name->version.number())
                  == text);
    }
}

/// @brief A path that is accepted has one written form and keeps its parts.
inline void checkServicePath(const std::string &tail)
{
    const std::string path = "/v1/services/" + tail;
    const auto parsed = parseServicePath(path);
    if (parsed.has_value()) {
        const ServicePath &parts = parsed.value();
        RC_ASSERT(parts.rest.front() == '/');
        RC_ASSERT(parts.rest.find("//") == std::string::npos);
        RC_ASSERT(parts.rest.find('%') == std::string::npos);
        RC_ASSERT(parts.rest.find("/../") == std::string::npos);
        const std::string joined = "/v1/services/" + parts.service.str() + parts.rest;
        RC_ASSERT(joined == path || joined == path + "/");
    }
}

/// @brief Runs every property; the number of cases comes from RC_PARAMS.
/// @return true where all hold
inline bool checkGatewayParsers()
{
    bool good = rc::check("bodies agree with a whole document",
                          [] { checkModelRequest(*nearlyRightBody()); });
    good = rc::check("bodies of random pieces",
                     [] {
                         checkModelRequest(
                                 *textOf({"{", "}", "[", "]", ":", ",", "\"model\"", "\"messages\"",
                                          "\"a\"", "1", "true", "\\", "\"", " ", "\xc3\xa9"}));
                     })
            && good;
    good = rc::check("event streams in pieces",
                     [](const std::vector<std::uint8_t> &cuts) {
                         checkSsePieces(*textOf({"id: ", "data: ", "data:", ":", "\n", "\r", "\r\n",
                                                 "\n\n", "7", "x", "[DONE]", "event: e"}),
                                        cuts);
                     })
            && good;
    good = rc::check("events written and read", checkSseRoundTrip) && good;
    good = rc::check("model names",
                     [] {
                         checkModelName(*textOf({"@", "/", "a", "0", "1", "12", "-", "+"}));
                     })
            && good;
    good = rc::check("service paths",
                     [] {
                         checkServicePath(*textOf({"/", "//", ".", "..", "%2f", "lots", "bookings",
                                                   "?", "\\", ";"}));
                     })
            && good;
    return good;
}

} // namespace balsamport::testing

#endif
