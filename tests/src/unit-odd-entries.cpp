// Guards against entries of other writers of the store that cannot be right and are applied all the
// same: a backend server at an impossible address, numbers that are cut to fit, deep nesting that
// exhausts the stack.

#include "entries.h"
#include "settings_file.h"
#include "wire_dialect.h"

#include <balsamport/edge/published_message.h>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <limits>
#include <random>

using namespace balsamport;
using namespace balsamport::platform;

namespace {

/// Nesting at which a parser that recurses exhausts a stack of 8 MiB.
constexpr std::size_t deepLevels = 200'000;
constexpr std::uint32_t fuzzSeed = 20261205;
constexpr int fuzzEntries = 20'000;

struct OddEntry
{
    std::string field;
    std::string value;
};

std::string nested(std::size_t levels, bool closed)
{
    return std::string(levels, '[') + (closed ? std::string(levels, ']') : std::string());
}

std::string serverText(const std::string &address, const std::string &rest)
{
    return fmt::format(
            R"({{"service":"app","address":{},"zone":"a","version":"v1","state":"ready",{}}})",
            address, rest);
}

std::string serverWith(const std::string &rest)
{
    return serverText(R"("10.0.0.9:80")", rest);
}

std::string configWithRoute(const std::string &members)
{
    return fmt::format(R"({{"version":7,"routes":[{{"name":"r","host":"h","prefix":"/a/",)"
                       R"("kind":"unsafe",{}}}],"services":[{{"name":"app"}}]}})",
                       members);
}

std::string configWithEngine(const std::string &members)
{
    return fmt::format(R"({{"version":7,"routes":[],"services":[{{"name":"llm","engine":{{)"
                       R"("models":[{{"name":"m"}}],{}}}}}]}})",
                       members);
}

std::string versionWith(const std::string &number)
{
    return R"({"model":"m","adapter":"a3","version":)" + number + "}";
}

Result<EntryContent> read(const std::string &key, const std::string &value)
{
    return readEntry({key, value, StoreRevision(3), false});
}

void requireRefused(const std::string &key, const OddEntry &odd)
{
    CAPTURE(key, odd.field, odd.value.substr(0, 300));
    const auto content = read(key, odd.value);
    REQUIRE(content.has_error());
    REQUIRE(content.error().code == ErrorCode::ConfigInvalidValue);
    REQUIRE(content.error().location.key == odd.field);
}

/// @return true if the address is IPv4:PORT, decided by other means than the code under test
bool isAddress(const std::string &text)
{
    unsigned int bytes[4] = {};
    unsigned int port = 0;
    constexpr int fields = 5;
    constexpr unsigned int maxByte = 255;
    constexpr unsigned int maxPort = 65'535;
    if (std::sscanf(text.c_str(), "%u.%u.%u.%u:%u", &bytes[0], &bytes[1], &bytes[2], &bytes[3],
                    &port)
                != fields
        || port == 0 || port > maxPort) {
        return false;
    }
    for (const unsigned int byte : bytes) {
        if (byte > maxByte) {
            return false;
        }
    }
    return text == fmt::format("{}.{}.{}.{}:{}", bytes[0], bytes[1], bytes[2], bytes[3], port);
}

bool isInRange(const EdgeConfig &config)
{
    constexpr Millis longest{1'000'000'000'000};
    for (const auto &[host, routes] : config.routesByHost) {
        for (const EdgeRoute &route : routes) {
            if (route.timeout < Millis(0) || route.timeout > longest || route.objective < Millis(0)
                || route.objective > longest || route.priority < 0) {
                return false;
            }
        }
    }
    return true;
}

bool isInRange(const EntryContent &content)
{
    if (const auto *server = std::get_if<ServerEntry>(&content)) {
        return isAddress(server->address) && server->slots > 0 && server->startedAtWallMs >= 0;
    }
    const auto *config = std::get_if<EdgeConfig>(&content);
    return config == nullptr || isInRange(*config);
}

/// @return a valid entry with one to three random changes
std::string mutate(std::string text, std::mt19937 &random)
{
    static const std::vector<std::string> pieces{"1e999",
                                                 "1e308",
                                                 "-1",
                                                 "18446744073709551615",
                                                 "-9223372036854775808",
                                                 "70000",
                                                 "0",
                                                 "0.5",
                                                 "null",
                                                 "[]",
                                                 "{}",
                                                 "\"\"",
                                                 " ",
                                                 "\\u0000",
                                                 "\xff",
                                                 "\r\n",
                                                 "[[[[[[[[[[[[",
                                                 ":",
                                                 ".",
                                                 "99999999",
                                                 "\"x\":1,"};
    const auto upTo = [&](std::size_t last) {
        return std::uniform_int_distribution<std::size_t>(0, last)(random);
    };
    const std::size_t changes = 1 + upTo(2);
    for (std::size_t i = 0; i < changes; ++i) {
        const std::size_t position = upTo(text.size());
        const std::string &piece = pieces[upTo(pieces.size() - 1)];
        switch (upTo(3)) {
        case 0:
            text.insert(position, piece);
            break;
        case 1:
            text.erase(position, upTo(8));
            break;
        case 2:
            text.replace(position, upTo(8), piece);
            break;
        default:
            // A number gets another value; other changes mostly spoil the syntax.
            const std::size_t digit = text.find_first_of("0123456789", position);
            if (digit != std::string::npos) {
                const std::size_t end = text.find_first_not_of("0123456789", digit);
                text.replace(digit, end - digit, piece);
            }
        }
    }
    return text;
}

} // namespace

