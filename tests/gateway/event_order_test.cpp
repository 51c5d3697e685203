#include "gateway/event_order.h"

#include "proxy_fixture.h"

namespace poplarspool::gateway {

namespace {

using test::chunkedStream;
using test::script;
using test::script_end;
using test::scripted_runner;
using fixture = test::proxy_fixture;

constexpr std::uint64_t hugeId = UINT64_MAX;

std::string eventText(std::uint64_t id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

} // namespace

class event_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_order_test);
    CPPUNIT_TEST(eventsBehindAnIdThatIsTooLargeAreNotLeftOut);
    CPPUNIT_TEST(streamIsNotResumedAfterAnIdThatIsTooLarge);
    CPPUNIT_TEST(streamThatIsTakenUpRepeatsNothing);
    CPPUNIT_TEST(runMayBeginTooEarlyOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a stream that ends as complete without the events behind a spoiled id.
    void eventsBehindAnIdThatIsTooLargeAreNotLeftOut()
    {
        const scripted_runner runner(
                {{chunkedStream(eventText(1) + eventText(hugeId) + eventText(3))}});
        fixture test({&runner});
        test.sendRequest("/stream/1");
        CPPUNIT_ASSERT(!test.caller.isWhole);
    }

    /// Guards against a stream that ends as complete where its next run finds nothing left to
    /// write.
    void streamIsNotResumedAfterAnIdThatIsTooLarge()
    {
        for (const std::string &events : {eventText(1) + eventText(hugeId), eventText(hugeId)})
            expectNoResume(events);
    }

    static void expectNoResume(const std::string &events)
    {
        const script broken{test::streamHead + events, script_end::Reset};
        const scripted_runner first({broken});
        const scripted_runner second({{chunkedStream({})}});
        fixture test({&first, &second});
        test.runnerTable.candidatesOf(*test.publisher.current(), {.service = {"s"}});
        const runner_table::open_send busy(test.runnerTable, {"r1"}, 0, send_class::Urgent);
        test.sendRequest("/stream/1", "5000", {{"Tokens", "10,17"}});
        CPPUNIT_ASSERT_EQUAL(events, test.caller.body);
        CPPUNIT_ASSERT(!test.caller.isWhole);
    }

    /// Guards against an event that comes twice because a run begins before the caller's last one.
    void streamThatIsTakenUpRepeatsNothing()
    {
        const scripted_runner runner({{chunkedStream(eventText(2) + eventText(3))}});
        fixture test({&runner});
        test.publisher.update([&test](catalogue &next) {
            next.soleVersions = std::make_shared<const sole_version_map>(
                    sole_version_map{{{"s"}, {versionKeyOf({}), {}}}});
            next.runnersConfirmedAt = test.clock.mono() + std::chrono::seconds(10);
            return true;
        });
        test.sendRequest("/stream/1", "5000", {{"Last", "2"}});
        CPPUNIT_ASSERT_EQUAL(eventText(3), test.caller.body);
    }

    void runMayBeginTooEarlyOnly()
    {
        event_order order(2, 17);
        order.beginRun();
        CPPUNIT_ASSERT(order.add(1) == event_verdict::Skip);
        CPPUNIT_ASSERT(order.add(2) == event_verdict::Skip);
        CPPUNIT_ASSERT(order.add(3) == event_verdict::Pass);
        CPPUNIT_ASSERT(order.add({}) == event_verdict::Pass);
        CPPUNIT_ASSERT(order.canResume());
        CPPUNIT_ASSERT(order.add(3) == event_verdict::OutOfOrder);
        CPPUNIT_ASSERT(!order.canResume());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_order_test);

} // namespace poplarspool::gateway
