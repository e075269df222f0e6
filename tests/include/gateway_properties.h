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

/// @brief Generates text from tokens that are significant to a parser and from random bytes.
inline rc::Gen<std::string> textFromTokens(const std::vector<std::string> &tokens)
{
    const auto known = rc::gen::elementOf(tokens);
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

/// @brief Generates a request body that is valid or nearly valid.
inline rc::Gen<std::string> nearlyValidBody()
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

/// @brief Reads the model from a body through a JSON document, as the reference for the parser.
/// @return nothing where the body must be refused
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
    bool valid = true;
    const auto end = document.MemberEnd();
    for (auto member = document.MemberBegin(); member - end < 0; ++member) {
        const std::string name(member->name.GetString(), member->name.GetStringLength());
        const auto &value = member->value;
        if (name == "model") {
            valid = valid && !model && value.IsString() && value.GetStringLength() != 0;
            model = value.IsString() ? std::string(value.GetString(), value.GetStringLength()) : "";
        } else if (name == "messages") {
            valid = valid && (value.IsArray() || value.IsString());
            hasMessages = true;
        } else if (name == "stream") {
            valid = valid && (value.IsBool() || value.IsNull());
        } else if (name == "max_tokens") {
            valid = valid && (value.IsUint() || value.IsNull());
        }
    }
    return valid && hasMessages ? model : std::nullopt;
}

/// @brief Checks that the parser agrees with a JSON document, and that withModel() replaces the
/// model and nothing else.
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

/// @brief Checks that a stream gives the same events however it is split into chunks.
inline void checkSseChunking(const std::string &text, const std::vector<std::uint8_t> &cuts)
{
    SseParser wholeParser;
    const auto expected = wholeParser.feed(text);
    RC_ASSERT(expected.has_value());
    SseParser chunkedParser;
    std::vector<SseEvent> events;
    std::size_t start = 0;
    std::size_t cutIndex = 0;
    while (start < text.size()) {
        const std::size_t cutLength = cuts.empty() ? 1 : cuts[cutIndex++ % cuts.size()] % 8;
        const std::size_t length = std::min(cutLength, text.size() - start);
        const auto chunkEvents = chunkedParser.feed(std::string_view(text).substr(start, length));
        RC_ASSERT(chunkEvents.has_value());
        events.insert(events.end(), chunkEvents.value().begin(), chunkEvents.value().end());
        start += length;
        if (cutLength == 0 && cutIndex >= cuts.size()) {
            break;
        }
    }
    if (start >= text.size()) {
        RC_ASSERT(events == expected.value());
        RC_ASSERT(chunkedParser.isInEvent() == wholeParser.isInEvent());
    }
}

/// @brief Checks that a formatted event is parsed back unchanged.
inline void checkSseRoundTrip(std::uint64_t id, std::string data)
{
    std::replace(data.begin(), data.end(), '\r', ' ');
    const SseEvent event{id, data};
    SseParser parser;
    const auto events = parser.feed(formatSseEvent(event));
    RC_ASSERT(events.has_value());
    RC_ASSERT(events.value() == std::vector<SseEvent>{event});
}

/// @brief Checks that an accepted model name has only one spelling.
inline void checkModelName(const std::string &text)
{
    const auto name = parseModelName(text);
    if (name) {
        const std::string base = name->base.empty() ? "" : name->base.str() + "/";
        RC_ASSERT(base + name->adapter.str() + "@" + std::to_string(name->version.number())
                  == text);
    }
}

/// @brief Checks that an accepted path has only one spelling and keeps its parts.
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

/// @brief Checks every property; the number of cases comes from RC_PARAMS.
/// @return true where all hold
inline bool checkGatewayParsers()
{
    bool allHold = rc::check("bodies agree with a JSON document",
                             [] { checkModelRequest(*nearlyValidBody()); });
    allHold = rc::check("bodies of random tokens",
                        [] {
                            checkModelRequest(*textFromTokens(
                                    {"{", "}", "[", "]", ":", ",", "\"model\"", "\"messages\"",
                                     "\"a\"", "1", "true", "\\", "\"", " ", "\xc3\xa9"}));
                        })
            && allHold;
    allHold = rc::check("event streams in chunks",
                        [](const std::vector<std::uint8_t> &cuts) {
                            checkSseChunking(*textFromTokens({"id: ", "data: ", "data:", ":", "\n",
                                                              "\r", "\r\n", "\n\n", "7", "x",
                                                              "[DONE]", "event: e"}),
                                             cuts);
                        })
            && allHold;
    allHold = rc::check("events formatted and parsed", checkSseRoundTrip) && allHold;
    allHold = rc::check("model names",
                        [] {
                            checkModelName(
                                    *textFromTokens({"@", "/", "a", "0", "1", "12", "-", "+"}));
                        })
            && allHold;
    allHold = rc::check("service paths",
                        [] {
                            checkServicePath(*textFromTokens({"/", "//", ".", "..", "%2f", "lots",
                                                              "bookings", "?", "\\", ";"}));
                        })
            && allHold;
    return allHold;
}

} // namespace balsamport::testing

#endif
