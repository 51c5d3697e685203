#include "operators/key_table.h"
#include "operators/sample_files.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/operators/commands.h"
#include "poplarspool/operators/config_files.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

using namespace poplarspool;
using namespace poplarspool::operators;

namespace {

std::string contentOf(const std::string &path)
{
    std::ifstream in(path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

struct command_outcome
{
    int status = 0;
    std::string out;
    std::string err;
};

command_outcome runCheck(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int status = checkCommand(arguments, out, err);
    return {status, out.str(), err.str()};
}

std::string examplePath(const std::string &folder, const std::string &name)
{
    return "examples/" + folder + '/' + name + ".toml";
}

template <class T>
std::string linesOf(const parse_result<T> &outcome)
{
    std::string lines;
    if (const auto *diagnostics = std::get_if<std::vector<diagnostic>>(&outcome)) {
        for (const diagnostic &found : *diagnostics)
            lines += lineOf(found) + '\n';
    }
    return lines;
}

const std::string minimalSettings = R"(instance = "a"
zone = "z"
deployment = "d"
caller.address = "127.0.0.1:1"
operator.address = "127.0.0.1:2"
platform = { store = "127.0.0.1:4", instances = "127.0.0.1:5", weights = "127.0.0.1:6" }
)";

} // namespace

class config_files_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(config_files_test);
    CPPUNIT_TEST(exampleFilesAreValid);
    CPPUNIT_TEST(eachErrorIsPrintedOnItsOwnLine);
    CPPUNIT_TEST(jsonContainsEachError);
    CPPUNIT_TEST(invalidArgumentsPrintUsage);
    CPPUNIT_TEST(settingsPageContainsAllKeyTables);
    CPPUNIT_TEST(syntaxErrorIsReportedOnce);
    CPPUNIT_TEST(missingAndMisplacedKeysAreReported);
    CPPUNIT_TEST(wrongTypesAndOutOfRangeNumbersAreReported);
    CPPUNIT_TEST(rulesRequireAClass);
    CPPUNIT_TEST(secretIsNotInErrorMessages);
    CPPUNIT_TEST(settingsAreRead);
    CPPUNIT_TEST(gatewaySettingsAreRead);
    CPPUNIT_TEST(gatewaySettingsErrorsAreReported);
    CPPUNIT_TEST(storeUpdatePortMustNotBeInUse);
    CPPUNIT_TEST(runnersInheritPoolDefaults);
    CPPUNIT_TEST(poolKeysMustMatchKind);
    CPPUNIT_TEST(rulesMustMatchInventory);
    CPPUNIT_TEST(fileKindIsDetected);
    CPPUNIT_TEST_SUITE_END();

public:
    void exampleFilesAreValid()
    {
        const std::vector<std::pair<std::string, std::vector<std::string>>> deployments{
                {"lanka",
                 {"settings-colombo-a", "settings-colombo-b", "settings-gampaha",
                  "settings-kalutara", "inventory", "rules"}},
                {"totara",
                 {"settings-hamilton-a", "settings-hamilton-b", "settings-te-awamutu",
                  "settings-cambridge", "inventory", "rules"}},
                {"demo", {"settings-1", "settings-2", "settings-3", "inventory", "rules"}},
                {"demo", {"inventory-drain", "rules"}}};
        for (const auto &[folder, names] : deployments) {
            std::vector<std::string> files;
            for (const std::string &name : names)
                files.push_back(examplePath(folder, name));
            const command_outcome outcome = runCheck(files);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(outcome.out + outcome.err, 0, outcome.status);
        }
        CPPUNIT_ASSERT_EQUAL(
                std::string("examples/lanka/inventory.toml: ok (inventory, 13 runners)\n"),
                runCheck({"examples/lanka/inventory.toml"}).out);
        CPPUNIT_ASSERT_EQUAL(
                std::string("examples/totara/inventory.toml: ok (inventory, 22 runners)\n"),
                runCheck({"examples/totara/inventory.toml"}).out);
    }

