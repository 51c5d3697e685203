#include "gateway/stage_keeper.h"

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

/// Four engines of the decode stage, of which the scripted one is the first to be changed, and a
/// store that grants each term.
struct world
{
    explicit world(const endpoint &address)
    {
        auto table = std::make_shared<route_table>();
        service engines;
        engines.id.text = "s";
        engines.engine = engine_traits{128, 800000, 18432, 350000};
        table->services.push_back(engines);
        hub.update([&](catalogue &next) {
            next.table = table;
            next.areRunnersKnown = true;
            for (int i = 0; i < 4; ++i) {
                runner made;
                made.id.text = "e" + std::to_string(i);
                made.service.text = "s";
                // The others refuse each connection.
                made.address = i == 0 ? address : endpoint{"127.0.0.1", 1};
                made.stage = i < 3 ? engine_stage::Decode : engine_stage::Prefill;
                next.runners[made.id] = std::make_shared<const runner>(made);
            }
            return true;
        });
        names = test::testDialect();
        names.askReport = [] {
            http_request asked;
            asked.path = "/report";
            return asked;
        };
        names.readReport = [](std::string_view body) -> std::optional<engine_report> {
            return engine_report{body == "busy", 7};
        };
        names.orderStage = [](const engine_order &order) {
            http_request asked;
            asked.method = "POST";
            asked.path = "/order/" + order.holder.text + "/" + std::to_string(order.fence) + "/"
                    + std::to_string(order.ordersTaken);
            return asked;
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

    void lookTwice()
    {
        stage_keeper keeper({hub, ledger, connections, names, clock, events,
                             metrics.counterOf("orders"), stepFaultsOf(events, metrics),
                             [this] { return isOwner; }},
                            store(), {"self"}, 3000ms);
        keeper.look();
        now += config::stageSettleTime;
        keeper.look();
    }

    mono_time now{std::chrono::hours(1)};
    clock_source clock{[this] { return now; }, [] { return wall_time{}; }};
    catalogue_hub hub{catalogue{}};
    runner_ledger ledger{clock};
    metrics_registry metrics;
    connection_pool connections{1, 200ms, metrics};
    dialect names;
    journal events{{"test"}, systemClock(), 64};
    milliseconds writeTime{1};
    bool isOwner = true;
};

} // namespace

class stage_keeper_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stage_keeper_test);
    CPPUNIT_TEST(ordersNameWhatTheyFound);
    CPPUNIT_TEST(enginesThatAreChangingAreLeftAlone);
    CPPUNIT_TEST(nothingIsSentAfterTheTerm);
    CPPUNIT_TEST(onlyTheOwnerOrders);
    CPPUNIT_TEST(enginesWithoutStagesGetNoOrders);
    CPPUNIT_TEST(aSlowStoreDoesNotHoldUpTheEnd);
    CPPUNIT_TEST(aLookThatThrowsIsFollowedByTheNext);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An order can be carried out seconds after it was sent, when a newer one has been. It names
    /// the orders taken so far, so that the engine drops it then.
    void ordersNameWhatTheyFound()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        world test(engine.address());
        test.lookTwice();
        const auto asked = engine.requests();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.size());
        CPPUNIT_ASSERT(asked[0].starts_with("GET /report "));
        CPPUNIT_ASSERT(asked[1].starts_with("POST /order/self/1/7 "));
        CPPUNIT_ASSERT(asked[1].find("Runner: e0") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events.events({"stage_order", {}, {}}).size());
    }

    void enginesThatAreChangingAreLeftAlone()
    {
        scripted_runner engine({{replyOf("200 OK", "busy")}, {replyOf("202 Accepted", "")}});
        world test(engine.address());
        test.lookTwice();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.requests().size());
    }

    /// The machine is suspended between the write that gave the term and the order. Another
    /// instance may have taken over meanwhile: an order sent now would conflict with its orders.
    void nothingIsSentAfterTheTerm()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        world test(engine.address());
        test.writeTime = 1600ms;
        test.lookTwice();
        CPPUNIT_ASSERT(engine.requests().empty());
    }

    void onlyTheOwnerOrders()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}});
        world test(engine.address());
        test.isOwner = false;
        test.lookTwice();
        CPPUNIT_ASSERT(engine.requests().empty());
    }

    /// Engines that name no stage do all the work. Counted as such that could read prompts, they
    /// were sent an order at each look, and refused it.
    void enginesWithoutStagesGetNoOrders()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        world test(engine.address());
        test.hub.update([](catalogue &next) {
            for (auto &[id, known] : next.runners) {
                runner plain = *known;
                plain.stage = engine_stage::None;
                known = std::make_shared<const runner>(plain);
            }
            return true;
        });
        test.lookTwice();
        CPPUNIT_ASSERT(engine.requests().empty());
    }

    /// An instance gets SIGTERM while it waits for a slow store. Waiting for that first, it would
    /// tell callers of its end seconds late, and be killed with their requests open.
    void aSlowStoreDoesNotHoldUpTheEnd()
    {
        scripted_runner engine({{replyOf("200 OK", "free")}, {replyOf("202 Accepted", "")}});
        world test(engine.address());
        std::promise<void> reached;
        std::promise<void> answered;
        duties::lease_store slow = test.store();
        slow.read = [&]() -> result<duties::lease_record> {
            reached.set_value();
            answered.get_future().wait();
            return notRun(error_code::TimedOut, "no answer");
        };
        stage_keeper keeper({test.hub, test.ledger, test.connections, test.names, systemClock(),
                             test.events, test.metrics.counterOf("orders"),
                             stepFaultsOf(test.events, test.metrics), [] { return true; }},
                            slow, {"self"}, 3000ms);
        keeper.start();
        reached.get_future().wait();
        keeper.requestStop(); // Returns though the store has not answered.
        answered.set_value();
        keeper.stop();
        CPPUNIT_ASSERT(engine.requests().empty());
    }

    void aLookThatThrowsIsFollowedByTheNext()
    {
        world test({"127.0.0.1", 1});
        std::promise<void> asked;
        int looks = 0;
        const auto isOwner = [&]() -> bool {
            if (++looks == 1)
                throw std::length_error("too many");
            if (looks == 2)
                asked.set_value();
            return false;
        };
        stage_keeper keeper({test.hub, test.ledger, test.connections, test.names, systemClock(),
                             test.events, test.metrics.counterOf("orders"),
                             stepFaultsOf(test.events, test.metrics), isOwner},
                            test.store(), {"self"}, 3000ms);
        keeper.start();
        CPPUNIT_ASSERT(asked.get_future().wait_for(20s) == std::future_status::ready);
        keeper.stop();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, test.events.events({"step_failed", {}, {}}).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_keeper_test);

} // namespace poplarspool::gateway
