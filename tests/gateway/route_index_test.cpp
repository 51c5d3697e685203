#include "base/http_text.h"
#include "poplarspool/gateway/route_index.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace poplarspool::gateway {

namespace {

/// What the index must agree with: every route is looked at.
const route *walkedRoute(const route_table &table, std::string_view host, std::string_view path)
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

using draws = std::mt19937_64;

std::string anyOf(const std::vector<std::string> &choices, draws &random)
{
    return choices[random() % choices.size()];
}

std::string anyHost(draws &random)
{
    return anyOf({"", "a.example", "A.Example", "b.example", "[::1]", "\xc3\x96.example",
                  "\xc3\xb6.example", "a.example.", "@.example", "`.example", "x"},
                 random);
}

/// Mostly between slashes, of few words, so that prefixes are equal and begin each other.
std::string anyPath(draws &random, bool isPrefix)
{
    static const std::vector<std::string> words{
            "a",  "b",   "ab", "",       "%2f", "\xc3\xbc", "\xe6\x97\xa5\xe6\x9c\xac",
            "..", "a b", "A",  "a?b=/c", "."};
    if (random() % 16 == 0)
        return "";
    std::string made = random() % 16 == 0 ? "" : "/";
    for (std::uint64_t left = random() % 5; left > 0; --left)
        made += anyOf(words, random) + "/";
    if (random() % (isPrefix ? 16 : 2) == 0)
        made += anyOf(words, random);
    return made;
}

route_table anyTable(draws &random)
{
    route_table made;
    made.routes.resize(random() % 60);
    for (route &one : made.routes) {
        one.host = anyHost(random);
        one.pathPrefix = anyPath(random, true);
    }
    return made;
}

std::string shown(const std::string &host, const std::string &path)
{
    return host + " " + path;
}

} // namespace

class route_index_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(route_index_test);
    CPPUNIT_TEST(findsWhatAWalkFinds);
    CPPUNIT_TEST(ofEqualPrefixesTheFirstWins);
    CPPUNIT_TEST(findsEachOfManyRoutes);
    CPPUNIT_TEST(pathsOfManySlashesAreFound);
    CPPUNIT_TEST(aRouteWithoutAPlaceTakesWhatIsLeft);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsWhatAWalkFinds()
    {
        std::size_t found = 0;
        for (std::uint64_t seed = 1; seed <= 400; ++seed) {
            draws random(seed);
            const route_table table = anyTable(random);
            const route_index index = indexOf(table);
            for (int i = 0; i < 200; ++i) {
                const std::string host = anyHost(random) + anyOf({"", ":80", ":", ":1:2"}, random);
                const std::string path =
                        anyPath(random, false) + anyOf({"", "?", "?q=/a/", "//?/"}, random);
                const route *walked = walkedRoute(table, host, path);
                found += walked == nullptr ? 0 : 1;
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + shown(host, path),
                                       walked == findRoute(table, index, host, path));
            }
        }
        CPPUNIT_ASSERT(found > 10'000);
    }

    void ofEqualPrefixesTheFirstWins()
    {
        route_table table;
        table.routes.resize(3);
        for (route &one : table.routes) {
            one.host = "h";
            one.pathPrefix = "/a/";
        }
        const route *found = findRoute(table, indexOf(table), "H:80", "/a/b");
        CPPUNIT_ASSERT(found == &table.routes.front());
    }

    void findsEachOfManyRoutes()
    {
        for (const std::size_t count : {1U, 16U, 255U, 256U, 257U, 400U, 2'000U, 5'000U}) {
            route_table table;
            table.routes.resize(count);
            for (std::size_t i = 0; i < count; ++i) {
                table.routes[i].host = "h" + std::to_string(i % 7);
                table.routes[i].pathPrefix = "/route-" + std::to_string(i) + "/";
            }
            const route_index index = indexOf(table);
            for (const route &one : table.routes)
                CPPUNIT_ASSERT(findRoute(table, index, one.host, one.pathPrefix + "x") == &one);
            CPPUNIT_ASSERT(findRoute(table, index, "h0", "/route-5000/") == nullptr);
        }
    }

    /// The lookup ends where no route goes on, however long the path is.
    void pathsOfManySlashesAreFound()
    {
        route_table table;
        table.routes.resize(1);
        table.routes.front().host = "h";
        table.routes.front().pathPrefix = "///";
        const std::string path(1U << 20U, '/');
        CPPUNIT_ASSERT(findRoute(table, indexOf(table), "h", path) == &table.routes.front());
    }

    void aRouteWithoutAPlaceTakesWhatIsLeft()
    {
        route_table table;
        table.routes.resize(3);
        table.routes[0].host = "h";
        table.routes[0].pathPrefix = "/a/";
        table.routes[1].isUnplaced = true;
        table.routes[2].isUnplaced = true;
        const route_index index = indexOf(table);
        CPPUNIT_ASSERT(findRoute(table, index, "h", "/a/b") == table.routes.data());
        CPPUNIT_ASSERT(findRoute(table, index, "h", "/b/") == &table.routes[1]);
        CPPUNIT_ASSERT(findRoute(table, index, "", "") == &table.routes[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(route_index_test);

} // namespace poplarspool::gateway
