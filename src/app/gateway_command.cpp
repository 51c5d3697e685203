#include "app/gateway_command.h"

#include "app/process.h"
#include "operators/command_line.h"
#include "platform/adapter.h"
#include "poplarspool/base/end_signal.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/operators/config_files.h"

#include <cstdlib>
#include <ostream>

namespace poplarspool::app {

namespace {

/// Names the settings file where the command line doesn't.
constexpr char settingsVariable[] = "POPLARSPOOL_SETTINGS";

std::optional<gateway::gateway_settings> readSettings(const std::string &path, std::ostream &err)
{
    const auto text = operators::readFile(path, err);
    if (!text)
        return std::nullopt;
    auto checked = operators::parseGatewaySettings(path, *text);
    if (const auto *faults = std::get_if<std::vector<operators::fault>>(&checked)) {
        for (const operators::fault &found : *faults)
            err << lineOf(found) << '\n';
        return std::nullopt;
    }
    return std::get<gateway::gateway_settings>(std::move(checked));
}

int serve(const std::string &path, const gateway::gateway_settings &choices, std::ostream &err)
{
    prepareProcess();
    setUpLog(choices.logLevel, log_stream::Output);

    adapter::platform_gateway self(choices);
    const result<unit> started = self.start();
    if (!succeeded(started)) {
        err << "poplarspool gateway: " << nameOf(errorOf(started).code) << ": "
            << errorOf(started).message << '\n';
        return operators::exitFailed;
    }
    while (waitForSignal() == process_signal::Reload) {
        // Broken settings change nothing: the process goes on with those that it has.
        if (const auto changed = readSettings(path, err))
            self.noteReload(*changed);
    }
    self.leave();
    return operators::exitDone;
}

} // namespace

int gatewayCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool gateway",
                             "Passes callers' requests on to the runners that the platform's\n"
                             "store lists. SIGTERM or SIGINT begins a graceful shutdown; SIGHUP\n"
                             "reads the settings anew. Without --settings, the variable\n"
                             "POPLARSPOOL_SETTINGS names the file.");
    options.custom_help("[--settings FILE]");
    options.add_options()("settings", "The instance's settings", cxxopts::value<std::string>(),
                          "FILE");
    const operators::words_or_exit parsed = operators::parseWords(options, words, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &chosen = std::get<cxxopts::ParseResult>(parsed);
    const char *variable = std::getenv(settingsVariable);
    if (chosen.count("settings") == 0 && variable == nullptr)
        return operators::refuseWords(options, "--settings is missing", err);
    const std::string path = chosen.count("settings") != 0 ? chosen["settings"].as<std::string>()
                                                           : std::string(variable);
    const auto choices = readSettings(path, err);
    if (!choices)
        return operators::exitBadWords;
    return serve(path, *choices, err);
}

} // namespace poplarspool::app
