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
    std::size_t runners = 0; ///< Of an inventory.
    std::vector<fault> faults;
};

template <class T>
std::vector<fault> faultsIn(const checked<T> &outcome)
{
    const auto *faults = std::get_if<std::vector<fault>>(&outcome);
    return faults ? *faults : std::vector<fault>{};
}

checked_file checkFile(const std::string &path, std::string text)
{
    checked_file file{path, std::move(text), file_kind::Settings, 0, {}};
    file.kind = guessKind(file.text);
    if (file.kind == file_kind::Settings)
        file.faults = faultsIn(parseSettings(path, file.text));
    if (file.kind == file_kind::Gateway)
        file.faults = faultsIn(parseGatewaySettings(path, file.text));
    if (file.kind == file_kind::Rules)
        file.faults = faultsIn(parseRules(path, file.text));
    if (file.kind == file_kind::Inventory) {
        const auto fleet = parseInventory(path, file.text);
        file.faults = faultsIn(fleet);
        if (file.faults.empty())
            file.runners = std::get<policy::inventory>(fleet).runners.size();
    }
    return file;
}

/// @returns The only file of a kind; nullptr where there is none or more than one.
checked_file *onlyOne(std::vector<checked_file> &files, file_kind kind)
{
    checked_file *only = nullptr;
    for (checked_file &file : files) {
        if (file.kind != kind)
            continue;
        if (only)
            return nullptr;
        only = &file;
    }
    return only;
}

void checkPair(std::vector<checked_file> &files)
{
    checked_file *inventory = onlyOne(files, file_kind::Inventory);
    checked_file *rules = onlyOne(files, file_kind::Rules);
    if (!inventory || !rules)
        return;
    for (fault &found : checkTogether(inventory->path, inventory->text, rules->path, rules->text))
        rules->faults.push_back(std::move(found));
}

void printText(const std::vector<checked_file> &files, std::ostream &out)
{
    for (const checked_file &file : files) {
        for (const fault &found : file.faults)
            out << lineOf(found) << '\n';
        if (!file.faults.empty())
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
        nlohmann::ordered_json one = {
                {"file", file.path}, {"kind", nameOf(file.kind)}, {"ok", file.faults.empty()}};
        one.update(jsonOf(file.faults));
        list.push_back(std::move(one));
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

int checkCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options(
            "poplarspool check",
            "Checks settings, inventories and rules and prints every fault as\n"
            "FILE:LINE:COL: KEY: message. One inventory and one rules file are also checked\n"
            "against each other. Exit status: 0 no fault, 1 unreadable file, 2 faults.");
    options.custom_help("[OPTION...]").positional_help("FILE...");
    options.add_options()("json", "Print one JSON object instead");
    options.add_options()("print-keys", "Print the keys of all kinds of files as Markdown");
    options.add_options("hidden")("files", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"files"});
    const words_or_exit parsed = parseWords(options, words, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &chosen = std::get<cxxopts::ParseResult>(parsed);
    if (chosen.count("print-keys") != 0) {
        printKeys(out);
        return exitDone;
    }
    if (chosen.count("files") == 0)
        return refuseWords(options, "no file to check", err);

    std::vector<checked_file> files;
    for (const std::string &path : chosen["files"].as<std::vector<std::string>>()) {
        auto text = readFile(path, err);
        if (!text)
            return exitFailed;
        files.push_back(checkFile(path, std::move(*text)));
    }
    checkPair(files);
    if (chosen.count("json") != 0)
        printJson(files, out);
    else
        printText(files, out);
    for (const checked_file &file : files) {
        if (!file.faults.empty())
            return exitBadWords;
    }
    return exitDone;
}

} // namespace poplarspool::operators
