#include "app/serve.h"
#include "app/process.h"
#include "operators/command_line.h"
#include "poplarspool/base/end_signal.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/node/instance.h"
#include "poplarspool/operators/config_files.h"

#include <ostream>

namespace poplarspool::app {

namespace {

int serve(const settings &choices, std::ostream &out, std::ostream &err)
{
    prepareProcess();
    setUpLog(choices.logLevel, log_stream::Error);

    node::instance self(choices);
    const result<unit> started = self.start();
    if (!succeeded(started)) {
        err << "poplarspool serve: " << nameOf(errorOf(started).code) << ": "
            << errorOf(started).message << '\n';
        return operators::exitFailed;
    }
    out << "instance=" << choices.instance.text << " zone=" << choices.zone.text
        << " callers=" << textOf(choices.callerAddress)
        << " operators=" << textOf(choices.operatorAddress)
        << " peers=" << textOf(choices.peerAddress) << std::endl;

    // Settings are read at the start only; the signal must not end the process.
    while (waitForSignal() == process_signal::Reload)
        self.noteReload();
    self.leave();
    self.wait();
    return operators::exitDone;
}

} // namespace

int serveCommand(const std::vector<std::string> &words, std::ostream &out, std::ostream &err)
{
    cxxopts::Options options("poplarspool serve",
                             "Runs one entry instance. SIGTERM or SIGINT begins a graceful\n"
                             "shutdown: no new callers are sent here, running requests finish.");
    options.custom_help("--settings FILE");
    options.add_options()("settings", "The instance's settings", cxxopts::value<std::string>(),
                          "FILE");
    const operators::words_or_exit parsed = operators::parseWords(options, words, out, err);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const auto &chosen = std::get<cxxopts::ParseResult>(parsed);
    if (chosen.count("settings") == 0)
        return operators::refuseWords(options, "--settings is missing", err);

    const std::string path = chosen["settings"].as<std::string>();
    const auto text = operators::readFile(path, err);
    if (!text)
        return operators::exitFailed;
    const auto checked = operators::parseSettings(path, *text);
    if (const auto *faults = std::get_if<std::vector<operators::fault>>(&checked)) {
        for (const operators::fault &found : *faults)
            err << lineOf(found) << '\n';
        return operators::exitBadWords;
    }
    return serve(std::get<settings>(checked), out, err);
}

} // namespace poplarspool::app