TEST_CASE("an entry of a backend server")
{
    SECTION("is read with the first and the last port, and without the optional fields")
    {
        for (const char *address : {R"("10.0.0.9:1")", R"("223.255.255.255:65535")"}) {
            REQUIRE(read("servers/i-1", serverText(address, R"("slots":6)")).has_value());
        }
        const auto full
                = read("servers/i-1",
                       serverWith(R"("slots":4294967295,"born":1796400000000,"sequence":4)"));
        REQUIRE(std::get<ServerEntry>(full.value()).slots == 4'294'967'295U);
        REQUIRE(std::get<ServerEntry>(full.value()).startedAtWallMs == 1'796'400'000'000);
    }

    SECTION("is refused if its address is not IPv4:PORT")
    {
        const std::string manyDigits(60, '9');
        for (const std::string &address : {std::string("10.0.0.9:70000"),
                                           std::string("10.0.0.9:65536"),
                                           std::string("10.0.0.9:0"),
                                           std::string("10.0.0.9:-1"),
                                           std::string("10.0.0.9:+80"),
                                           std::string("10.0.0.9:080"),
                                           "10.0.0.9:" + manyDigits,
                                           std::string("10.0.0.9:"),
                                           std::string("10.0.0.9"),
                                           std::string(":80"),
                                           std::string(),
                                           std::string("host:80"),
                                           std::string("10.0.0:80"),
                                           std::string("10.0.0.256:80"),
                                           std::string("10.0.0.09:80"),
                                           std::string("10.0.0.9.1:80"),
                                           std::string("0.0.0.0:80"),
                                           std::string("224.0.0.1:80"),
                                           std::string("[::1]:80"),
                                           std::string(" 10.0.0.9:80"),
                                           std::string("10.0.0.9:80 "),
                                           std::string("10.0.0.9 :80"),
                                           std::string(R"(10.0.0.9:80\r\n)"),
                                           std::string(R"(10.0.0.9:80\r\nX-Evil: 1)"),
                                           std::string(R"(10.0.0.9:80\u0000)"),
                                           std::string(R"(\u000010.0.0.9:80)"),
                                           std::string("10.0.0.9:80/x"),
                                           std::string("u@10.0.0.9:80")}) {
            requireRefused("servers/i-1",
                           {"address", serverText('"' + address + '"', R"("slots":6)")});
        }
        for (const char *noText : {"80", "[]", "null", "{}"}) {
            requireRefused("servers/i-1", {"address", serverText(noText, R"("slots":6)")});
        }
    }

    SECTION("is refused if a number is out of range")
    {
        for (const char *slots : {"4294967296", "18446744073709551615", "18446744073709551616",
                                  "1e40", "-1", "0", "6.5", "\"6\"", "null"}) {
            requireRefused("servers/i-1",
                           {"slots", serverWith(fmt::format(R"("slots":{})", slots))});
        }
        for (const char *born : {"-1", "-9223372036854775808", "9223372036854775808", "1e308",
                                 "17.5", "\"17\"", "[]"}) {
            requireRefused("servers/i-1",
                           {"born", serverWith(fmt::format(R"("slots":6,"born":{})", born))});
        }
        for (const char *count : {"-1", "18446744073709551616", "1e308", "{}"}) {
            requireRefused(
                    "servers/i-1",
                    {"sequence", serverWith(fmt::format(R"("slots":6,"sequence":{})", count))});
        }
    }

    SECTION("is refused if it is no JSON object")
    {
        for (const std::string &text :
             {std::string(), std::string("null"), std::string("[1]"), std::string("\xff\xfe"),
              std::string("\0\0", 2), serverWith(R"("slots":1e999)"), nested(deepLevels, true),
              nested(deepLevels, false), serverWith("\"slots\":6,\"x\":\"\xff\"")}) {
            requireRefused("servers/i-1", {"", text});
        }
    }

    SECTION("is read if only a field that is not used is deeply nested or large")
    {
        REQUIRE(read("servers/i-1", serverWith("\"slots\":6,\"x\":" + nested(deepLevels, true)))
                        .has_value());
        REQUIRE(read("servers/i-1", serverWith(R"("slots":6,"x":1e308)")).has_value());
    }

    SECTION("is refused if its id could not be sent in a header")
    {
        for (const std::string &id : {std::string(), std::string("i 1"), std::string("i\r\nX: 1"),
                                      std::string("i\0", 2), std::string("i\xff")}) {
            requireRefused("servers/" + id, {"key", serverWith(R"("slots":6)")});
        }
    }

    SECTION("is refused in the same way when a peer sent it")
    {
        const PublishedEntry entry{"servers/i-1", serverText(R"("10.0.0.9:70000")", R"("slots":6)"),
                                   StoreRevision(3), false};
        const auto received = decodeEntries(encodeEntries({entry}));
        REQUIRE(readEntry(received.value().front()).error() == readEntry(entry).error());
        REQUIRE(readEntry(entry).error().location.key == "address");
    }
}

TEST_CASE("a configuration")
{
    SECTION("is read with the largest numbers, with fractions of milliseconds and without any")
    {
        REQUIRE(read("op/config",
                     configWithRoute(
                             R"("service":"app","timeout_ms":1000000000000,)"
                             R"("target_latency_ms":0.5,"priority":0,"target_gap_ms":null)"))
                        .has_value());
        REQUIRE(read("op/config", configWithRoute(R"("service":"app")")).has_value());
        REQUIRE(read("op/config", configWithEngine(R"("slots":64,"kv_capacity":148252)"))
                        .has_value());
    }

    SECTION("is refused if a time is out of range or no number")
    {
        for (const char *field : {"timeout_ms", "target_latency_ms", "target_gap_ms"}) {
            for (const char *number :
                 {"-1", "-0.5", "1e13", "1e40", "1e308", "18446744073709551615",
                  "-9223372036854775808", "\"5\"", "[]", "true"}) {
                requireRefused("op/config",
                               {field,
                                configWithRoute(
                                        fmt::format(R"("service":"app","{}":{})", field, number))});
            }
        }
    }

    SECTION("is refused if a count, a rank or a weight is out of range or no number")
    {
        for (const char *number : {"-1", "4294967296", "1e40", "18446744073709551615",
                                   "-9223372036854775808", "\"5\"", "0.5"}) {
            for (const char *field : {"priority", "max_attempts"}) {
                requireRefused("op/config",
                               {field,
                                configWithRoute(
                                        fmt::format(R"("service":"app","{}":{})", field, number))});
            }
            requireRefused(
                    "op/config",
                    {"weight",
                     configWithRoute(fmt::format(
                             R"("traffic_split":[{{"service":"app","weight":{}}}])", number))});
            for (const char *field : {"slots", "adapter_slots"}) {
                requireRefused("op/config",
                               {field, configWithEngine(fmt::format(R"("{}":{})", field, number))});
            }
            requireRefused("op/config",
                           {"priority",
                            fmt::format(R"({{"version":7,"routes":[],"services":[],"tenants":[)"
                                        R"({{"name":"x","api_keys":[],"priority":{}}}]}})",
                                        number)});
        }
        for (const char *number : {"-1", "9007199254740993", "1e40", "18446744073709551615"}) {
            requireRefused(
                    "op/config",
                    {"kv_capacity", configWithEngine(fmt::format(R"("kv_capacity":{})", number))});
        }
    }

    SECTION("is refused if no later version could follow its version")
    {
        for (const char *number : {"18446744073709551615", "9223372036854775808", "1e40", "-1"}) {
            requireRefused("op/config",
                           {"version",
                            fmt::format(R"({{"version":{},"routes":[],"services":[]}})", number)});
        }
    }
}

TEST_CASE("a declared version is refused if it is out of range")
{
    REQUIRE(read("op/version/m.a3", versionWith("2")).has_value());
    for (const char *number :
         {"-1", "18446744073709551615", "9223372036854775808", "1e40", "1.5", "\"2\"", "null"}) {
        requireRefused("op/version/m.a3", {"version", versionWith(number)});
    }
}

TEST_CASE("a response of the store")
{
    const auto page = [](const std::string &revision, const std::string &items) {
        return readPage(HttpResponse{
                200, {}, R"({"current_rev":)" + revision + R"(,"items":[)" + items + "]}"});
    };
    const std::string good = R"({"key":"servers/a","value":"e30=","revision":4})";
    REQUIRE(page("4", good).value().entries.size() == 1);

    SECTION("that is deeply nested is refused, and does not exhaust the stack")
    {
        REQUIRE(page("4", nested(deepLevels, false)).error().code == ErrorCode::BadResponse);
        // Closed, it is one item that has no key.
        REQUIRE(page("4", nested(deepLevels, true) + "," + good).value().entries.size() == 1);
    }

    SECTION("with a revision that none could follow is refused")
    {
        for (const char *number :
             {"1e999", "1e40", "18446744073709551616", "-1", "-9223372036854775808",
              "18446744073709551615", "9223372036854775808", "4.5"}) {
            CAPTURE(number);
            REQUIRE(page(number, good).error().code == ErrorCode::BadResponse);
        }
    }

    SECTION("leaves out an item with such a revision, and keeps the others")
    {
        for (const char *number : {"1e40", "18446744073709551616", "-1", "18446744073709551615",
                                   "9223372036854775808", "4.5"}) {
            CAPTURE(number);
            const auto read
                    = page("4",
                           fmt::format(R"({{"key":"servers/b","value":"e30=","revision":{}}},{})",
                                       number, good));
            REQUIRE(read.value().entries.size() == 1);
            REQUIRE(read.value().entries.front().key == "servers/a");
        }
    }

    SECTION("keeps the key of an item whose value cannot be decoded, so that it is not missing")
    {
        for (const char *value : {R"("%%%")", R"("e30")", "7", "null"}) {
            CAPTURE(value);
            const auto read
                    = page("4",
                           fmt::format(R"({{"key":"servers/b","value":{},"revision":3}},{})", value,
                                       good));
            REQUIRE(read.value().entries.size() == 2);
            REQUIRE(read.value().entries.front().key == "servers/b");
            REQUIRE(readEntry(read.value().entries.front()).has_error());
        }
    }
}

TEST_CASE("changed copies of valid entries are refused, or their values are in range")
{
    const std::vector<std::pair<std::string, std::string>> valid{
            {"servers/i-1",
             serverWith(R"("slots":64,"models":[{"name":"m","adapters":["a3@2"]}],"born":17)")},
            {"op/config",
             configWithRoute(R"("timeout_ms":1000,"target_latency_ms":200,"priority":2,)"
                             R"("max_attempts":1,"traffic_split":[{"service":"app","weight":9}])")},
            {"op/config", configWithEngine(R"("slots":64,"kv_capacity":148252,"adapter_slots":6)")},
            {"op/version/m.a3", versionWith("2")}};
    std::mt19937 random(fuzzSeed);
    int accepted = 0;
    for (int i = 0; i < fuzzEntries; ++i) {
        const auto &[key, text] = valid[static_cast<std::size_t>(i) % valid.size()];
        const std::string changed = mutate(text, random);
        const auto content = read(key, changed);
        if (content.has_value()) {
            ++accepted;
            CAPTURE(key, changed);
            REQUIRE(isInRange(content.value()));
        } else {
            REQUIRE(content.error().code == ErrorCode::ConfigInvalidValue);
        }
    }
    // Otherwise the changes would only test the parser of JSON.
    REQUIRE(accepted > fuzzEntries / 100);
    REQUIRE(accepted < fuzzEntries);
}

TEST_CASE("settings with a time out of range are refused")
{
    const auto readBounds = [](const std::string &bounds) {
        return readSettings(
                R"({node: n, zone: a, listen: {front: "127.0.0.1:1", ready: "127.0.0.1:2",)"
                R"( control: "127.0.0.1:3"}, platform: {address: "127.0.0.1:9"}, bounds: {)"
                        + bounds + "}}",
                0);
    };
    REQUIRE(readBounds("grace_s: 6, budget_window_s: 2.5").has_value());
    for (const char *field : {"grace_s", "budget_window_s"}) {
        for (const char *number : {"-1", "1e10", "1e300", ".inf", ".nan"}) {
            CAPTURE(field, number);
            const auto settings = readBounds(std::string(field) + ": " + number);
            REQUIRE(settings.has_error());
            REQUIRE(settings.error().code == ErrorCode::SettingInvalid);
        }
    }
}
