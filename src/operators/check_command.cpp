#include "operators/command_line.h"
#include "operators/file_keys.h"
#include "operators/key_table.h"
#include "operators/wire_json.h"
#include "poplarspool/operators/commands.h"

#include <ostream>

namespace poplarspool::operators {

namespace {

struct checked_file
{
    std::string path;
    std::string text;
    file_kind kind = file_kind::Settings;
    std::size_t runners = 0; ///< Number of runners; only set for a valid inventory.
    std::vector<diagnostic> diagnostics;
};

template <class T>
std::vector<diagnostic> diagnosticsIn(const parse_result<T> &outcome)
{
    const auto *diagnostics = std::get_if<std::vector<diagnostic>>(&outcome);
    return diagnostics ? *diagnostics : std::vector<diagnostic>{};
}

checked_file checkFile(const std::string &path, std::string text)
{
    checked_file file{path, std::move(text), file_kind::Settings, 0, {}};
    file.kind = detectFileKind(file.text);
    if (file.kind == file_kind::Settings)
        file.diagnostics = diagnosticsIn(parseSettings(path, file.text));
    if (file.kind == file_kind::Gateway)
        file.diagnostics = diagnosticsIn(parseGatewaySettings(path, file.text));
    if (file.kind == file_kind::Rules)
        file.diagnostics = diagnosticsIn(parseRules(path, file.text));
    if (file.kind == file_kind::Inventory) {
        const auto fleet = parseInventory(path, file.text);
        file.diagnostics = diagnosticsIn(fleet);
        if (file.diagnostics.empty())
            file.runners = std::get<policy::inventory>(fleet).runners.size();
    }
    return file;
}

/// @returns The file of this kind; nullptr if there is none or more than one.
checked_file *findSingle(std::vector<checked_file> &files, file_kind kind)
{
    checked_file *match = nullptr;
    for (checked_file &file : files) {
        if (file.kind != kind)
            continue;
        if (match)
            return nullptr;
        match = &file;
    }
    return match;
}

void checkInventoryAgainstRules(std::vector<checked_file> &files)
{
    checked_file *inventory = findSingle(files, file_kind::Inventory);
    checked_file *rules = findSingle(files, file_kind::Rules);
    if (!inventory || !rules)
        return;
    for (diagnostic &entry : crossCheck(inventory->path, inventory->text, rules->path, rules->text))
        rules->diagnostics.push_back(std::move(entry));
}

void printText(const std::vector<checked_file> &files, std::ostream &out)
{
    for (const checked_file &file : files) {
        for (const diagnostic &entry : file.diagnostics)
            out << lineOf(entry) << '\n';
        if (!file.diagnostics.empty())
            continue;
        out << file.path << ": ok (" << nameOf(file.kind);
        if (file.kind == file_kind::Inventory)
            out << ", " << file.runners << " runners";
        out << ")\n";
    }
}

void printJson(const std::vector<checked_file> &files, std::ostream &out)
{
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const checked_file &file : files) {
        nlohmann::ordered_json entry = {
                {"file", file.path}, {"kind", nameOf(file.kind)}, {"ok", file.diagnostics.empty()}};
        entry.update(jsonOf(file.diagnostics));
        list.push_back(std::move(entry));
    }
    out << dumpJson({{"files", std::move(list)}}) << '\n';
}

void printKeys(std::ostream &out)
{
    for (const file_kind kind :
         {file_kind::Settings, file_kind::Gateway, file_kind::Inventory, file_kind::Rules})
        out << "## " << nameOf(kind) << "\n\n" << keyTableOf(kind) << '\n';
}

} // namespace

int checkCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options(
            "poplarspool check",
            "Validates settings, inventories and rules and prints every error as\n"
            "FILE:LINE:COL: KEY: message. One inventory and one rules file are also checked\n"
            "against each other. Exit status: 0 no errors, 1 unreadable file, 2 errors found.");
    options.custom_help("[OPTION...]").positional_help("FILE...");
    options.add_options()("json", "Print the result as one JSON object");
    options.add_options()("print-keys", "Print the keys of all kinds of files as Markdown tables");
    options.add_options("hidden")("files", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"files"});
    const arguments_or_exit_code parsed = parseArguments(options, arguments, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &parsedOptions = std::get<cxxopts::ParseResult>(parsed);
    if (parsedOptions.count("print-keys") != 0) {
        printKeys(out);
        return exitSuccess;
    }
    if (parsedOptions.count("files") == 0)
        return reportUsageError(options, "no file to check", err);

    std::vector<checked_file> files;
    for (const std::string &path : parsedOptions["files"].as<std::vector<std::string>>()) {
        auto text = readFile(path, err);
        if (!text)
            return exitFailure;
        files.push_back(checkFile(path, std::move(*text)));
    }
    checkInventoryAgainstRules(files);
    if (parsedOptions.count("json") != 0)
        printJson(files, out);
    else
        printText(files, out);
    for (const checked_file &file : files) {
        if (!file.diagnostics.empty())
            return exitInvalidInput;
    }
    return exitSuccess;
}

} // namespace poplarspool::operators
