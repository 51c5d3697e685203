#include "app/gateway_command.h"

#include "app/process.h"
#include "operators/command_line.h"
#include "platform/adapter.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/process_signal.h"
#include "poplarspool/operators/config_files.h"

#include <cstdlib>
#include <ostream>

namespace poplarspool::app {

namespace {

/// Environment variable with the path of the settings file, used without --settings.
constexpr char settingsVariable[] = "POPLARSPOOL_SETTINGS";

std::optional<gateway::gateway_settings> readSettings(const std::string &path, std::ostream &err)
{
    const auto text = operators::readFile(path, err);
    if (!text)
        return std::nullopt;
    auto loaded = operators::parseGatewaySettings(path, *text);
    if (const auto *diagnostics = std::get_if<std::vector<operators::diagnostic>>(&loaded)) {
        for (const operators::diagnostic &entry : *diagnostics)
            err << lineOf(entry) << '\n';
        return std::nullopt;
    }
    return std::get<gateway::gateway_settings>(std::move(loaded));
}

int serve(const std::string &path, const gateway::gateway_settings &choices, std::ostream &err)
{
    prepareProcess();
    setUpLog(choices.logLevel, log_stream::Output);

    adapter::platform_gateway server(choices);
    const result<unit> started = server.start();
    if (!succeeded(started)) {
        err << "poplarspool gateway: " << nameOf(errorOf(started).code) << ": "
            << errorOf(started).message << '\n';
        return operators::exitFailure;
    }
    while (waitForSignal() == process_signal::Reload) {
        // An invalid file is reported and ignored; the current settings stay in effect.
        if (const auto reloaded = readSettings(path, err))
            server.recordReload(*reloaded);
    }
    server.leave();
    return operators::exitSuccess;
}

} // namespace

int gatewayCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool gateway",
                             "Forwards callers' requests to the runners listed in the platform's\n"
                             "store. SIGTERM or SIGINT starts a graceful shutdown; SIGHUP reloads\n"
                             "the settings. Without --settings, the environment variable\n"
                             "POPLARSPOOL_SETTINGS gives the path of the file.");
    options.custom_help("[--settings FILE]");
    options.add_options()("settings", "Settings file of the instance",
                          cxxopts::value<std::string>(), "FILE");
    const operators::arguments_or_exit_code parsed =
            operators::parseArguments(options, arguments, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &parsedOptions = std::get<cxxopts::ParseResult>(parsed);
    const char *settingsPath = std::getenv(settingsVariable);
    if (parsedOptions.count("settings") == 0 && settingsPath == nullptr)
        return operators::reportUsageError(options, "--settings is missing", err);
    const std::string path = parsedOptions.count("settings") != 0
            ? parsedOptions["settings"].as<std::string>()
            : std::string(settingsPath);
    const auto choices = readSettings(path, err);
    if (!choices)
        return operators::exitInvalidInput;
    return serve(path, *choices, err);
}

} // namespace poplarspool::app
