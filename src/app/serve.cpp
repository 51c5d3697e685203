#include "app/serve.h"
#include "app/process.h"
#include "operators/command_line.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/process_signal.h"
#include "poplarspool/node/instance.h"
#include "poplarspool/operators/config_files.h"

#include <ostream>

namespace poplarspool::app {

namespace {

int serve(const settings &choices, std::ostream &out, std::ostream &err)
{
    prepareProcess();
    setUpLog(choices.logLevel, log_stream::Error);

    node::instance instance(choices);
    const result<unit> started = instance.start();
    if (!succeeded(started)) {
        err << "poplarspool serve: " << nameOf(errorOf(started).code) << ": "
            << errorOf(started).message << '\n';
        return operators::exitFailure;
    }
    out << "instance=" << choices.instance.text << " zone=" << choices.zone.text
        << " callers=" << textOf(choices.callerAddress)
        << " operators=" << textOf(choices.operatorAddress)
        << " peers=" << textOf(choices.peerAddress) << std::endl;

    // Settings are read only at startup. SIGHUP is recorded as ignored and must not end the
    // process.
    while (waitForSignal() == process_signal::Reload)
        instance.recordReload();
    instance.leave();
    instance.wait();
    return operators::exitSuccess;
}

} // namespace

int serveCommand(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool serve",
                             "Runs one entry instance. SIGTERM or SIGINT starts a graceful\n"
                             "shutdown: callers are directed to other instances, and running\n"
                             "requests finish.");
    options.custom_help("--settings FILE");
    options.add_options()("settings", "Settings file of the instance",
                          cxxopts::value<std::string>(), "FILE");
    const operators::arguments_or_exit_code parsed =
            operators::parseArguments(options, arguments, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &parsedOptions = std::get<cxxopts::ParseResult>(parsed);
    if (parsedOptions.count("settings") == 0)
        return operators::reportUsageError(options, "--settings is missing", err);

    const std::string path = parsedOptions["settings"].as<std::string>();
    const auto text = operators::readFile(path, err);
    if (!text)
        return operators::exitFailure;
    const auto loaded = operators::parseSettings(path, *text);
    if (const auto *diagnostics = std::get_if<std::vector<operators::diagnostic>>(&loaded)) {
        for (const operators::diagnostic &entry : *diagnostics)
            err << lineOf(entry) << '\n';
        return operators::exitInvalidInput;
    }
    return serve(std::get<settings>(loaded), out, err);
}

} // namespace poplarspool::app
