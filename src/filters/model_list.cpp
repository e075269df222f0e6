#include <balsamport/filters/model_list.h>

#include <balsamport/core/http_status.h>
#include <balsamport/filters/response.h>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace balsamport {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void writeModel(Writer &writer, const std::string &id)
{
    writer.StartObject();
    writer.Key("id");
    writer.String(id.c_str());
    writer.Key("object");
    writer.String("model");
    writer.Key("created");
    writer.Uint(0);
    writer.Key("owned_by");
    writer.String("balsamport");
    writer.EndObject();
}

std::string modelListBody(const Snapshot &snapshot)
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("object");
    writer.String("list");
    writer.Key("data");
    writer.StartArray();
    for (const auto &[alias, route] : snapshot.routes) {
        writeModel(writer, alias);
    }
    for (const auto &[id, adapter] : snapshot.adapters) {
        if (!adapter.versions.empty()) {
            writeModel(writer, id.str() + "@" + std::to_string(adapter.versions.back().number()));
        }
    }
    writer.EndArray();
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace

Filter makeModelListFilter()
{
    return [](const ContextPtr &context, const Next & /*next*/) {
        if (context->request->method != "GET") {
            failRequest(context, {ErrorCode::MethodNotAllowed, "this path takes GET only"});
            return;
        }
        completeRequest(context,
                        {httpstatus::ok,
                         {{std::string(headername::contentType), "application/json"}},
                         modelListBody(*context->snapshot)});
    };
}

} // namespace balsamport
