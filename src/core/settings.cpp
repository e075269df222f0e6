#include <balsamport/core/settings.h>

#include <balsamport/core/ini_lines.h>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace po = boost::program_options;

namespace balsamport {

namespace {

po::options_description commonOptions()
{
    po::options_description common("Options");
    common.add_options()("help", "print this help and exit")(
            "version", "print the version and exit")("config", po::value<std::string>(),
                                                     "INI file with settings")(
            "set", po::value<std::vector<std::string>>()->composing(),
            "KEY=VALUE: one setting; goes before the file; may be repeated")(
            "check", "check the settings and exit");
    return common;
}

SourceLocation locationOf(const std::string &file, const std::string &text, const std::string &key)
{
    const std::size_t dot = key.find('.');
    if (dot == std::string::npos) {
        return SourceLocation{file, findIniLine(text, "", key), key};
    }
    return SourceLocation{file, findIniLine(text, key.substr(0, dot), key.substr(dot + 1)), key};
}

/// Parses and stores the value of one setting.
/// @return SettingUnknown or SettingInvalid
std::optional<Error> storeSetting(const std::string &key, const std::string &value,
                                  const SourceLocation &location,
                                  const po::options_description &settings,
                                  po::variables_map &values)
{
    const po::option_description *description = settings.find_nothrow(key, false);
    if (description == nullptr) {
        return Error{ErrorCode::SettingUnknown, "there is no such setting", location};
    }
    po::parsed_options parsed(&settings);
    parsed.options.emplace_back(key, std::vector<std::string>{value});
    try {
        po::store(parsed, values);
    } catch (const po::error &error) {
        return Error{ErrorCode::SettingInvalid,
                     "\"" + value + "\" is not valid; expected: " + description->description(),
                     location};
    }
    return std::nullopt;
}

std::optional<Error> storeAssignments(const std::vector<std::string> &assignments,
                                      const po::options_description &settings,
                                      po::variables_map &values)
{
    for (const std::string &assignment : assignments) {
        const std::size_t equals = assignment.find('=');
        const std::string key = assignment.substr(0, equals);
        if (equals == std::string::npos) {
            return Error{ErrorCode::SettingInvalid, "expected KEY=VALUE",
                         SourceLocation{"--set", 0, key}};
        }
        auto error = storeSetting(key, assignment.substr(equals + 1),
                                  SourceLocation{"--set", 0, key}, settings, values);
        if (error) {
            return error;
        }
    }
    return std::nullopt;
}

std::optional<Error> storeFile(const std::string &file, const po::options_description &settings,
                               po::variables_map &values)
{
    std::ifstream stream(file);
    if (!stream) {
        return Error{ErrorCode::SettingFileUnreadable, "the file cannot be read",
                     SourceLocation{file, 0, ""}};
    }
    std::ostringstream buffer;
    buffer << stream.rdbuf();
    const std::string text = buffer.str();
    po::variables_map fromFile;
    try {
        std::istringstream input(text);
        const po::parsed_options parsed = po::parse_config_file(input, settings, true);
        for (const po::option &option : parsed.options) {
            const std::string value = option.value.empty() ? std::string() : option.value.front();
            const SourceLocation location = locationOf(file, text, option.string_key);
            auto error = storeSetting(option.string_key, value, location, settings, fromFile);
            if (error) {
                return error;
            }
        }
    } catch (const po::error &error) {
        return Error{ErrorCode::SettingInvalid, error.what(), SourceLocation{file, 0, ""}};
    }
    for (const auto &[key, value] : fromFile) {
        if (values.count(key) == 0) {
            values.insert({key, value});
        }
    }
    return std::nullopt;
}

std::optional<Error> storeDefaults(const po::options_description &settings,
                                   po::variables_map &values)
{
    try {
        po::store(po::parsed_options(&settings), values);
        po::notify(values);
    } catch (const po::required_option &error) {
        return Error{ErrorCode::SettingMissing, "this setting is required",
                     SourceLocation{"", 0, error.get_option_name()}};
    }
    return std::nullopt;
}

std::optional<Error> storeSettings(const po::variables_map &commandLine,
                                   const po::options_description &settings,
                                   po::variables_map &values)
{
    std::optional<Error> error;
    if (commandLine.count("set") != 0) {
        error = storeAssignments(commandLine["set"].as<std::vector<std::string>>(), settings,
                                 values);
    }
    if (!error && commandLine.count("config") != 0) {
        error = storeFile(commandLine["config"].as<std::string>(), settings, values);
    }
    if (!error) {
        error = storeDefaults(settings, values);
    }
    return error;
}

ProgramAction requestedAction(const po::variables_map &commandLine)
{
    if (commandLine.count("help") != 0) {
        return ProgramAction::Help;
    }
    if (commandLine.count("version") != 0) {
        return ProgramAction::Version;
    }
    return commandLine.count("check") != 0 ? ProgramAction::Check : ProgramAction::Run;
}

} // namespace

Result<ProgramSettings> readProgramSettings(int argc, const char *const *argv,
                                            const po::options_description &settings,
                                            const po::options_description &options)
{
    po::options_description visible = commonOptions();
    visible.add(options);
    po::options_description all;
    all.add(visible).add_options()("argument", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("argument", -1);
    ProgramSettings result;
    po::variables_map commandLine;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
                  commandLine);
        po::notify(commandLine);
    } catch (const po::error &error) {
        return Error{ErrorCode::SettingInvalid, error.what(),
                     SourceLocation{"command line", 0, ""}};
    }
    result.action = requestedAction(commandLine);
    if (commandLine.count("argument") != 0) {
        result.arguments = commandLine["argument"].as<std::vector<std::string>>();
    }
    if (result.action == ProgramAction::Help || result.action == ProgramAction::Version) {
        return result;
    }
    const std::optional<Error> error = storeSettings(commandLine, settings, result.values);
    if (error) {
        return *error;
    }
    for (const auto &[key, value] : commandLine) {
        result.values.insert({key, value});
    }
    return result;
}

std::optional<int> handleProgramAction(const std::string &program, const std::string &purpose,
                                       const Result<ProgramSettings> &result,
                                       const po::options_description &settings,
                                       const po::options_description &options)
{
    if (result.has_error()) {
        std::cerr << program << ": " << describe(result.error()) << "\n";
        return exitcode::usage;
    }
    switch (result.value().action) {
    case ProgramAction::Help:
        std::cout << program << ": " << purpose << "\n\n"
                  << commonOptions() << options << "\nSettings (INI file or --set)\n"
                  << settings;
        return exitcode::success;
    case ProgramAction::Version:
        std::cout << program << " " << BALSAMPORT_VERSION << "\n";
        return exitcode::success;
    case ProgramAction::Check:
        std::cout << "settings are valid\n";
        return exitcode::success;
    case ProgramAction::Run:
        break;
    }
    return std::nullopt;
}

} // namespace balsamport
