#include "gateway/stage_manager.h"

#include "catalogue_fixture.h"
#include "fixture.h"
#include "poplarspool/gateway/limits.h"
#include "scripted_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::scripted_runner;

std::string replyOf(const std::string &status, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\nConnection: close\r\n\r\n" + body;
}

/// Three decode engines and one prefill engine, of which the scripted one is the first to be
/// changed, and a store that grants each lease term.
struct fixture
{
    explicit fixture(const endpoint &address)
    {
        auto table = std::make_shared<route_table>();
        service engines;
        engines.id.text = "s";
        engines.engine = engine_traits{128, 800000, 18432, 350000};
        table->services.push_back(engines);
        publisher.update([&](catalogue &next) {
            next.table = table;
            next.areRunnersKnown = true;
            for (int i = 0; i < 4; ++i) {
                runner made;
                made.id.text = "e" + std::to_string(i);
                made.service.text = "s";
                // The other engines refuse connections.
                made.address = i == 0 ? address : endpoint{"127.0.0.1", 1};
                made.stage = i < 3 ? engine_stage::Decode : engine_stage::Prefill;
                putRunner(next, made);
            }
            return true;
        });
        names = test::testDialect();
        names.reportRequest = [] {
            http_request request;
            request.path = "/report";
            return request;
        };
        names.parseReport = [](std::string_view body) -> std::optional<engine_report> {
            return engine_report{body == "busy", 7};
        };
        names.stageOrderRequest = [](const engine_order &order) {
            http_request request;
            request.method = "POST";
            request.path = "/order/" + order.holder.text + "/" + std::to_string(order.fence) + "/"
                    + std::to_string(order.ordersTaken);
            return request;
        };
    }

    duties::lease_store store()
    {
        return {[] { return duties::lease_record(); },
                [this](const duties::lease_record &) -> result<unit> {
                    now += writeTime;
                    return unit{};
                }};
    }

    void runTwice()
    {
        stage_manager manager({publisher, runnerTable, connections, names, clock, events,
                               metrics.counterOf("orders"), stepFailureReporterOf(events, metrics),
                               [this] { return isOwner; }, [] { return std::size_t{4}; },
                               [this](const runner &target) -> std::optional<double> {
                                   return target.id.text == "e0" ? limit : std::nullopt;
                               },
                               [this](const runner &) { return wanted; }},
                              store(), {"self"}, 3000ms);
        manager.runOnce();
        now += config::stageSettleTime;
        manager.runOnce();
    }

    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    catalogue_publisher publisher{catalogue{}};
    runner_table runnerTable{clock};
    metrics_registry metrics;
    connection_pool connections{1, 200ms, metrics};
    dialect names;
    journal events{{"test"}, systemClock(), 64};
    milliseconds writeTime{1};
    bool isOwner = true;
    std::optional<double> limit; ///< Of the first engine.
    withdrawals::withdrawal wanted; ///< What all engines want.
};

} // namespace

