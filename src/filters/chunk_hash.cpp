#include <balsamport/filters/chunk_hash.h>

#include <balsamport/core/hash.h>

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

namespace balsamport {

namespace {

/// Handles the events of the JSON reader and hashes the text members.
class TextHashHandler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, TextHashHandler>
{
public:
    bool Default() // NOLINT(readability-identifier-naming): RapidJSON's name
    {
        this->inText = false;
        return true;
    }
    bool Key(const char *text, rapidjson::SizeType length, bool /*copy*/) // NOLINT
    {
        const std::string_view name(text, length);
        this->inText = name == "content" || name == "text";
        return true;
    }
    bool String(const char *text, rapidjson::SizeType length, bool /*copy*/) // NOLINT
    {
        if (this->inText) {
            this->hash = hash64(std::string_view(text, length), this->hash);
        }
        this->inText = false;
        return true;
    }

    std::uint64_t hash = 0;

private:
    bool inText = false;
};

} // namespace

Result<std::uint64_t> hashChunkText(std::string_view data)
{
    rapidjson::MemoryStream stream(data.data(), data.size());
    TextHashHandler handler;
    rapidjson::Reader reader;
    constexpr unsigned flags
            = rapidjson::kParseValidateEncodingFlag | rapidjson::kParseIterativeFlag;
    if (reader.Parse<flags>(stream, handler).IsError()) {
        return Error{ErrorCode::BadResponse, "a chunk of the stream is not JSON"};
    }
    return handler.hash;
}

} // namespace balsamport
