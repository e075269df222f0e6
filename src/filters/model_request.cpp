#include <balsamport/filters/model_request.h>

#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <limits>

namespace balsamport {

namespace {

/// What the value of a member of the outermost object must be.
enum class Member : std::uint8_t {
    Other,
    Model,
    Stream,
    MaxTokens,
    Prompt,
};

/// Takes the events of the reader; returning false stops it.
class Handler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, Handler>
{
public:
    Handler(const rapidjson::MemoryStream &stream, std::string_view promptMember)
        : stream(stream)
        , promptMember(promptMember)
    { }

    bool Default() // NOLINT(readability-identifier-naming): RapidJSON's name
    {
        return this->scalar(Member::Other);
    }
    bool Bool(bool value) // NOLINT(readability-identifier-naming)
    {
        if (this->current == Member::Stream && this->depth == 1) {
            this->request.stream = value;
        }
        return this->scalar(Member::Stream);
    }
    bool Null() // NOLINT(readability-identifier-naming)
    {
        // A null stands for a member that is not given.
        const bool allowed = this->current != Member::Model && this->current != Member::Prompt;
        if (this->depth == 1 && allowed) {
            this->current = Member::Other;
        }
        return this->scalar(Member::Other);
    }
    bool Uint(unsigned value) // NOLINT(readability-identifier-naming)
    {
        if (this->current == Member::MaxTokens && this->depth == 1) {
            this->request.maxTokens = value;
        }
        return this->scalar(Member::MaxTokens);
    }
    bool String(const char *text, rapidjson::SizeType length, bool /*copy*/) // NOLINT
    {
        if (this->depth != 1) {
            return this->scalar(Member::Other);
        }
        if (this->current == Member::Model) {
            this->request.model.assign(text, length);
            this->request.modelEnd = this->stream.Tell();
        }
        if (this->current == Member::Prompt) {
            this->promptSeen = true;
            return this->scalar(Member::Prompt);
        }
        return this->scalar(Member::Model);
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
        if (this->depth == 1 && this->current != Member::Other) {
            return this->refuse("a member has the wrong type");
        }
        return this->enter();
    }
    bool EndObject(rapidjson::SizeType /*members*/) { return this->leave(); } // NOLINT
    bool StartArray() // NOLINT(readability-identifier-naming)
    {
        if (this->depth == 0) {
            return this->refuse("the body must be an object");
        }
        if (this->depth == 1 && this->current == Member::Prompt) {
            this->promptSeen = true;
        } else if (this->depth == 1 && this->current != Member::Other) {
            return this->refuse("a member has the wrong type");
        }
        return this->enter();
    }
    bool EndArray(rapidjson::SizeType /*elements*/) { return this->leave(); } // NOLINT

    ModelRequest request;
    std::string fault;
    std::size_t afterModelKey = 0;
    bool modelSeen = false;
    bool promptSeen = false;

private:
    bool refuse(const char *why)
    {
        this->fault = why;
        return false;
    }
    /// Checks the kind of a scalar value against the member that it belongs to.
    bool scalar(Member kind)
    {
        if (this->depth == 0) {
            return this->refuse("the body must be an object");
        }
        if (this->depth == 1 && this->current != Member::Other && this->current != kind) {
            return this->refuse("a member has the wrong type");
        }
        return true;
    }
    bool enter()
    {
        this->depth += 1;
        return this->depth <= maxJsonDepth || this->refuse("the body is nested too deeply");
    }
    bool leave()
    {
        this->depth -= 1;
        return true;
    }
    bool startMember(std::string_view name)
    {
        this->current = Member::Other;
        if (name == "model") {
            if (this->modelSeen) {
                return this->refuse("\"model\" is given twice");
            }
            this->modelSeen = true;
            this->afterModelKey = this->stream.Tell();
            this->current = Member::Model;
        } else if (name == "stream") {
            this->current = Member::Stream;
        } else if (name == "max_tokens" || name == "max_completion_tokens") {
            this->current = Member::MaxTokens;
        } else if (name == this->promptMember) {
            this->current = Member::Prompt;
        }
        return true;
    }

    const rapidjson::MemoryStream &stream;
    const std::string_view promptMember;
    Member current = Member::Other;
    std::uint32_t depth = 0;
};

Result<ModelRequest> checkMembers(const Handler &handler, std::string_view body,
                                  std::string_view promptMember)
{
    if (!handler.modelSeen || handler.request.model.empty()) {
        return Error{ErrorCode::InvalidRequest, "\"model\" is missing"};
    }
    if (!handler.promptSeen) {
        return Error{ErrorCode::InvalidRequest, "\"" + std::string(promptMember) + "\" is missing"};
    }
    ModelRequest request = handler.request;
    // Between the key and its value stand only a colon and white space.
    request.modelBegin = body.find('"', handler.afterModelKey);
    return request;
}

} // namespace

Result<ModelRequest> parseModelRequest(std::string_view body, std::string_view promptMember)
{
    rapidjson::MemoryStream stream(body.data(), body.size());
    Handler handler(stream, promptMember);
    rapidjson::Reader reader;
    constexpr unsigned flags
            = rapidjson::kParseValidateEncodingFlag | rapidjson::kParseIterativeFlag;
    const rapidjson::ParseResult result = reader.Parse<flags>(stream, handler);
    if (!handler.fault.empty()) {
        return Error{ErrorCode::InvalidRequest, handler.fault};
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
