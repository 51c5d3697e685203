#include "peer/codec.h"
#include "poplarspool/gateway/catalogue_updater.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace poplarspool::gateway {

namespace {

using random_source = std::mt19937_64;

/// Offset of the format version in encoded data; cereal writes the byte order before it.
constexpr std::size_t formatOffset = 1;

route routeOf(std::uint64_t number)
{
    route made;
    made.name = "route-" + std::to_string(number);
    made.host = "host.example";
    made.pathPrefix = "/v1/route-" + std::to_string(number) + "/";
    made.retryPolicy = retry_policy::Idempotent;
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

/// @returns A copy in which a few routes, services and workspaces are removed, added, duplicated,
/// moved or changed.
route_table editedTable(const route_table &before, random_source &random)
{
    route_table made = before;
    ++made.version;
    const auto randomItem = [&random](auto &parts) {
        return parts.begin()
                + static_cast<std::ptrdiff_t>(parts.empty() ? 0 : random() % parts.size());
    };
    for (std::uint64_t remaining = random() % 8; remaining > 0; --remaining) {
        const std::uint64_t edit = random() % 9;
        if (edit == 6)
            made.workspaces.insert(randomItem(made.workspaces), workspaceOf(random() % 100));
        if (edit == 7 && !made.workspaces.empty())
            randomItem(made.workspaces)->keys.clear();
        if (edit == 8)
            made.needsKeys = !made.needsKeys;
        if (edit == 0)
            made.routes.insert(randomItem(made.routes), routeOf(random() % 100));
        if (made.routes.empty())
            continue;
        if (edit == 1)
            made.routes.erase(randomItem(made.routes));
        if (edit == 2)
            made.routes.push_back(*randomItem(made.routes));
        if (edit == 3)
            std::iter_swap(randomItem(made.routes), randomItem(made.routes));
        if (edit == 4)
            made.routes[random() % made.routes.size()].rank += 1;
        if (edit == 5)
            made.services.insert(randomItem(made.services), serviceOf(random() % 5));
    }
    return made;
}

/// @returns An encoded delta that ends with the given run of routes, repeated `runs` times.
std::string textOfRun(const route_table &before, std::uint64_t count, std::uint64_t first,
                      std::uint64_t runs = 1)
{
    route_table after = before;
    ++after.version;
    after.routes.clear();
    std::string text = valueOf(encode(after, before));
    text.pop_back(); // The empty list of routes.
    peer::encoder out;
    out.varint(runs);
    for (std::uint64_t i = 0; i < runs; ++i) {
        out.varint(count);
        out.varint(first);
    }
    return text + out.take().substr(formatOffset);
}

} // namespace

class relayed_routes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relayed_routes_test);
    CPPUNIT_TEST(editedTablesAreDecodedAsEncoded);
    CPPUNIT_TEST(oneChangeAmongManyRoutesFits);
    CPPUNIT_TEST(invalidRoutesArePreserved);
    CPPUNIT_TEST(anyNumberOfNewRoutesIsEncoded);
    CPPUNIT_TEST(changeOfAllRoutesIsEncoded);
    CPPUNIT_TEST(anyNumberOfRemovedRoutesIsEncoded);
    CPPUNIT_TEST(runsBeyondThePreviousTableAreRejected);
    CPPUNIT_TEST(sizeOfDecodedTableIsLimited);
    CPPUNIT_TEST(otherFormatsAreRejected);
    CPPUNIT_TEST(corruptedDataIsRejected);
    CPPUNIT_TEST(namesAreEncodedUpToTheirLimits);
    CPPUNIT_TEST_SUITE_END();

