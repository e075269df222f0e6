#include <balsamport/config/merge.h>

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <optional>
#include <sstream>
#include <string_view>
#include <unordered_map>

namespace balsamport {

namespace {

namespace pt = boost::property_tree;

constexpr std::size_t maxErrorsPerFile = 100;

/// Line numbers of all sections and keys of a file, collected in one pass because the parser of
/// Boost does not report them.
class LineIndex
{
public:
    explicit LineIndex(std::string_view text)
    {
        std::uint32_t number = 0;
        while (!text.empty()) {
            ++number;
            const std::size_t end = text.find('\n');
            this->addLine(trim(text.substr(0, end)), number);
            text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        }
    }

    /// @param key empty for the header of the section
    /// @return the line, counted from 1; 0 if there is none
    std::uint32_t lineOf(const std::string &section, const std::string &key) const
    {
        const auto found = this->lines.find(section + "\n" + key);
        return found == this->lines.end() ? 0 : found->second;
    }

private:
    static std::string_view trim(std::string_view text)
    {
        constexpr std::string_view blanks = " \t\r";
        const std::size_t first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos) {
            return {};
        }
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    void addLine(std::string_view line, std::uint32_t number)
    {
        if (line.size() >= 2 && line.front() == '[' && line.back() == ']') {
            this->current = trim(line.substr(1, line.size() - 2));
            this->lines.emplace(this->current + "\n", number);
            return;
        }
        const std::size_t equals = line.find('=');
        if (equals != std::string_view::npos) {
            const std::string key(trim(line.substr(0, equals)));
            this->lines.emplace(this->current + "\n" + key, number);
        }
    }

    std::string current;
    std::unordered_map<std::string, std::uint32_t> lines;
};

/// @return the key with its section for error messages, for example `[limits] body-bytes`
std::string keyName(const std::string &title, const std::string &key)
{
    std::string name = "[";
    name.append(title).append("] ").append(key);
    return name;
}

MergedSection newSection(const std::string &title, const SourceLocation &origin)
{
    const std::size_t blank = title.find(' ');
    MergedSection section;
    section.kind = title.substr(0, blank);
    if (blank != std::string::npos) {
        section.id = title.substr(title.find_first_not_of(' ', blank));
    }
    section.origin = origin;
    return section;
}

void mergeTree(const std::string &file, const pt::ptree &tree, const LineIndex &lines,
               MergedConfig &merged)
{
    for (const auto &[title, child] : tree) {
        if (child.empty() && !child.data().empty()) {
            merged.errors.push_back(Error{ErrorCode::ConfigSyntax,
                                          "\"" + child.data() + "\" stands before any section",
                                          SourceLocation{file, lines.lineOf("", title), title}});
            continue;
        }
        const SourceLocation origin{file, lines.lineOf(title, ""), ""};
        const auto section = merged.sections.emplace(title, newSection(title, origin)).first;
        for (const auto &[key, value] : child) {
            section->second.values[key] = MergedValue{
                    value.data(),
                    SourceLocation{file, lines.lineOf(title, key), keyName(title, key)}};
        }
    }
}

/// Parses a text and merges it. Merges nothing if it has a syntax error.
/// @return the first syntax error
std::optional<Error> parseInto(const SourceFile &file, const std::string &text,
                               MergedConfig &merged)
{
    pt::ptree tree;
    try {
        std::istringstream input(text);
        pt::read_ini(input, tree);
    } catch (const pt::ini_parser_error &error) {
        const bool duplicate = error.message().find("duplicate") != std::string::npos;
        return Error{duplicate ? ErrorCode::ConfigDuplicate : ErrorCode::ConfigSyntax,
                     error.message(),
                     SourceLocation{file.name, static_cast<std::uint32_t>(error.line()), ""}};
    }
    mergeTree(file.name, tree, LineIndex(text), merged);
    return std::nullopt;
}

/// Blanks an invalid line, so that further errors can be found.
/// @return false if the line is a section header: the keys after it would belong to another section
bool blankLine(std::string &text, std::uint32_t line)
{
    std::size_t start = 0;
    for (std::uint32_t number = 1; number < line && start != std::string::npos; ++number) {
        start = text.find('\n', start);
        start = start == std::string::npos ? start : start + 1;
    }
    if (line == 0 || start == std::string::npos) {
        return false;
    }
    const std::size_t end = std::min(text.find('\n', start), text.size());
    const std::size_t first = text.find_first_not_of(" \t", start);
    if (first >= end || text[first] == '[') {
        return false;
    }
    text.erase(start, end - start);
    return true;
}

void mergeFile(const SourceFile &file, MergedConfig &merged)
{
    if (file.content.size() > maxFileBytes) {
        merged.errors.push_back(Error{ErrorCode::ConfigTooLarge,
                                      std::to_string(file.content.size())
                                              + " bytes; expected at most "
                                              + std::to_string(maxFileBytes),
                                      SourceLocation{file.name, 0, ""}});
        return;
    }
    std::string text = file.content;
    for (std::size_t errors = 0; errors < maxErrorsPerFile; ++errors) {
        const std::optional<Error> syntaxError = parseInto(file, text, merged);
        if (!syntaxError) {
            return;
        }
        merged.errors.push_back(*syntaxError);
        if (!blankLine(text, syntaxError->location.line)) {
            return;
        }
    }
}

} // namespace

MergedConfig mergeFiles(std::vector<SourceFile> files)
{
    std::sort(files.begin(), files.end());
    MergedConfig merged;
    for (const SourceFile &file : files) {
        mergeFile(file, merged);
    }
    return merged;
}

} // namespace balsamport