    void eachErrorIsPrintedOnItsOwnLine()
    {
        const std::vector<std::pair<std::string, std::string>> expected{
                {"settings",
                 ":7:11: caller.address: is \"localhost:8080\", expected \"IP:PORT\" with a port "
                 "from 1 to 65535\n"
                 ":8:8: caller.limits.body_byte: unknown key, the nearest known key is "
                 "body_bytes\n"
                 ":16:13: peer.gossip_ms: is 5, expected an integer from 20 to 10000\n"},
                {"inventory",
                 ":17:8: runners[0].zone: is \"zone-aa\", expected one of the zones; the nearest "
                 "is \"zone-a\"\n"
                 ":25:13: runners[1].kv_pieces: is \"many\", expected an integer from 1 to "
                 "10000000\n"
                 ":28:6: runners[2].id: is \"engine-1\", already used by runners[0].id "
                 "(line 15)\n"},
                {"rules",
                 ":2:1: classes[0].rank: is missing, expected an integer from 0 to 1000\n"
                 ":8:9: requests[0].class: is \"life\", expected a class's name; the nearest is "
                 "\"live\"\n"
                 ":9:10: requests[0].repeat: is \"once\", expected \"allowed\" or \"never\"\n"}};
        for (const auto &[name, lines] : expected) {
            const std::string file = examplePath("faulty", name);
            std::string withFile;
            std::istringstream in(lines);
            for (std::string line; std::getline(in, line);)
                withFile.append(file).append(line).append("\n");
            const command_outcome outcome = runCheck({file});
            CPPUNIT_ASSERT_EQUAL(withFile, outcome.out);
            CPPUNIT_ASSERT_EQUAL(2, outcome.status);
        }
    }

    void jsonContainsEachError()
    {
        const command_outcome outcome = runCheck({"--json", "examples/faulty/rules.toml"});
        CPPUNIT_ASSERT_EQUAL(2, outcome.status);
        CPPUNIT_ASSERT(outcome.out.find(R"("line":9,"column":10,"key":"requests[0].repeat")")
                       != std::string::npos);
        CPPUNIT_ASSERT(outcome.out.find(R"("kind":"rules","ok":false)") != std::string::npos);
    }

