#include "poplarspool/gateway/route_index.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

route routeOf(std::string name, std::string host, std::string prefix)
{
    route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.pathPrefix = std::move(prefix);
    return made;
}

} // namespace

class catalogue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_test);
    CPPUNIT_TEST(longestMatchingPrefixWins);
    CPPUNIT_TEST(trafficIsSplitByWeight);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestMatchingPrefixWins()
    {
        route_table table;
        table.routes = {routeOf("short", "a.example", "/x/"), routeOf("long", "a.example", "/x/y/"),
                        routeOf("other", "b.example", "/x/y/z/")};
        const auto nameOf = [&table](std::string_view host, std::string_view path) {
            const route *found = findRoute(table, buildRouteIndex(table), host, path);
            return found == nullptr ? std::string() : found->name;
        };
        CPPUNIT_ASSERT_EQUAL(std::string("long"), nameOf("a.example", "/x/y/z/1?q=/x/"));
        CPPUNIT_ASSERT_EQUAL(std::string("short"), nameOf("A.Example:8080", "/x/z"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("a.example", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("c.example", "/x/y/"));
        CPPUNIT_ASSERT_EQUAL(std::string(), nameOf("a.example", "/?/x/"));
    }

    void trafficIsSplitByWeight()
    {
        route split;
        split.services = {{{"a"}, 9}, {{"none"}, 0}, {{"b"}, 1}};
        std::map<std::string, int> counts;
        for (std::uint64_t draw = 0; draw < 100; ++draw)
            ++counts[pickServiceByWeight(split, draw).text];
        CPPUNIT_ASSERT_EQUAL(90, counts["a"]);
        CPPUNIT_ASSERT_EQUAL(10, counts["b"]);
        CPPUNIT_ASSERT(!pickServiceByWeight(route{}, 7).isValid());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_test);

} // namespace poplarspool::gateway