public:
    void editedTablesAreDecodedAsEncoded()
    {
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            random_source random(seed);
            route_table known = tableOf(1, random() % 40);
            for (int step = 0; step < 5; ++step) {
                const route_table after = editedTable(known, random);
                const auto decoded = decodeRouteTable(valueOf(encode(after, known)), known);
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), valueOf(decoded) == after);
                known = after;
            }
        }
    }

    /// A change of one route or limit fits into a datagram, whatever the number of routes.
    void oneChangeAmongManyRoutesFits()
    {
        for (const std::uint64_t count : {16U, 255U, 256U, 257U, 400U, 2'000U, 5'000U}) {
            const route_table before = tableOf(4, count, 60);
            route_table after = before;
            after.version = 9;
            after.callerLimits.idleTimeout = milliseconds(7'000);
            after.routes[count / 2].timeLimit = milliseconds(7'000);
            after.routes.erase(after.routes.begin() + 1);
            after.routes.push_back(routeOf(count));
            const std::string delta = valueOf(encode(after, before));
            CPPUNIT_ASSERT(delta.size() <= config::maxChangeBytes / 4);
            CPPUNIT_ASSERT(valueOf(decodeRouteTable(delta, before)) == after);
        }
    }

    void invalidRoutesArePreserved()
    {
        const route_table before = tableOf(4, 3);
        route_table after = tableOf(9, 3);
        after.routes[0].services.clear();
        after.routes[1] = route{};
        after.routes[1].hasInvalidMatch = true;
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(encode(after, before)), before)) == after);
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(encode(before, {})), {})) == before);
    }

    void anyNumberOfNewRoutesIsEncoded()
    {
        for (const std::uint64_t count : {255U, 256U, 400U, 16'368U}) {
            const auto delta = encode(tableOf(9, 16 + count), tableOf(4, 16));
            CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(delta), tableOf(4, 16)))
                           == tableOf(9, 16 + count));
        }
        CPPUNIT_ASSERT(errorOf(encode(tableOf(9, 16'385), tableOf(4, 16))).code
                       == error_code::TooLarge);
    }

    /// Guards against a change that no relay sends: every instance reads the whole table.
    void changeOfAllRoutesIsEncoded()
    {
        for (const std::uint64_t count : {255U, 256U, 259U, 5'000U}) {
            const route_table before = tableOf(4, count);
            route_table after = tableOf(9, count);
            for (route &one : after.routes)
                one.timeLimit = milliseconds(7'000);
            const auto delta = encode(after, before);
            CPPUNIT_ASSERT(valueOf(decodeRouteTable(valueOf(delta), before)) == after);
        }
    }

    void anyNumberOfRemovedRoutesIsEncoded()
    {
        const std::string delta = valueOf(encode(tableOf(9, 16), tableOf(4, 2'000)));
        CPPUNIT_ASSERT(delta.size() < 64);
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(delta, tableOf(4, 2'000))) == tableOf(9, 16));
        const std::string none = valueOf(encode(tableOf(9, 0, 0), tableOf(4, 2'000)));
        CPPUNIT_ASSERT(valueOf(decodeRouteTable(none, tableOf(4, 2'000))) == tableOf(9, 0, 0));
    }

    void runsBeyondThePreviousTableAreRejected()
    {
        const route_table before = tableOf(4, 20);
        const auto isAccepted = [&before](std::uint64_t count, std::uint64_t first) {
            return succeeded(decodeRouteTable(textOfRun(before, count, first), before));
        };
        CPPUNIT_ASSERT(isAccepted(20, 0) && isAccepted(1, 19) && isAccepted(5, 15));
        CPPUNIT_ASSERT(!isAccepted(21, 0) && !isAccepted(1, 20) && !isAccepted(6, 15));
        CPPUNIT_ASSERT(!isAccepted(UINT32_MAX, 1) && !isAccepted(2, UINT32_MAX));
        CPPUNIT_ASSERT(!isAccepted(std::uint64_t{1} << 32U, 0) && !isAccepted(1, UINT64_MAX));
    }

    /// A run of a few bytes stands for many routes and may be repeated.
    void sizeOfDecodedTableIsLimited()
    {
        const route_table before = tableOf(4, 1'024);
        const auto decoded = [&before](std::uint64_t runs) {
            return decodeRouteTable(textOfRun(before, 1'024, 0, runs), before);
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t{16'384}, valueOf(decoded(16)).routes.size());
        CPPUNIT_ASSERT(!succeeded(decoded(17)) && !succeeded(decoded(256))
                       && !succeeded(decoded(257)));
        CPPUNIT_ASSERT(succeeded(encode(tableOf(9, 16'384), tableOf(4, 16'384))));
        CPPUNIT_ASSERT(errorOf(encode(tableOf(9, 16'385), tableOf(4, 16'385))).code
                       == error_code::TooLarge);
    }

    void otherFormatsAreRejected()
    {
        const route_table before = tableOf(4, 20);
        std::string text = valueOf(encode(tableOf(9, 21), before));
        const char format = text[formatOffset];
        for (char other = 0; other < 16; ++other) {
            text[formatOffset] = other;
            CPPUNIT_ASSERT_EQUAL(other == format, succeeded(decodeRouteTable(text, before)));
        }
    }

    void corruptedDataIsRejected()
    {
        const route_table before = tableOf(4, 20);
        route_table after = tableOf(9, 22);
        after.routes.erase(after.routes.begin() + 3);
        const std::string text = valueOf(encode(after, before));
        for (std::size_t size = 0; size < text.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeRouteTable(text.substr(0, size), before)));
        CPPUNIT_ASSERT(!succeeded(decodeRouteTable(text + '\0', before)));
        random_source random(1);
        for (int i = 0; i < 20'000; ++i) {
            std::string changed = text;
            for (std::uint64_t remaining = 1 + random() % 4; remaining > 0; --remaining)
                changed[random() % changed.size()] = static_cast<char>(random());
            const auto decoded = decodeRouteTable(changed, before);
            CPPUNIT_ASSERT(!succeeded(decoded) || valueOf(decoded).routes.size() <= 16'384);
        }
    }

    void namesAreEncodedUpToTheirLimits()
    {
        const auto isEncodable = [](std::size_t name, std::size_t host, std::size_t prefix,
                                    std::size_t service) {
            route_table table = tableOf(9, 1, 0);
            table.routes.front().name = std::string(name, 'n');
            table.routes.front().host = std::string(host, 'h');
            table.routes.front().pathPrefix = std::string(prefix, '/');
            table.routes.front().services = {{{std::string(service, 's')}, UINT32_MAX}};
            const auto delta = encode(table, {});
            return succeeded(delta) && valueOf(decodeRouteTable(valueOf(delta), {})) == table;
        };
        CPPUNIT_ASSERT(isEncodable(0, 0, 0, 0) && isEncodable(128, 128, 512, 128));
        CPPUNIT_ASSERT(!isEncodable(129, 1, 1, 1) && !isEncodable(1, 129, 1, 1));
        CPPUNIT_ASSERT(!isEncodable(1, 1, 513, 1) && !isEncodable(1, 1, 1, 129));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relayed_routes_test);

} // namespace poplarspool::gateway
