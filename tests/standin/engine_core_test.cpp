#include "standin/engine_core.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace poplarspool::standin {

namespace {

constexpr std::chrono::milliseconds testTimeout{20000};

engine_options optionsOf(double speed)
{
    engine_options options;
    options.setup.models = {{"m", "1"}};
    options.speed = speed;
    return options;
}

stream_spec specOf(const std::string &name, std::uint32_t tokens)
{
    stream_spec spec;
    spec.request = name;
    spec.attempt = name;
    spec.model = "m";
    spec.prompt = "prompt";
    spec.maxTokens = tokens;
    return spec;
}

engine_stream_ptr open(engine_core &core, const std::string &name, std::uint32_t tokens)
{
    const auto submitted = core.submit(specOf(name, tokens));
    CPPUNIT_ASSERT(std::holds_alternative<engine_stream_ptr>(submitted));
    return std::get<engine_stream_ptr>(submitted);
}

void waitUntil(const std::function<bool()> &holds)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    while (!holds()) {
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

} // namespace

class engine_core_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_core_test);
    CPPUNIT_TEST(orderCutsStartedStreamsAndRefusesQueuedOnes);
    CPPUNIT_TEST(crashDuringChangeKeepsTheFence);
    CPPUNIT_TEST(repeatedOrderHasNoEffect);
    CPPUNIT_TEST(loadReportsAreDelayed);
    CPPUNIT_TEST(requestLargerThanKvMemoryIsRefused);
    CPPUNIT_TEST_SUITE_END();

    // An engine that runs one stream at a time has two and receives an order. The first has started
    // and is cut; the second is still queued and must be refused as not started.
    void orderCutsStartedStreamsAndRefusesQueuedOnes()
    {
        auto options = optionsOf(1);
        options.batch.maxRunning = 1;
        engine_core core(options);
        core.start();
        const auto first = open(core, "first", 10000);
        CPPUNIT_ASSERT(first->channel.wait(0, testTimeout).produced > 0);
        const auto second = open(core, "second", 10);
        CPPUNIT_ASSERT(!core.order(1, "n", {"decode", {{"m", "1"}}}));
        CPPUNIT_ASSERT(first->channel.wait(10000, testTimeout).state == stream_state::Cut);
        CPPUNIT_ASSERT(second->channel.wait(0, testTimeout).state == stream_state::Refused);
        const auto refusal = core.submit(specOf("third", 1));
        CPPUNIT_ASSERT_EQUAL(409, std::get<engine_refusal>(refusal).status);
        const auto records = core.records();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), records.cut);
        CPPUNIT_ASSERT(records.requests.at(0).hasStarted && records.requests.at(0).wasCut);
        CPPUNIT_ASSERT(!records.requests.at(1).hasStarted && !records.requests.at(1).wasCut);
        core.stop();
    }

    // The engine crashes halfway through a change. It returns as a new incarnation with its initial
    // setup and must still refuse fencing tokens below the last one that it applied.
    void crashDuringChangeKeepsTheFence()
    {
        auto options = optionsOf(100);
        options.crashInChange = crash_mode::DropState;
        engine_core core(options);
        core.start();
        const auto before = core.report();
        CPPUNIT_ASSERT(!core.order(5, "n", {"decode", {{"m", "1"}}}));
        waitUntil([&] { return core.report().incarnation > before.incarnation; });
        waitUntil([&] { return core.waitUntilReachable(); });
        const auto after = core.report();
        CPPUNIT_ASSERT_EQUAL(std::string("mixed"), after.setup.role);
        CPPUNIT_ASSERT(!after.isChanging);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), after.lastFence);
        CPPUNIT_ASSERT(core.order(4, "old", {"prefill", {}}).has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), core.records().changes);
        core.stop();
    }

    void repeatedOrderHasNoEffect()
    {
        engine_core core(optionsOf(1));
        core.start();
        const auto stream = open(core, "first", 10000);
        CPPUNIT_ASSERT(stream->channel.wait(0, testTimeout).produced > 0);
        CPPUNIT_ASSERT(!core.order(3, "n", {"mixed", {{"m", "1"}}}));
        CPPUNIT_ASSERT(!core.order(3, "n", {"mixed", {{"m", "1"}}}));
        CPPUNIT_ASSERT(core.order(3, "other", {"mixed", {{"m", "1"}}}).has_value());
        CPPUNIT_ASSERT(stream->channel.wait(0, testTimeout).state == stream_state::Open);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), core.records().cut);
        core.stop();
    }

    void loadReportsAreDelayed()
    {
        auto options = optionsOf(1);
        options.loadLag = std::chrono::hours(1);
        engine_core core(options);
        core.start();
        CPPUNIT_ASSERT_EQUAL(0U, core.report().running);
        const auto stream = open(core, "first", 10000);
        CPPUNIT_ASSERT(stream->channel.wait(0, testTimeout).produced > 0);
        CPPUNIT_ASSERT_EQUAL(0U, core.report().running);
        core.stop();
    }

    void requestLargerThanKvMemoryIsRefused()
    {
        engine_core core(optionsOf(1));
        const auto refusal = core.submit(specOf("big", 16001));
        CPPUNIT_ASSERT_EQUAL(413, std::get<engine_refusal>(refusal).status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), core.records().started);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_core_test);

} // namespace poplarspool::standin