    void invalidArgumentsPrintUsage()
    {
        for (const auto &arguments :
             {std::vector<std::string>{"--jsn"}, std::vector<std::string>{}}) {
            const command_outcome outcome = runCheck(arguments);
            CPPUNIT_ASSERT_EQUAL(2, outcome.status);
            CPPUNIT_ASSERT(outcome.err.find("Usage:") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(0, runCheck({"--help"}).status);
        CPPUNIT_ASSERT_EQUAL(1, runCheck({"examples/no-such-file.toml"}).status);
        CPPUNIT_ASSERT_EQUAL(1, runCheck({"examples"}).status);
    }

    void settingsPageContainsAllKeyTables()
    {
        const std::string page = contentOf("docs/SETTINGS.md");
        for (const file_kind kind :
             {file_kind::Settings, file_kind::Gateway, file_kind::Inventory, file_kind::Rules}) {
            const std::string table = keyTableOf(kind);
            CPPUNIT_ASSERT_MESSAGE("docs/SETTINGS.md lacks:\n" + table,
                                   page.find(table) != std::string::npos);
        }
    }

    void syntaxErrorIsReportedOnce()
    {
        const auto outcome = parseRules("f", "retry_share = 0.1\nclasses = [\n");
        const auto &diagnostics = std::get<std::vector<diagnostic>>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, diagnostics.size());
        CPPUNIT_ASSERT_EQUAL(std::string("syntax"), diagnostics[0].key);
        CPPUNIT_ASSERT(diagnostics[0].line >= 2);
    }

    void missingAndMisplacedKeysAreReported()
    {
        const std::string text = minimalSettings + "peer = 7\nlog.level = \"loud\"\n";
        CPPUNIT_ASSERT_EQUAL(
                std::string("f:7:8: peer: is 7, expected a table\n"
                            "f:8:13: log.level: is \"loud\", expected \"debug\" or \"info\" or "
                            "\"warn\" or \"error\" or \"off\"\n"),
                linesOf(parseSettings("f", text)));
        const std::string noPeer = linesOf(parseSettings("f", minimalSettings));
        CPPUNIT_ASSERT(noPeer.find("peer.address: is missing") != std::string::npos);
        CPPUNIT_ASSERT(noPeer.find("peer.key: is missing") != std::string::npos);
    }

    void wrongTypesAndOutOfRangeNumbersAreReported()
    {
        const std::string lines = linesOf(parseRules("f",
                                                     "retry_share = nan\n"
                                                     "drain_seconds = 1.5\n"
                                                     "claim_keep_seconds = 9000000000000000000\n"
                                                     "classes = [1]\n"));
        CPPUNIT_ASSERT_EQUAL(
                std::string("f:1:15: retry_share: is nan, expected a number from 0 to 1\n"
                            "f:2:17: drain_seconds: is 1.5, expected an integer from 1 to 3600\n"
                            "f:3:22: claim_keep_seconds: is 9000000000000000000, expected an "
                            "integer from 1 to 86400\n"
                            "f:4:12: classes[0]: is 1, expected a table\n"),
                lines);
    }

    void rulesRequireAClass()
    {
        const std::string message = "classes: is missing, expected at least one class\n";
        CPPUNIT_ASSERT_EQUAL("f:1:1: " + message, linesOf(parseRules("f", "retry_share = 0\n")));
        CPPUNIT_ASSERT_EQUAL("f:1:11: " + message, linesOf(parseRules("f", "classes = []\n")));
    }

    // Error messages are copied to logs and tickets. The message about a key that is too short must
    // contain its length, but not the key.
    void secretIsNotInErrorMessages()
    {
        const std::string text =
                minimalSettings + "peer = { address = \"127.0.0.1:3\", key = \"hush\" }\n";
        const std::string lines = linesOf(parseSettings("f", text));
        CPPUNIT_ASSERT(lines.find("peer.key: has 4 bytes, expected") != std::string::npos);
        CPPUNIT_ASSERT(lines.find("hush") == std::string::npos);
    }

    void settingsAreRead()
    {
        const std::string text = minimalSettings
                + "peer = { address = \"127.0.0.1:3\", key = \"0123456789abcdef\", seeds = "
                  "[\"[::1]:9\"] }\n"
                  "leave = { grace_seconds = 3, bound_seconds = 4 }\n"
                  "[caller.limits]\nstreams = 7\nheader_bytes = 2048\n";
        const auto outcome = parseSettings("f", text);
        CPPUNIT_ASSERT_EQUAL(std::string(), linesOf(outcome));
        const auto &choices = std::get<settings>(outcome);
        CPPUNIT_ASSERT(choices.callerAddress == (endpoint{"127.0.0.1", 1}));
        CPPUNIT_ASSERT(choices.peerSeeds == std::vector<endpoint>{(endpoint{"::1", 9})});
        CPPUNIT_ASSERT(choices.leaveGraceTime == std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{7}, choices.maxStreams);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2048}, choices.callerLimits.headerBytes);
        CPPUNIT_ASSERT(choices.gossipInterval == config::gossipInterval);
    }

    void gatewaySettingsAreRead()
    {
        const std::string path = "examples/gateway/settings.toml";
        const auto outcome = parseGatewaySettings(path, contentOf(path));
        const auto &choices = std::get<gateway::gateway_settings>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("gampaha"), choices.zone.text);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7381}, choices.loadAddress.port);
        CPPUNIT_ASSERT_EQUAL(52.0, choices.retryExtra);
        CPPUNIT_ASSERT(detectFileKind(contentOf(path)) == file_kind::Gateway);
        CPPUNIT_ASSERT_EQUAL(0, runCheck({path}).status);
    }

    void gatewaySettingsErrorsAreReported()
    {
        std::string text = contentOf("examples/gateway/settings.toml");
        text.replace(text.find("8141"), 4, "8149");
        text.replace(text.find("share = 0.2"), 11, "share = 2");
        CPPUNIT_ASSERT_EQUAL(
                std::string("f:15:11: readiness.address: is the same address as caller.address\n"
                            "f:39:9: retries.share: is 2, expected a number from 0 to 1\n"),
                linesOf(parseGatewaySettings("f", text)));
    }

    // Store updates are received on the port after that of peer.address. Without this check, an
    // instance with another socket on that port would fail only at startup.
    void storeUpdatePortMustNotBeInUse()
    {
        std::string text = contentOf("examples/gateway/settings.toml");
        text.insert(text.find("load_address"), "share_store_news = true\n");
        CPPUNIT_ASSERT_EQUAL(std::string("f:24:20: peer.share_store_news: is the same address as "
                                         "peer.load_address\n"),
                             linesOf(parseGatewaySettings("f", text)));
        text.replace(text.find("7381"), 4, "7399");
        const auto outcome = parseGatewaySettings("f", text);
        const auto &choices = std::get<gateway::gateway_settings>(outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{7381}, gateway::updateAddressOf(choices).port);
    }

    void runnersInheritPoolDefaults()
    {
        const auto outcome = parseInventory("f", sampleInventory() + "kv_pieces = 256\n");
        CPPUNIT_ASSERT_EQUAL(std::string(), linesOf(outcome));
        const auto &runners = std::get<policy::inventory>(outcome).runners;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runners.size());
        CPPUNIT_ASSERT_EQUAL(std::string("engine-1"), runners[0].id.text);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{256}, runners[0].kvPieces);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{512}, runners[1].kvPieces);
        CPPUNIT_ASSERT(runners[0].checksFence && runners[1].checksFence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runners[1].supportedModels.size());
    }

    void poolKeysMustMatchKind()
    {
        const std::string text = "deployment = \"d\"\nzones = [\"z\", \"z\"]\n"
                                 "[[pools]]\nid = \"e\"\nkind = \"engine\"\nservice = \"s\"\n"
                                 "[[pools]]\nid = \"s\"\nkind = \"service\"\n"
                                 "[[runners]]\nid = \"r\"\npool = \"t\"\nzone = \"z\"\n"
                                 "address = \"127.0.0.1:1\"\n";
        CPPUNIT_ASSERT_EQUAL(
                std::string("f:2:15: zones[1]: is \"z\", already used by zones[0] (line 2)\n"
                            "f:3:1: pools[0].serves: is missing, expected a model to serve\n"
                            "f:6:11: pools[0].service: is for pools of kind \"service\"\n"
                            "f:7:1: pools[1].service: is missing, expected a service's name\n"
                            "f:12:8: runners[0].pool: is \"t\", expected a pool's id; the nearest "
                            "is \"e\"\n"),
                linesOf(parseInventory("f", text)));
    }

    void rulesMustMatchInventory()
    {
        const std::string rules = sampleRules()
                + "[[requests]]\nname = \"r\"\nmodel = \"demo-7\"\n"
                  "[[plans]]\npool = \"llm\"\nmin_engines = 3\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), linesOf(parseRules("r", rules)));
        const auto diagnostics = crossCheck("i", sampleInventory(), "r", rules);
        CPPUNIT_ASSERT_EQUAL(
                std::string("r:7:9: requests[0].model: is \"demo-7\", expected a model that a pool "
                            "serves; the nearest is \"demo-7b\"\n"
                            "r:10:15: plans[0].min_engines: is 3, but the pool has 2 engines\n"),
                linesOf(parse_result<policy::rules>(diagnostics)));
        CPPUNIT_ASSERT(crossCheck("i", sampleInventory(), "r", sampleRules()).empty());
    }

    void fileKindIsDetected()
    {
        CPPUNIT_ASSERT(detectFileKind(minimalSettings) == file_kind::Settings);
        CPPUNIT_ASSERT(detectFileKind(sampleInventory()) == file_kind::Inventory);
        CPPUNIT_ASSERT(detectFileKind(sampleRules()) == file_kind::Rules);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_files_test);
