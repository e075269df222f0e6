#include <balsamport/filters/model_request.h>

#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <limits>

namespace balsamport {

namespace {

/// Members of the outermost object whose values are checked.
enum class BodyMember : std::uint8_t {
    Other,
    Model,
    Stream,
    MaxTokens,
    Prompt,
};

/// Handles the events of the JSON reader; returning false stops the reader.
class BodyHandler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, BodyHandler>
{
public:
    BodyHandler(const rapidjson::MemoryStream &stream, std::string_view promptMember)
        : stream(stream)
        , promptMember(promptMember)
    { }

    bool Default() // NOLINT(readability-identifier-naming): RapidJSON's name
    {
        return this->checkScalar(BodyMember::Other);
    }
    bool Bool(bool value) // NOLINT(readability-identifier-naming)
    {
        if (this->current == BodyMember::Stream && this->depth == 1) {
            this->request.stream = value;
        }
        return this->checkScalar(BodyMember::Stream);
    }
    bool Null() // NOLINT(readability-identifier-naming)
    {
        // A null is treated as a missing member.
        const bool allowed
                = this->current != BodyMember::Model && this->current != BodyMember::Prompt;
        if (this->depth == 1 && allowed) {
            this->current = BodyMember::Other;
        }
        return this->checkScalar(BodyMember::Other);
    }
    bool Uint(unsigned value) // NOLINT(readability-identifier-naming)
    {
        if (this->current == BodyMember::MaxTokens && this->depth == 1) {
            this->request.maxTokens = value;
        }
        return this->checkScalar(BodyMember::MaxTokens);
    }
    bool String(const char *text, rapidjson::SizeType length, bool /*copy*/) // NOLINT
    {
        if (this->depth != 1) {
            return this->checkScalar(BodyMember::Other);
        }
        if (this->current == BodyMember::Model) {
            this->request.model.assign(text, length);
            this->request.modelEnd = this->stream.Tell();
        }
        if (this->current == BodyMember::Prompt) {
            this->promptSeen = true;
            return this->checkScalar(BodyMember::Prompt);
        }
        return this->checkScalar(BodyMember::Model);
    }
    bool Key(const char *text, rapidjson::SizeType length, bool /*copy*/) // NOLINT
    {
        if (this->depth == 1) {
            return this->startMember(std::string_view(text, length));
        }
        return true;
    }
    bool StartObject() // NOLINT(readability-identifier-naming)
    {
        if (this->depth == 1 && this->current != BodyMember::Other) {
            return this->fail("a member has the wrong type");
        }
        return this->enterNested();
    }
    bool EndObject(rapidjson::SizeType /*members*/) { return this->leaveNested(); } // NOLINT
    bool StartArray() // NOLINT(readability-identifier-naming)
    {
        if (this->depth == 0) {
            return this->fail("the body must be an object");
        }
        if (this->depth == 1 && this->current == BodyMember::Prompt) {
            this->promptSeen = true;
        } else if (this->depth == 1 && this->current != BodyMember::Other) {
            return this->fail("a member has the wrong type");
        }
        return this->enterNested();
    }
    bool EndArray(rapidjson::SizeType /*elements*/) { return this->leaveNested(); } // NOLINT

    ModelRequest request;
    std::string errorDetail;
    std::size_t modelKeyEnd = 0;
    bool modelSeen = false;
    bool promptSeen = false;

private:
    bool fail(const char *detail)
    {
        this->errorDetail = detail;
        return false;
    }
    /// Checks that a scalar value has the type of the member that it belongs to.
    bool checkScalar(BodyMember kind)
    {
        if (this->depth == 0) {
            return this->fail("the body must be an object");
        }
        if (this->depth == 1 && this->current != BodyMember::Other && this->current != kind) {
            return this->fail("a member has the wrong type");
        }
        return true;
    }
    bool enterNested()
    {
        this->depth += 1;
        return this->depth <= maxJsonDepth || this->fail("the body is nested too deeply");
    }
    bool leaveNested()
    {
        this->depth -= 1;
        return true;
    }
    bool startMember(std::string_view name)
    {
        this->current = BodyMember::Other;
        if (name == "model") {
            if (this->modelSeen) {
                return this->fail("\"model\" is given twice");
            }
            this->modelSeen = true;
            this->modelKeyEnd = this->stream.Tell();
            this->current = BodyMember::Model;
        } else if (name == "stream") {
            this->current = BodyMember::Stream;
        } else if (name == "max_tokens" || name == "max_completion_tokens") {
            this->current = BodyMember::MaxTokens;
        } else if (name == this->promptMember) {
            this->current = BodyMember::Prompt;
        }
        return true;
    }

    const rapidjson::MemoryStream &stream;
    const std::string_view promptMember;
    BodyMember current = BodyMember::Other;
    std::uint32_t depth = 0;
};

Result<ModelRequest> checkMembers(const BodyHandler &handler, std::string_view body,
                                  std::string_view promptMember)
{
    if (!handler.modelSeen || handler.request.model.empty()) {
        return Error{ErrorCode::InvalidRequest, "\"model\" is missing"};
    }
    if (!handler.promptSeen) {
        return Error{ErrorCode::InvalidRequest, "\"" + std::string(promptMember) + "\" is missing"};
    }
    ModelRequest request = handler.request;
    // Between the key and its value there are only a colon and white space.
    request.modelBegin = body.find('"', handler.modelKeyEnd);
    return request;
}

} // namespace

Result<ModelRequest> parseModelRequest(std::string_view body, std::string_view promptMember)
{
    rapidjson::MemoryStream stream(body.data(), body.size());
    BodyHandler handler(stream, promptMember);
    rapidjson::Reader reader;
    constexpr unsigned flags
            = rapidjson::kParseValidateEncodingFlag | rapidjson::kParseIterativeFlag;
    const rapidjson::ParseResult result = reader.Parse<flags>(stream, handler);
    if (!handler.errorDetail.empty()) {
        return Error{ErrorCode::InvalidRequest, handler.errorDetail};
    }
    if (result.IsError()) {
        return Error{ErrorCode::InvalidJson,
                     std::string(rapidjson::GetParseError_En(result.Code())) + " At byte "
                             + std::to_string(result.Offset()) + "."};
    }
    return checkMembers(handler, body, promptMember);
}

std::string withModel(std::string_view body, const ModelRequest &request, std::string_view model)
{
    rapidjson::StringBuffer quoted;
    rapidjson::Writer<rapidjson::StringBuffer> writer(quoted);
    writer.String(model.data(), static_cast<rapidjson::SizeType>(model.size()));
    std::string changed;
    changed.reserve(body.size() + quoted.GetSize());
    changed.append(body.substr(0, request.modelBegin));
    changed.append(quoted.GetString(), quoted.GetSize());
    changed.append(body.substr(request.modelEnd));
    return changed;
}

} // namespace balsamport
