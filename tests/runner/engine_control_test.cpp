#include "engine_fixture.h"
#include "runner/engine_json.h"

#include <future>

namespace poplarspool::runner {

namespace {

engine_order orderFor(std::uint64_t fence, const std::string &nonce, policy::engine_role role)
{
    return {fence, nonce, {role, {{"m", "1"}}}};
}

standin::engine_options slowOptions()
{
    auto options = engine_fixture::fastOptions();
    options.speed = 1;
    return options;
}

} // namespace

class engine_control_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_control_test);
    CPPUNIT_TEST(loadIsReported);
    CPPUNIT_TEST(staleOrdersAreRejected);
    CPPUNIT_TEST(staleOrdersAreAppliedWithoutFencing);
    CPPUNIT_TEST(orderCutsRunningStreams);
    CPPUNIT_TEST(streamContinuesOnAnotherEngineFromItsKv);
    CPPUNIT_TEST(cancelMatchesRequestAndAttempt);
    CPPUNIT_TEST(gapsInCacheEventsAreDetected);
    CPPUNIT_TEST_SUITE_END();

    void loadIsReported()
    {
        engine_fixture fixture;
        const auto first = fixture.api.load(fixture.address);
        const auto second = fixture.api.load(fixture.address);
        CPPUNIT_ASSERT(succeeded(first) && succeeded(second));
        const policy::load_report &report = valueOf(second);
        CPPUNIT_ASSERT(report.incarnation == valueOf(first).incarnation);
        CPPUNIT_ASSERT(report.sequence > valueOf(first).sequence);
        CPPUNIT_ASSERT_EQUAL(1000U, report.kvPiecesTotal);
        CPPUNIT_ASSERT(report.models == std::vector<policy::model_version>({{"m", "1"}}));
    }

    // A writer that has lost its lease sends its order late. The engine must reject it, since it
    // has already applied an order with the same or a higher fencing token; a repeat of the same
    // order must be accepted.
    void staleOrdersAreRejected()
    {
        engine_fixture fixture;
        const auto newer = orderFor(7, "new", policy::engine_role::Decode);
        CPPUNIT_ASSERT(succeeded(fixture.api.order(fixture.address, newer, testTimeout)));
        CPPUNIT_ASSERT(succeeded(fixture.api.order(fixture.address, newer, testTimeout)));
        for (const auto &stale : {orderFor(6, "old", policy::engine_role::Prefill),
                                  orderFor(7, "twin", policy::engine_role::Prefill)}) {
            const auto refused = fixture.api.order(fixture.address, stale, testTimeout);
            CPPUNIT_ASSERT(errorOf(refused).code == error_code::Stale);
            CPPUNIT_ASSERT(errorOf(refused).ran == verdict::NotRun);
        }
        awaitThat([&] { return fixture.engine.records().changes == 1; });
        const auto load = fixture.api.load(fixture.address);
        CPPUNIT_ASSERT(valueOf(load).role == policy::engine_role::Decode);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), valueOf(load).lastFence);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), fixture.engine.records().staleOrdersRefused);
    }

    // An engine that doesn't check fencing tokens applies a stale order. The stand-in must do so
    // too, and count it so that the stale order can be detected.
    void staleOrdersAreAppliedWithoutFencing()
    {
        auto options = engine_fixture::fastOptions();
        options.respectsFence = false;
        engine_fixture fixture(options);
        const auto newer = orderFor(7, "new", policy::engine_role::Decode);
        const auto stale = orderFor(6, "old", policy::engine_role::Prefill);
        CPPUNIT_ASSERT(succeeded(fixture.api.order(fixture.address, newer, testTimeout)));
        CPPUNIT_ASSERT(succeeded(fixture.api.order(fixture.address, stale, testTimeout)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.engine.records().staleOrdersObeyed);
    }

    // An engine does not wait for its streams when it is ordered to change. An order without a
    // preceding drain cuts them: the stream fails as Broken and the engine records the cut.
    void orderCutsRunningStreams()
    {
        engine_fixture fixture(slowOptions());
        const auto outcome = fixture.api.generate(
                fixture.address, engine_fixture::requestFor("r", 10000),
                [&](const stream_token &token) {
                    const auto order = orderFor(1, "n", policy::engine_role::Decode);
                    return token.index > 0
                            || succeeded(fixture.api.order(fixture.address, order, testTimeout));
                });
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Broken);
        const auto records = fixture.engine.records();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), records.cut);
        CPPUNIT_ASSERT_EQUAL(1U, records.orders.at(0).streamsCut);
        CPPUNIT_ASSERT(valueOf(fixture.api.load(fixture.address)).isChanging);
    }

    // The caller must get one complete answer although its engine shuts down. Exporting the KV of
    // the running stream ends it there after all its tokens were sent. Another engine imports the
    // KV and continues from the next token without computing the prompt again.
    void streamContinuesOnAnotherEngineFromItsKv()
    {
        engine_fixture source(slowOptions());
        engine_fixture destination;
        received_answer answer;
        auto request = engine_fixture::requestFor("r", 3000);
        request.prompt.assign(640, 'p');
        std::future<result<kv_export>> exported;
        const auto onToken = answer.receiver();
        const auto first =
                source.api.generate(source.address, request, [&](const stream_token &token) {
                    if (token.index == 2) {
                        exported = std::async(std::launch::async, [&] {
                            return source.api.exportKv(source.address, request.request);
                        });
                    }
                    return onToken(token);
                });
        CPPUNIT_ASSERT(errorOf(first).code == error_code::Cancelled);
        const auto exportResult = exported.get();
        CPPUNIT_ASSERT(succeeded(exportResult));
        CPPUNIT_ASSERT(valueOf(exportResult).tokens >= 160);

        CPPUNIT_ASSERT(succeeded(
                destination.api.importKv(destination.address, valueOf(exportResult).handle)));
        const auto events = destination.api.cacheEvents(destination.address, 0);
        CPPUNIT_ASSERT(valueOf(events).events.size() >= 10);
        request.attempt = "r-2";
        request.emitted = answer.tokens;
        request.kvHandle = valueOf(exportResult).handle;
        const auto second = destination.api.generate(destination.address, request, onToken);
        CPPUNIT_ASSERT(succeeded(second));
        CPPUNIT_ASSERT_EQUAL(standin::standinAnswer(request.prompt, 3000), answer.text);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), source.engine.records().exported);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), source.engine.records().cut);
    }

    void cancelMatchesRequestAndAttempt()
    {
        engine_fixture fixture(slowOptions());
        const auto request = engine_fixture::requestFor("r", 10000);
        const auto outcome =
                fixture.api.generate(fixture.address, request, [&](const stream_token &token) {
                    if (token.index == 0) {
                        const auto other = fixture.api.cancel(fixture.address, {"r"}, "r-9");
                        CPPUNIT_ASSERT(errorOf(other).code == error_code::NotFound);
                        CPPUNIT_ASSERT(succeeded(fixture.api.cancel(
                                fixture.address, request.request, request.attempt)));
                    }
                    return true;
                });
        CPPUNIT_ASSERT(errorOf(outcome).code == error_code::Broken);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.engine.records().cancelled);
    }

    // After a lost "evicted" event, a prefix that the engine no longer holds would stay on record.
    // The jump in the sequence must reveal the loss even if the engine reports no gap.
    void gapsInCacheEventsAreDetected()
    {
        const std::string events = "{\"events\":["
                                   "{\"sequence\":4,\"kind\":\"stored\",\"hash\":\"ff\"},"
                                   "{\"sequence\":5,\"kind\":\"stored\",\"hash\":\"1\"},"
                                   "{\"sequence\":6,\"kind\":\"evicted\",\"hash\":\"ff\"}],"
                                   "\"next\":6,\"gap\":false}";
        CPPUNIT_ASSERT(!parseCacheEvents(events, 3)->hasGap);
        CPPUNIT_ASSERT(parseCacheEvents(events, 2)->hasGap);
        const auto late = parseCacheEvents(events, 4);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), late->events.size());
        CPPUNIT_ASSERT((late->events.at(1) == cache_event{6, false, 0xff}));
        CPPUNIT_ASSERT(!parseCacheEvents("{\"events\":[{}],\"next\":1}", 0).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_control_test);

} // namespace poplarspool::runner
