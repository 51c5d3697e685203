#include "base/http_text.h"
#include "poplarspool/gateway/route_index.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace poplarspool::gateway {

namespace {

/// Reference implementation: scans all routes.
const route *findRouteByScan(const route_table &table, std::string_view host, std::string_view path)
{
    const std::string_view name = host.substr(0, host.rfind(':'));
    const std::string_view plainPath = path.substr(0, path.find('?'));
    const route *best = nullptr;
    for (const route &one : table.routes) {
        if (!plainPath.starts_with(one.pathPrefix) || !equalsIgnoringCase(one.host, name))
            continue;
        if (best == nullptr || one.pathPrefix.size() > best->pathPrefix.size())
            best = &one;
    }
    return best;
}

using random_source = std::mt19937_64;

std::string randomChoice(const std::vector<std::string> &choices, random_source &random)
{
    return choices[random() % choices.size()];
}

std::string randomHost(random_source &random)
{
    return randomChoice({"", "a.example", "A.Example", "b.example", "[::1]", "\xc3\x96.example",
                         "\xc3\xb6.example", "a.example.", "@.example", "`.example", "x"},
                        random);
}

/// Uses few distinct segments, so that many prefixes are equal or prefixes of each other.
std::string randomPath(random_source &random, bool isPrefix)
{
    static const std::vector<std::string> segments{
            "a",  "b",   "ab", "",       "%2f", "\xc3\xbc", "\xe6\x97\xa5\xe6\x9c\xac",
            "..", "a b", "A",  "a?b=/c", "."};
    if (random() % 16 == 0)
        return "";
    std::string made = random() % 16 == 0 ? "" : "/";
    for (std::uint64_t remaining = random() % 5; remaining > 0; --remaining)
        made += randomChoice(segments, random) + "/";
    if (random() % (isPrefix ? 16 : 2) == 0)
        made += randomChoice(segments, random);
    return made;
}

route_table randomTable(random_source &random)
{
    route_table made;
    made.routes.resize(random() % 60);
    for (route &one : made.routes) {
        one.host = randomHost(random);
        one.pathPrefix = randomPath(random, true);
    }
    return made;
}

std::string describe(const std::string &host, const std::string &path)
{
    return host + " " + path;
}

} // namespace

class route_index_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_index_test);
    CPPUNIT_TEST(indexAgreesWithScan);
    CPPUNIT_TEST(firstOfEqualPrefixesWins);
    CPPUNIT_TEST(eachOfManyRoutesIsFound);
    CPPUNIT_TEST(pathOfManySlashesIsFound);
    CPPUNIT_TEST(firstInvalidRouteTakesUnmatchedRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    void indexAgreesWithScan()
    {
        std::size_t found = 0;
        for (std::uint64_t seed = 1; seed <= 400; ++seed) {
            random_source random(seed);
            const route_table table = randomTable(random);
            const route_index index = buildRouteIndex(table);
            for (int i = 0; i < 200; ++i) {
                const std::string host =
                        randomHost(random) + randomChoice({"", ":80", ":", ":1:2"}, random);
                const std::string path = randomPath(random, false)
                        + randomChoice({"", "?", "?q=/a/", "//?/"}, random);
                const route *expected = findRouteByScan(table, host, path);
                found += expected == nullptr ? 0 : 1;
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + describe(host, path),
                                       expected == findRoute(table, index, host, path));
            }
        }
        CPPUNIT_ASSERT(found > 10'000);
    }

    void firstOfEqualPrefixesWins()
    {
        route_table table;
        table.routes.resize(3);
        for (route &one : table.routes) {
            one.host = "h";
            one.pathPrefix = "/a/";
        }
        const route *found = findRoute(table, buildRouteIndex(table), "H:80", "/a/b");
        CPPUNIT_ASSERT(found == &table.routes.front());
    }

    void eachOfManyRoutesIsFound()
    {
        for (const std::size_t count : {1U, 16U, 255U, 256U, 257U, 400U, 2'000U, 5'000U}) {
            route_table table;
            table.routes.resize(count);
            for (std::size_t i = 0; i < count; ++i) {
                table.routes[i].host = "h" + std::to_string(i % 7);
                table.routes[i].pathPrefix = "/route-" + std::to_string(i) + "/";
            }
            const route_index index = buildRouteIndex(table);
            for (const route &one : table.routes)
                CPPUNIT_ASSERT(findRoute(table, index, one.host, one.pathPrefix + "x") == &one);
            CPPUNIT_ASSERT(findRoute(table, index, "h0", "/route-5000/") == nullptr);
        }
    }

    /// The lookup stops at the deepest matching node, however long the path is.
    void pathOfManySlashesIsFound()
    {
        route_table table;
        table.routes.resize(1);
        table.routes.front().host = "h";
        table.routes.front().pathPrefix = "///";
        const std::string path(1U << 20U, '/');
        CPPUNIT_ASSERT(findRoute(table, buildRouteIndex(table), "h", path)
                       == &table.routes.front());
    }

    void firstInvalidRouteTakesUnmatchedRequests()
    {
        route_table table;
        table.routes.resize(3);
        table.routes[0].host = "h";
        table.routes[0].pathPrefix = "/a/";
        table.routes[1].hasInvalidMatch = true;
        table.routes[2].hasInvalidMatch = true;
        const route_index index = buildRouteIndex(table);
        CPPUNIT_ASSERT(findRoute(table, index, "h", "/a/b") == table.routes.data());
        CPPUNIT_ASSERT(findRoute(table, index, "h", "/b/") == &table.routes[1]);
        CPPUNIT_ASSERT(findRoute(table, index, "", "") == &table.routes[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_index_test);

} // namespace poplarspool::gateway
