#include "adapter/follower_pair.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using test::configSpec;
using test::fake_store;
using test::follower_fixture;
using test::follower_pair;
using test::jsonReply;
using test::runnerSpec;
using test::scripted_store;
using test::waitUntil;

constexpr std::size_t fewRoutes = 16;

std::shared_ptr<const gateway::route_table> tableOf(const follower_fixture &one)
{
    return one.publisher.current()->table;
}

bool haveRoutes(const follower_pair &both, std::uint64_t version, std::size_t routes)
{
    const auto hasRoutes = [&](const follower_fixture &one) {
        const auto table = tableOf(one);
        return table && table->version == version && table->routes.size() == routes;
    };
    return hasRoutes(*both.one) && hasRoutes(*both.two);
}

std::size_t countOf(const follower_pair &both, const std::string &kind)
{
    return both.one->events.events({kind, {}, {}}).size()
            + both.two->events.events({kind, {}, {}}).size();
}

/// As configSpec(), with another time limit for one route.
std::string changedSpec(int version, std::size_t routes, std::size_t place)
{
    json spec = json::parse(configSpec(version, static_cast<int>(routes)));
    spec[wire::routes][place][wire::routeTimeLimitMs] = 7'000;
    return spec.dump();
}

} // namespace

class table_sizes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_sizes_test);
    CPPUNIT_TEST(oneChangeAmongManyRoutesIsRelayed);
    CPPUNIT_TEST(changeOfAllRoutesIsRelayed);
    CPPUNIT_TEST(tablesThatGrowAndShrinkWithinASecondAreFollowed);
    CPPUNIT_TEST(unreadableEntryIsLoggedAndDoesNotAffectOthers);
    CPPUNIT_TEST(runnersAreListedInPages);
    CPPUNIT_TEST(pageMayEndWithAnyName);
    CPPUNIT_TEST(listWithoutContinuationIsBroken);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneChangeAmongManyRoutesIsRelayed()
    {
        constexpr std::size_t count = 2'000;
        fake_store store;
        store.put(wire::configKind, wire::configName, configSpec(3, count));
        const follower_pair both(store);
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthersCount() >= 2; }));
        CPPUNIT_ASSERT(haveRoutes(both, 3, count));
        store.put(wire::configKind, wire::configName, changedSpec(5, count, 1'234));
        CPPUNIT_ASSERT(waitUntil([&] { return haveRoutes(both, 5, count); }));
        for (const auto *one : {both.one.get(), both.two.get()})
            CPPUNIT_ASSERT(tableOf(*one)->routes[1'234].timeLimit == 7s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countOf(both, "changes_untold"));
    }

    /// Guards against a read of the whole table by every instance whenever all routes change.
    void changeOfAllRoutesIsRelayed()
    {
        for (const std::size_t count : {259U, 1'000U}) {
            fake_store store;
            store.put(wire::configKind, wire::configName, configSpec(3, static_cast<int>(count)));
            const follower_pair both(store);
            CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthersCount() >= 2; }));
            CPPUNIT_ASSERT(haveRoutes(both, 3, count));
            json spec = json::parse(configSpec(5, static_cast<int>(count)));
            for (json &route : spec[wire::routes])
                route[wire::routeTimeLimitMs] = 7'000;
            store.put(wire::configKind, wire::configName, spec.dump());
            CPPUNIT_ASSERT(waitUntil([&] { return haveRoutes(both, 5, count); }));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, countOf(both, "changes_untold"));
            std::size_t relayed = 0;
            for (const auto *one : {both.one.get(), both.two.get()}) {
                CPPUNIT_ASSERT(tableOf(*one)->routes.back().timeLimit == 7s);
                for (const event &line : one->events.events({"store_changes", {}, {}}))
                    relayed += line.fields[0].value == wire::configKind
                                    && line.fields[1].value == "relay"
                            ? 1
                            : 0;
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, relayed);
        }
    }

    void tablesThatGrowAndShrinkWithinASecondAreFollowed()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, configSpec(1, fewRoutes));
        const follower_pair both(store);
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthersCount() >= 2; }));
        int version = 1;
        for (const std::size_t added : {400U, 0U, 400U, 0U}) {
            version += 3;
            store.put(wire::configKind, wire::configName,
                      configSpec(version, static_cast<int>(fewRoutes + added)));
            std::this_thread::sleep_for(250ms);
        }
        CPPUNIT_ASSERT(waitUntil(
                [&] { return haveRoutes(both, static_cast<std::uint64_t>(version), fewRoutes); }));
        store.put(wire::configKind, wire::configName, configSpec(version + 1, 416));
        CPPUNIT_ASSERT(waitUntil(
                [&] { return haveRoutes(both, static_cast<std::uint64_t>(version) + 1, 416); }));
        CPPUNIT_ASSERT(*tableOf(*both.one) == *tableOf(*both.two));
    }

    void unreadableEntryIsLoggedAndDoesNotAffectOthers()
    {
        fake_store store;
        store.put(wire::configKind, wire::configName, configSpec(1, fewRoutes));
        const follower_pair both(store);
        CPPUNIT_ASSERT(waitUntil([&] { return both.followedByOthersCount() >= 2; }));
        json spec = json::parse(configSpec(4, fewRoutes));
        spec[wire::routes][5][wire::routeTimeLimitMs] = -1;
        store.put(wire::configKind, wire::configName, spec.dump());
        CPPUNIT_ASSERT(waitUntil([&] { return haveRoutes(both, 4, fewRoutes); }));
        for (const auto *one : {both.one.get(), both.two.get()}) {
            const auto table = tableOf(*one);
            for (std::size_t place = 0; place < fewRoutes; ++place)
                CPPUNIT_ASSERT_EQUAL(place == 5, table->routes[place].services.empty());
        }
        std::string lines;
        for (const auto *one : {both.one.get(), both.two.get()}) {
            for (const event &line : one->events.events({"entry_refused", {}, {}}))
                lines += line.fields.front().value;
        }
        CPPUNIT_ASSERT(lines.find("route-of-some-length-5") != std::string::npos);
    }

    void runnersAreListedInPages()
    {
        for (const std::size_t count : {1U, 499U, 500U, 501U, 3'000U}) {
            fake_store store;
            store.pageSize = 500;
            for (std::size_t i = 0; i < count; ++i)
                store.put(wire::runnerKind, "i-" + std::to_string(i), runnerSpec("in_service"));
            metrics_registry metrics;
            store_client client(store.address(), metrics);
            const auto listed = client.list(wire::runnerKind, read_mode::Current);
            CPPUNIT_ASSERT_EQUAL(count, valueOf(listed).objects.size());
            CPPUNIT_ASSERT_EQUAL(static_cast<int>((count + 499) / 500), store.pages.load());
        }
    }

    void pageMayEndWithAnyName()
    {
        scripted_store store({jsonReply(R"({"items":[{"metadata":{"name":"a b&c=%/\u00fc"}}],
                                            "truncated":true,"currentRev":5})"),
                              jsonReply(R"({"items":[],"currentRev":5})")});
        store_client client(store.address, store.metrics);
        CPPUNIT_ASSERT(succeeded(client.list("k", read_mode::Current)));
        CPPUNIT_ASSERT(store.requests[1].ends_with("k?after=a%20b%26c%3D%25/%C3%BC"));
    }

    /// Guards against repeated calls, each of which is billed.
    void listWithoutContinuationIsBroken()
    {
        for (const char *page : {R"({"items":[],"truncated":true,"currentRev":5})",
                                 R"({"items":[{"metadata":7}],"truncated":true,"currentRev":5})"}) {
            scripted_store store({jsonReply(page), jsonReply(page), jsonReply(page)});
            store_client client(store.address, store.metrics);
            CPPUNIT_ASSERT(errorOf(client.list("k", read_mode::Current)).code
                           == error_code::Broken);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.requests.size());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_sizes_test);

} // namespace poplarspool::adapter
