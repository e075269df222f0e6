#include <balsamport/wire/daemon_options.h>

#include <sstream>

namespace po = boost::program_options;

namespace balsamport {

namespace {

constexpr std::string_view tcpPrefix = "tcp://";

} // namespace

void addDaemonOptions(po::options_description &options)
{
    auto add = options.add_options();
    add("vm.id", po::value<std::string>()->required(), "name of this VM");
    add("vm.data-centre", po::value<std::string>()->required(), "data centre of this VM");
    add("keys.public", po::value<std::string>()->default_value(""),
        "file with the fleet's public CURVE key; empty for plain text");
    add("keys.secret", po::value<std::string>()->default_value(""),
        "file with the fleet's secret CURVE key, mode 0600");
    add("keys.accepted", po::value<std::string>()->default_value(""),
        "files with further public keys, while keys are rotated; separated by commas");
}

KeyFileSettings keyFileSettingsFrom(const po::variables_map &values)
{
    return {values["keys.public"].as<std::string>(), values["keys.secret"].as<std::string>(),
            splitSettingList(values["keys.accepted"].as<std::string>())};
}

std::vector<std::string> splitSettingList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        const std::size_t first = item.find_first_not_of(' ');
        if (first != std::string::npos) {
            items.push_back(item.substr(first, item.find_last_not_of(' ') - first + 1));
        }
    }
    return items;
}

bool isEndpoint(std::string_view text) noexcept
{
    return text.substr(0, tcpPrefix.size()) == tcpPrefix
            && text.find(':', tcpPrefix.size()) != std::string_view::npos;
}

Error invalidSettingError(const char *key, const std::string &value, const char *expected)
{
    return {ErrorCode::SettingInvalid, "\"" + value + "\" is not valid; expected: " + expected,
            SourceLocation{"", 0, key}};
}

} // namespace balsamport
