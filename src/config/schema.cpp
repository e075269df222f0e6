#include <balsamport/config/schema.h>

#include <array>
#include <sstream>

namespace balsamport {

namespace {

constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = kibibyte * kibibyte;
constexpr std::int64_t gibibyte = kibibyte * mebibyte;
constexpr std::int64_t millisPerHour = 3'600'000;
constexpr std::int64_t maxCount = 4'294'967'295;
constexpr std::int64_t maxPriority = 100;

KeySchema integer(std::string_view key, std::string_view defaultText, std::int64_t minimum,
                  std::int64_t maximum, std::string_view unit, std::string_view help)
{
    return {key, ValueKind::Integer, false, defaultText, minimum, maximum, unit, help};
}

KeySchema requiredInteger(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                          std::string_view unit, std::string_view help)
{
    return {key, ValueKind::Integer, true, "", minimum, maximum, unit, help};
}

KeySchema required(std::string_view key, ValueKind kind, std::string_view help)
{
    return {key, kind, true, "", 0, 0, "", help};
}

KeySchema optional(std::string_view key, ValueKind kind, std::string_view defaultText,
                   std::string_view help)
{
    return {key, kind, false, defaultText, 0, 0, "", help};
}

KeySchema priorityKey()
{
    return integer("priority", "0", -maxPriority, maxPriority, "", "higher goes first");
}

SectionSchema dataCentreSection()
{
    return {"data-centre",
            true,
            "A data centre.",
            {required("region", ValueKind::Name, "region that it lies in"),
             optional("has-weight-store", ValueKind::Boolean, "false",
                      "the weight store stands in its region")}};
}

SectionSchema backendServerSection()
{
    return {"backend-server",
            true,
            "A model engine or a plain service's replica.",
            {optional("kind", ValueKind::BackendKind, "engine", "what it runs"),
             required("address", ValueKind::Address, "where it listens"),
             required("data-centre", ValueKind::Name, "data centre that it stands in"),
             optional("base", ValueKind::Name, "", "base model; engines only, and required there"),
             optional("service", ValueKind::Name, "", "service; plain services only"),
             integer("slots", "8", 1, 4096, "adapters", "adapters that fit at once"),
             integer("batch-width", "16", 1, 4096, "requests", "requests that run at once"),
             optional("mixes-adapters", ValueKind::Boolean, "true",
                      "one batch may hold several adapters"),
             optional("checks-fencing", ValueKind::Boolean, "false",
                      "refuses orders with an old fencing number"),
             optional("leaving", ValueKind::Boolean, "false", "gets no new work")}};
}

SectionSchema adapterSection()
{
    return {"adapter",
            true,
            "An adapter and its versions.",
            {required("base", ValueKind::Name, "base model that it belongs to"),
             required("versions", ValueKind::VersionList, "versions that exist"),
             integer("bytes", "0", 0, 64 * gibibyte, "bytes", "size of one version's weights")}};
}

SectionSchema adapterRangeSection()
{
    return {"adapter-range",
            true,
            "Adapters with regular names: the section's id followed by a number.",
            {requiredInteger("first", 0, maxCount, "", "first number"),
             requiredInteger("last", 0, maxCount, "", "last number"),
             required("base", ValueKind::Name, "base model that they belong to"),
             required("versions", ValueKind::VersionList, "versions that exist of each"),
             integer("bytes", "0", 0, 64 * gibibyte, "bytes", "size of one version's weights")}};
}

SectionSchema routeSection()
{
    return {"route",
            true,
            "An alias that callers use as a model's name. Give `target` or `targets`.",
            {optional("target", ValueKind::Target, "", "adapter version that it leads to"),
             optional("targets", ValueKind::TargetList, "",
                      "adapter versions with shares of the requests"),
             optional("preload", ValueKind::TargetList, "",
                      "adapter versions to load ahead of a switch"),
             priorityKey()}};
}

SectionSchema serviceSection()
{
    return {"service",
            true,
            "A plain service.",
            {optional("non-repeatable", ValueKind::CallList, "", "calls that run at most once"),
             priorityKey(),
             integer("timeout-ms", "10000", 1, millisPerHour, "ms", "longest wait for an answer")}};
}

SectionSchema callerClassSection()
{
    return {"caller-class",
            true,
            "A class of callers, with its fair share under overload.",
            {requiredInteger("weight", 1, 10'000, "", "share relative to the other classes"),
             priorityKey(),
             integer("queue-limit", "256", 1, 1'000'000, "requests",
                     "requests that may wait on one backend server")}};
}

SectionSchema callerSection()
{
    return {"caller",
            true,
            "A caller, known by the SHA-256 of its key.",
            {required("key-sha256", ValueKind::Sha256, "SHA-256 of the caller's key"),
             required("class", ValueKind::Name, "class of callers")}};
}

SectionSchema limitsSection()
{
    return {"limits",
            false,
            "Limits that hold for the whole fleet.",
            {integer("body-bytes", "1048576", 1, 64 * mebibyte, "bytes", "largest request body"),
             integer("stream-buffer-bytes", "65536", kibibyte, 64 * mebibyte, "bytes",
                     "held for each slow caller"),
             integer("store-loads-per-thousand-seconds", "2400", 1, 100'000'000, "loads",
                     "rate of the weight store"),
             integer("store-in-flight", "8", 1, 4096, "loads", "loads under way at once"),
             integer("link-bytes-per-second", "1000000", 0, 100 * gibibyte, "bytes",
                     "the fleet's budget on the link between regions"),
             integer("weight-percent", "50", 0, 100, "percent",
                     "0: only load stalls count; 100: only batch fill counts"),
             integer("gather-time", "20", 0, 10'000, "ms", "longest wait to fill a batch"),
             integer("request-timeout", "60000", 1, 24 * millisPerHour, "ms",
                     "longest time of a request"),
             integer("handover-wait", "3000", 100, 600'000, "ms",
                     "before a new owner gives orders"),
             integer("view-lifetime", "2000", 100, 60'000, "ms",
                     "an unconfirmed view is stale after this time"),
             integer("retry-horizon", "30000", 0, millisPerHour, "ms",
                     "how long a caller may repeat a key of unknown age"),
             integer("clock-skew", "2000", 0, 600'000, "ms", "largest difference of wall clocks"),
             integer("claim-table-size", "1000000", 1, 100'000'000, "keys",
                     "keys that a witness remembers"),
             integer("retry-percent", "10", 0, 100, "percent",
                     "retries allowed, as a share of recent successes"),
             integer("quarantine-time", "600000", 0, 24 * millisPerHour, "ms",
                     "how long a request that crashes backend servers is refused")}};
}

std::string_view formatDescription(ValueKind kind) noexcept
{
    constexpr std::array<std::string_view, 11> names
            = {"a text that is not empty",
               "a name of letters, digits and -_.:",
               "true or false",
               "an integer",
               "IP:PORT",
               "64 hexadecimal digits, lower case",
               "engine or service",
               "ascending version numbers from 1, separated by commas",
               "ADAPTER@VERSION",
               "ADAPTER@VERSION or ADAPTER@VERSION:SHARE, separated by commas",
               "METHOD or METHOD /PATH, separated by commas"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace

const std::vector<SectionSchema> &configSchema()
{
    static const std::vector<SectionSchema> schema
            = {dataCentreSection(),   backendServerSection(), adapterSection(),
               adapterRangeSection(), routeSection(),         serviceSection(),
               callerClassSection(),  callerSection(),        limitsSection()};
    return schema;
}

const SectionSchema *findSectionSchema(std::string_view name) noexcept
{
    for (const SectionSchema &section : configSchema()) {
        if (section.name == name) {
            return &section;
        }
    }
    return nullptr;
}

const KeySchema *findKeySchema(const SectionSchema &section, std::string_view key) noexcept
{
    for (const KeySchema &known : section.keys) {
        if (known.key == key) {
            return &known;
        }
    }
    return nullptr;
}

std::string describeExpected(const KeySchema &key)
{
    std::string text(formatDescription(key.kind));
    if (key.kind == ValueKind::Integer) {
        text += " from " + std::to_string(key.minimum) + " to " + std::to_string(key.maximum);
    }
    return text;
}

std::string schemaAsMarkdown()
{
    std::ostringstream out;
    for (const SectionSchema &section : configSchema()) {
        out << "### [" << section.name << (section.hasId ? " ID" : "") << "]\n\n"
            << section.help << "\n\n"
            << "| key | value | default | unit | meaning |\n|---|---|---|---|---|\n";
        for (const KeySchema &key : section.keys) {
            const std::string defaultValue
                    = key.required ? "required" : std::string(key.defaultText);
            out << "| " << key.key << " | " << describeExpected(key) << " | " << defaultValue
                << " | " << key.unit << " | " << key.help << " |\n";
        }
        out << "\n";
    }
    return out.str();
}

} // namespace balsamport
