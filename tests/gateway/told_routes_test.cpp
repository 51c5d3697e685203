#include "peer/codec.h"
#include "poplarspool/config.h"
#include "poplarspool/gateway/catalogue_keeper.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace poplarspool::gateway {

namespace {

using draws = std::mt19937_64;

/// Of the number of a text's form; before it, cereal says the order of bytes.
constexpr std::size_t formPlace = 1;

route routeOf(std::uint64_t number)
{
    route made;
    made.name = "route-" + std::to_string(number);
    made.host = "host.example";
    made.pathPrefix = "/v1/route-" + std::to_string(number) + "/";
    made.repeats = repeat_rule::Idempotent;
    made.timeLimit = milliseconds(5'000);
    made.services = {{{"service-" + std::to_string(number % 7)}, 1}};
    return made;
}

service serviceOf(std::uint64_t number)
{
    return {{"service-of-some-length-" + std::to_string(number)},
            engine_traits{128, 752'347, 18'432, 320'000.5}};
}

route_table tableOf(std::uint64_t version, std::uint64_t routes, std::uint64_t services = 3)
{
    route_table made;
    made.version = version;
    for (std::uint64_t i = 0; i < routes; ++i)
        made.routes.push_back(routeOf(i));
    for (std::uint64_t i = 0; i < services; ++i)
        made.services.push_back(serviceOf(i));
    return made;
}

workspaces::workspace workspaceOf(std::uint64_t number)
{
    return {{"space-" + std::to_string(number)},
            {digest128Of("key-" + std::to_string(number)), digest128Of("other")},
            number % 3 == 0 ? std::optional(std::uint32_t{1}) : std::nullopt};
}

/// A few routes, services and workspaces are dropped, added, doubled, moved or changed.
route_table editedTable(const route_table &before, draws &random)
{
    route_table made = before;
    ++made.version;
    const auto anyPlace = [&random](auto &parts) {
        return parts.begin()
                + static_cast<std::ptrdiff_t>(parts.empty() ? 0 : random() % parts.size());
    };
    for (std::uint64_t left = random() % 8; left > 0; --left) {
        const std::uint64_t edit = random() % 9;
        if (edit == 6)
            made.workspaces.insert(anyPlace(made.workspaces), workspaceOf(random() % 100));
        if (edit == 7 && !made.workspaces.empty())
            anyPlace(made.workspaces)->keys.clear();
        if (edit == 8)
            made.needsKeys = !made.needsKeys;
        if (edit == 0)
            made.routes.insert(anyPlace(made.routes), routeOf(random() % 100));
        if (made.routes.empty())
            continue;
        if (edit == 1)
            made.routes.erase(anyPlace(made.routes));
        if (edit == 2)
            made.routes.push_back(*anyPlace(made.routes));
        if (edit == 3)
            std::iter_swap(anyPlace(made.routes), anyPlace(made.routes));
        if (edit == 4)
            made.routes[random() % made.routes.size()].rank += 1;
        if (edit == 5)
            made.services.insert(anyPlace(made.services), serviceOf(random() % 5));
    }
    return made;
}

/// A table of which one run of routes is told, that ends the text.
std::string textOfRun(const route_table &before, std::uint64_t count, std::uint64_t first,
                      std::uint64_t runs = 1)
{
    route_table after = before;
    ++after.version;
    after.routes.clear();
    std::string text = valueOf(encode(after, before));
    text.pop_back(); // No routes.
    peer::encoder out;
    out.varint(runs);
    for (std::uint64_t i = 0; i < runs; ++i) {
        out.varint(count);
        out.varint(first);
    }
    return text + out.take().substr(formPlace);
}

} // namespace

class told_routes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(told_routes_test);
    CPPUNIT_TEST(editedTablesAreToldAsTheyAre);
    CPPUNIT_TEST(oneChangeAmongManyRoutesFits);
    CPPUNIT_TEST(routesThatCantBeReadAreToldAsSuch);
    CPPUNIT_TEST(manyNewRoutesAreLeftToTheStore);
    CPPUNIT_TEST(whatLeavesIsToldAtAnyCount);
    CPPUNIT_TEST(runsBeyondTheTableBeforeAreRefused);
    CPPUNIT_TEST(aFewBytesClaimNoHugeTable);
    CPPUNIT_TEST(otherFormsAreRefused);
    CPPUNIT_TEST(brokenTextIsNoTable);
    CPPUNIT_TEST(namesAreToldUpToTheirBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    void editedTablesAreToldAsTheyAre()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            draws random(seed);
            route_table known = tableOf(1, random() % 40);
            for (int step = 0; step < 5; ++step) {
                const route_table after = editedTable(known, random);
                const auto heard = decodeRouteTable(valueOf(encode(after, known)), known);
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), valueOf(heard) == after);
                known = after;
            }
        }
    }

    /// One datagram holds a change of one route or of a limit, however many routes there are.
    void oneChangeAmongManyRoutesFits()
    {
        for (const std::uint64_t count : {16U, 255U, 256U, 257U, 400U, 2'000U, 5'000U}) {
            const route_table before = tableOf(4, count, 60);
            route_table after = before;
            after.version = 9;
            after.bounds.idleTime = milliseconds(7'000);
            after.routes[count / 2].timeLimit = milliseconds(7'000);
            after.routes.erase(after.routes.begin() + 1);
            after.routes.push_back(routeOf(count));
            const std::string told = valueOf(encode(after, before));
            CPPUNIT_ASSERT(told.size() <= config::maxChangeBytes / 4);
            CPPUNIT_ASSERT(valueOf(decodeRouteTable(told, before)) == after);
        }
    }

    void routesThatCantBeReadAreToldAsSuch()
    {
        const route_table before = tableOf(4, 3);
        route_table after = tableOf(9, 3);
        after.routes[0].services.clear();
        after.routes[1] = route{};
        after.routes[1].isUnplaced = true;
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(encode(after, before)), before)) == after);
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(encode(before, {})), {})) == before);
    }

    void manyNewRoutesAreLeftToTheStore()
    {
        // The routes before are one item of 256, as a run.
        for (const std::uint64_t count : {255U, 256U, 400U}) {
            const auto told = encode(tableOf(9, 16 + count), tableOf(4, 16));
            if (count > 255U)
                CPPUNIT_ASSERT(errorOf(told).code == error_code::TooLarge);
            else
                CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(told), tableOf(4, 16)))
                               == tableOf(9, 16 + count));
        }
    }

    void whatLeavesIsToldAtAnyCount()
    {
        const std::string told = valueOf(encode(tableOf(9, 16), tableOf(4, 2'000)));
        CPPUNIT_ASSERT(told.size() < 64);
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(told, tableOf(4, 2'000))) == tableOf(9, 16));
        const std::string none = valueOf(encode(tableOf(9, 0, 0), tableOf(4, 2'000)));
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(none, tableOf(4, 2'000))) == tableOf(9, 0, 0));
    }

    void runsBeyondTheTableBeforeAreRefused()
    {
        const route_table before = tableOf(4, 20);
        const auto isTable = [&before](std::uint64_t count, std::uint64_t first) {
            return succeeded(decodeRouteTable(textOfRun(before, count, first), before));
        };
        CPPUNIT_ASSERT(isTable(20, 0) && isTable(1, 19) && isTable(5, 15));
        CPPUNIT_ASSERT(!isTable(21, 0) && !isTable(1, 20) && !isTable(6, 15));
        CPPUNIT_ASSERT(!isTable(UINT32_MAX, 1) && !isTable(2, UINT32_MAX));
        CPPUNIT_ASSERT(!isTable(std::uint64_t{1} << 32U, 0) && !isTable(1, UINT64_MAX));
    }

    /// Each run of a few bytes stands for many routes, and may be told again and again.
    void aFewBytesClaimNoHugeTable()
    {
        const route_table before = tableOf(4, 1'024);
        const auto heard = [&before](std::uint64_t runs) {
            return decodeRouteTable(textOfRun(before, 1'024, 0, runs), before);
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{16'384}, valueOf(heard(16)).routes.size());
        CPPUNIT_ASSERT(!succeeded(heard(17)) && !succeeded(heard(256)) && !succeeded(heard(257)));
        CPPUNIT_ASSERT(succeeded(encode(tableOf(9, 16'384), tableOf(4, 16'384))));
        CPPUNIT_ASSERT(errorOf(encode(tableOf(9, 16'385), tableOf(4, 16'385))).code
                       == error_code::TooLarge);
    }

    void otherFormsAreRefused()
    {
        const route_table before = tableOf(4, 20);
        std::string text = valueOf(encode(tableOf(9, 21), before));
        const char form = text[formPlace];
        for (char other = 0; other < 16; ++other) {
            text[formPlace] = other;
            CPPUNIT_ASSERT_EQUAL(other == form, succeeded(decodeRouteTable(text, before)));
        }
    }

    void brokenTextIsNoTable()
    {
        const route_table before = tableOf(4, 20);
        route_table after = tableOf(9, 22);
        after.routes.erase(after.routes.begin() + 3);
        const std::string text = valueOf(encode(after, before));
        for (std::size_t size = 0; size < text.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeRouteTable(text.substr(0, size), before)));
        CPPUNIT_ASSERT(!succeeded(decodeRouteTable(text + '\0', before)));
        draws random(1);
        for (int i = 0; i < 20'000; ++i) {
            std::string changed = text;
            for (std::uint64_t left = 1 + random() % 4; left > 0; --left)
                changed[random() % changed.size()] = static_cast<char>(random());
            const auto heard = decodeRouteTable(changed, before);
            CPPUNIT_ASSERT(!succeeded(heard) || valueOf(heard).routes.size() <= 16'384);
        }
    }

    void namesAreToldUpToTheirBounds()
    {
        const auto isTold = [](std::size_t name, std::size_t host, std::size_t prefix,
                               std::size_t service) {
            route_table table = tableOf(9, 1, 0);
            table.routes.front().name = std::string(name, 'n');
            table.routes.front().host = std::string(host, 'h');
            table.routes.front().pathPrefix = std::string(prefix, '/');
            table.routes.front().services = {{{std::string(service, 's')}, UINT32_MAX}};
            const auto told = encode(table, {});
            return succeeded(told) && valueOf(decodeRouteTable(valueOf(told), {})) == table;
        };
        CPPUNIT_ASSERT(isTold(0, 0, 0, 0) && isTold(128, 128, 512, 128));
        CPPUNIT_ASSERT(!isTold(129, 1, 1, 1) && !isTold(1, 129, 1, 1));
        CPPUNIT_ASSERT(!isTold(1, 1, 513, 1) && !isTold(1, 1, 1, 129));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(told_routes_test);

} // namespace poplarspool::gateway