class stage_manager_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stage_manager_test);
    CPPUNIT_TEST(ordersContainTheNumberOfOrdersTaken);
    CPPUNIT_TEST(changingEnginesGetNoOrders);
    CPPUNIT_TEST(restingEnginesGetNeitherReportsNorOrders);
    CPPUNIT_TEST(engineWithALowLimitDoesNotCount);
    CPPUNIT_TEST(nothingIsSentAfterTheLeaseTerm);
    CPPUNIT_TEST(onlyTheOwnerSendsOrders);
    CPPUNIT_TEST(enginesWithoutStagesGetNoOrders);
    CPPUNIT_TEST(slowStoreDoesNotDelayShutdown);
    CPPUNIT_TEST(iterationThatThrowsIsFollowedByTheNext);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An order may be executed seconds after it was sent, when a newer one has been executed
    /// already. It contains the number of orders taken so far, so that the engine drops it in this
    /// case.
    void ordersContainTheNumberOfOrdersTaken()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        fixture test(engine.address());
        test.runTwice();
        const auto received = engine.requests();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received.size());
        CPPUNIT_ASSERT(received[0].starts_with("GET /report "));
        CPPUNIT_ASSERT(received[1].starts_with("POST /order/self/1/7 "));
        CPPUNIT_ASSERT(received[1].find("Runner: e0") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events.events({"stage_order", {}, {}}).size());
    }

    /// Guards against calls of the instance itself to an engine that it has been asked to leave
    /// alone.
    void restingEnginesGetNeitherReportsNorOrders()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        fixture test(engine.address());
        test.wanted = {withdrawals::withdrawal_kind::Rests, 0ms, 1000ms};
        test.runTwice();
        CPPUNIT_ASSERT(engine.requests().empty());
        CPPUNIT_ASSERT(!test.events.events({"stage_order_skipped", {}, {}}).empty());
    }

    /// Guards against a plan that counts on an engine that takes hardly any requests: the others
    /// get more than they can serve, and no engine is ordered to help them.
    void engineWithALowLimitDoesNotCount()
    {
        for (const double limit : {2.0, 1000.0}) {
            scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
            fixture test(engine.address());
            test.limit = limit;
            test.runTwice();
            // Without it, there are too few engines for a plan.
            CPPUNIT_ASSERT_EQUAL(limit < 10 ? std::size_t{0} : std::size_t{2},
                                 engine.requests().size());
        }
    }

    void changingEnginesGetNoOrders()
    {
        scripted_runner engine({{replyOf("200 OK", "busy")}, {replyOf("202 Accepted", "")}});
        fixture test(engine.address());
        test.runTwice();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.requests().size());
    }

    /// The machine is suspended between the write that acquired the lease and the order. Another
    /// instance may hold the lease by now: an order sent late would conflict with its orders.
    void nothingIsSentAfterTheLeaseTerm()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        fixture test(engine.address());
        test.writeTime = 1600ms;
        test.runTwice();
        CPPUNIT_ASSERT(engine.requests().empty());
    }

    void onlyTheOwnerSendsOrders()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}});
        fixture test(engine.address());
        test.isOwner = false;
        test.runTwice();
        CPPUNIT_ASSERT(engine.requests().empty());
    }

    /// Engines without a stage do all work. If they were counted as engines that can do prefill,
    /// they would be sent an order in each iteration and refuse it.
    void enginesWithoutStagesGetNoOrders()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        fixture test(engine.address());
        test.publisher.update([](catalogue &next) {
            const auto staged = next.runners;
            staged->forEach([&next](const runner_entry &known) {
                runner plain = *known;
                plain.stage = engine_stage::None;
                putRunner(next, plain);
            });
            return true;
        });
        test.runTwice();
        CPPUNIT_ASSERT(engine.requests().empty());
    }

    /// An instance gets SIGTERM while it waits for a slow store. If it waited for the store first,
    /// it would start draining seconds late and be killed with requests in flight.
    void slowStoreDoesNotDelayShutdown()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        fixture test(engine.address());
        std::promise<void> readStarted;
        std::promise<void> answerAllowed;
        duties::lease_store slow = test.store();
        slow.read = [&]() -> result<duties::lease_record> {
            readStarted.set_value();
            answerAllowed.get_future().wait();
            return notRun(error_code::TimedOut, "no answer");
        };
        stage_manager manager({test.publisher, test.runnerTable, test.connections, test.names,
                               systemClock(), test.events, test.metrics.counterOf("orders"),
                               stepFailureReporterOf(test.events, test.metrics),
                               [] { return true; }, [] { return std::size_t{4}; }},
                              slow, {"self"}, 3000ms);
        manager.start();
        readStarted.get_future().wait();
        manager.requestStop(); // Returns before the store has answered.
        answerAllowed.set_value();
        manager.stop();
        CPPUNIT_ASSERT(engine.requests().empty());
    }

    void iterationThatThrowsIsFollowedByTheNext()
    {
        fixture test({"127.0.0.1", 1});
        std::promise<void> secondIteration;
        int iterations = 0;
        const auto isOwner = [&]() -> bool {
            if (++iterations == 1)
                throw std::length_error("too many");
            if (iterations == 2)
                secondIteration.set_value();
            return false;
        };
        stage_manager manager({test.publisher, test.runnerTable, test.connections, test.names,
                               systemClock(), test.events, test.metrics.counterOf("orders"),
                               stepFailureReporterOf(test.events, test.metrics), isOwner,
                               [] { return std::size_t{4}; }},
                              test.store(), {"self"}, 3000ms);
        manager.start();
        CPPUNIT_ASSERT(secondIteration.get_future().wait_for(20s) == std::future_status::ready);
        manager.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events.events({"step_failed", {}, {}}).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_manager_test);

} // namespace poplarspool::gateway
