#include "limiter_fleet.h"
#include "poplarspool/gateway/limits.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <string>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;
using test::limiter_fleet;

/// What a limit allows in 4 s, with the tolerance that runners grant.
std::size_t allowedIn4s(double perSecond)
{
    return static_cast<std::size_t>(1.5 * perSecond * 4 + 5);
}

} // namespace

class rate_limiter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rate_limiter_test);
    CPPUNIT_TEST(instancesTogetherKeepTheLimit);
    CPPUNIT_TEST(permitsGoToTheInstanceThatNeedsThem);
    CPPUNIT_TEST(thousandInstancesKeepTheLimit);
    CPPUNIT_TEST(thousandInstancesKeepAFractionalLimit);
    CPPUNIT_TEST(requestsBeforeTheLimitCount);
    CPPUNIT_TEST(limitIsToldToAllInstances);
    CPPUNIT_TEST(lostNoticesAreRepeated);
    CPPUNIT_TEST(noticesAreForwardedInALargeFleet);
    CPPUNIT_TEST(endedLimitFreesAllInstances);
    CPPUNIT_TEST(changedLimitHolds);
    CPPUNIT_TEST(silentIssuerIsReplaced);
    CPPUNIT_TEST(joiningIssuerKeepsTheLimit);
    CPPUNIT_TEST(lateRequestsLeavePermitsToUrgentOnes);
    CPPUNIT_TEST(unusedPermitIsReturned);
    CPPUNIT_TEST(expiredPermitIsNotUsed);
    CPPUNIT_TEST(otherIncarnationNeedsNoPermit);
    CPPUNIT_TEST(refusingRunnerIsTriedSeldomByAllTogether);
    CPPUNIT_TEST(recoveredRunnerHasItsShareSoon);
    CPPUNIT_TEST(fullRunnerGetsWhatItAccepts);
    CPPUNIT_TEST(fewRefusalsLimitNothing);
    CPPUNIT_TEST(refusalsDuringAStageChangeDontCountAfterIt);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against instances that each send as many requests as the runner takes from all.
    void instancesTogetherKeepTheLimit()
    {
        limiter_fleet fleet(6, 8);
        fleet.send(0);
        const mono_time begin = fleet.now;
        fleet.loadEvenly(60, 20s);
        CPPUNIT_ASSERT(fleet.busiest(begin) <= allowedIn4s(8));
        // Nearly all that the runner takes is used.
        CPPUNIT_ASSERT(fleet.countSince(begin) >= 20 * 8 * 0.9);
    }

    /// Guards against equal shares, of which idle instances keep theirs unused.
    void permitsGoToTheInstanceThatNeedsThem()
    {
        limiter_fleet fleet(6, 8);
        fleet.send(0);
        const mono_time begin = fleet.now;
        fleet.load(30, 20s, [](std::uint64_t draw) { return draw % 20 == 0 ? 1 + draw % 5 : 0; });
        CPPUNIT_ASSERT(fleet.busiest(begin) <= allowedIn4s(8));
        CPPUNIT_ASSERT(fleet.countSince(begin) >= 20 * 8 * 0.9);
    }

    void thousandInstancesKeepTheLimit()
    {
        limiter_fleet fleet(985, 8);
        fleet.send(0);
        const mono_time begin = fleet.now;
        const std::size_t datagrams = fleet.datagrams;
        fleet.loadEvenly(1000, 20s);
        CPPUNIT_ASSERT(fleet.busiest(begin) <= allowedIn4s(8));
        CPPUNIT_ASSERT(fleet.countSince(begin) >= 20 * 8 * 0.9);
        // The instances that are denied don't ask again at once: far fewer datagrams than requests.
        CPPUNIT_ASSERT(fleet.datagrams - datagrams < 20 * 1000);
    }

    void thousandInstancesKeepAFractionalLimit()
    {
        limiter_fleet fleet(985, 0.5);
        fleet.send(0);
        const mono_time begin = fleet.now;
        fleet.loadEvenly(100, 60s);
        CPPUNIT_ASSERT(fleet.busiest(begin + 3s) <= allowedIn4s(0.5));
        CPPUNIT_ASSERT(fleet.countSince(begin) >= 60 * 0.5 * 0.8);
    }

    /// Guards against a burst in the first seconds: the requests before the limit was known, and
    /// then at once as many as the limit allows.
    void requestsBeforeTheLimitCount()
    {
        limiter_fleet fleet(6, 8);
        fleet.hasLimit = false;
        fleet.loadEvenly(45, 2s);
        fleet.hasLimit = true;
        const mono_time named = fleet.now;
        fleet.loadEvenly(45, 10s);
        CPPUNIT_ASSERT(fleet.busiest(named + 3s) <= allowedIn4s(8));
        // The runner gets requests again once it has had time for those before.
        CPPUNIT_ASSERT(fleet.countSince(named + 4s) >= 6 * 8 * 0.8);
    }

    /// Guards against an instance that sends beyond the limit until it hears of it itself.
    void limitIsToldToAllInstances()
    {
        limiter_fleet fleet(6, 8);
        fleet.answer(0, 8);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CPPUNIT_ASSERT(fleet.at(i).limitOf(fleet.target) == 8);
    }

    void lostNoticesAreRepeated()
    {
        limiter_fleet fleet(6, 8);
        fleet.datagramsToDrop = 10;
        fleet.answer(0, 8);
        CPPUNIT_ASSERT(!fleet.at(1).limitOf(fleet.target));
        for (int i = 0; i < 2; ++i) {
            fleet.now += config::limitNoticeInterval;
            fleet.answer(0, 8);
        }
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CPPUNIT_ASSERT(fleet.at(i).limitOf(fleet.target) == 8);
    }

    void noticesAreForwardedInALargeFleet()
    {
        limiter_fleet fleet(300, 8);
        fleet.answer(0, 8);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CPPUNIT_ASSERT(fleet.at(i).limitOf(fleet.target) == 8);
    }

    void endedLimitFreesAllInstances()
    {
        limiter_fleet fleet(6, 8);
        fleet.send(0);
        fleet.loadEvenly(60, 5s);
        fleet.hasLimit = false;
        fleet.loadEvenly(60, 1s);
        const mono_time free = fleet.now;
        fleet.loadEvenly(60, 1s);
        CPPUNIT_ASSERT(fleet.countSince(free) >= 59);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            CPPUNIT_ASSERT(!fleet.at(i).limitOf(fleet.target));
    }

    void changedLimitHolds()
    {
        limiter_fleet fleet(6, 2);
        fleet.answer(0, 40);
        fleet.now += 10ms;
        fleet.loadEvenly(60, 1s);
        const mono_time begin = fleet.now;
        fleet.loadEvenly(60, 10s);
        CPPUNIT_ASSERT(fleet.busiest(begin + 5s) <= allowedIn4s(2));
    }

    /// Guards against a runner that gets nothing, or everything, while the instance that issues its
    /// permits is gone and the others don't know yet.
    void silentIssuerIsReplaced()
    {
        limiter_fleet fleet(6, 8);
        fleet.send(0);
        fleet.loadEvenly(40, 3s);
        const std::size_t gone = fleet.issuer();
        fleet.silent.insert(gone);
        const mono_time begin = fleet.now;
        fleet.load(40, 5s, [gone](std::uint64_t draw) { return (gone + 1 + draw % 5) % 6; });
        CPPUNIT_ASSERT(fleet.busiest(begin) <= allowedIn4s(8));
        CPPUNIT_ASSERT(fleet.countSince(begin) >= 5 * 8 * 0.25 * 0.7);
    }

    void joiningIssuerKeepsTheLimit()
    {
        limiter_fleet fleet(3, 8);
        fleet.send(0);
        const mono_time begin = fleet.now;
        const std::size_t before = fleet.issuer();
        while (fleet.issuer() == before) {
            fleet.loadEvenly(40, 2s);
            fleet.add();
            // The instances learn of it one after the other.
            fleet.load(40, 500ms,
                       [&fleet](std::uint64_t draw) { return draw % (fleet.size() - 1); });
            fleet.shareList();
        }
        fleet.loadEvenly(40, 5s);
        CPPUNIT_ASSERT(fleet.busiest(begin) <= allowedIn4s(8));
    }

    void lateRequestsLeavePermitsToUrgentOnes()
    {
        limiter_fleet fleet(2, 8);
        fleet.send(0);
        fleet.trySend(0);
        fleet.now += 2s;
        int late = 0;
        while (fleet.trySend(0, send_class::Late))
            ++late;
        CPPUNIT_ASSERT_EQUAL(1, late);
        CPPUNIT_ASSERT(fleet.trySend(1, send_class::Urgent));
        CPPUNIT_ASSERT(!fleet.trySend(1, send_class::Urgent));
    }

    void unusedPermitIsReturned()
    {
        limiter_fleet fleet(2, 1);
        fleet.send(0);
        fleet.trySend(0);
        fleet.now += 3s;
        const auto first = fleet.at(0).acquire(fleet.target, send_class::Urgent);
        CPPUNIT_ASSERT(std::holds_alternative<rate_permit>(first));
        CPPUNIT_ASSERT(!fleet.trySend(0));
        fleet.at(0).release(std::get<rate_permit>(first));
        CPPUNIT_ASSERT(fleet.trySend(0));
        CPPUNIT_ASSERT(!fleet.trySend(0));
    }

    /// Guards against permits that are kept and used later, together with those of that time.
    void expiredPermitIsNotUsed()
    {
        limiter_fleet fleet(2, 0.2);
        fleet.send(0);
        fleet.trySend(0);
        fleet.now += 10s;
        const auto first = fleet.at(0).acquire(fleet.target, send_class::Urgent);
        CPPUNIT_ASSERT(std::holds_alternative<rate_permit>(first));
        fleet.at(0).release(std::get<rate_permit>(first));
        fleet.now += config::permitLifetime;
        CPPUNIT_ASSERT(!fleet.trySend(0));
    }

    void otherIncarnationNeedsNoPermit()
    {
        limiter_fleet fleet(2, 1);
        fleet.send(0);
        fleet.target.startedAtMs = 2;
        fleet.hasLimit = false;
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(fleet.trySend(1));
    }

    /// Guards against a runner that refuses nearly all requests and gets the more of them since it
    /// looks idle.
    void refusingRunnerIsTriedSeldomByAllTogether()
    {
        limiter_fleet fleet(6, 8);
        fleet.hasLimit = false;
        fleet.loadEvenly(60, 2s);
        const mono_time begin = fleet.now;
        int asked = 0;
        fleet.refuses = [&asked] { return ++asked % 10 != 0; };
        fleet.loadEvenly(60, 20s);
        CPPUNIT_ASSERT(fleet.countSince(begin + 2s) <= 18 * 3);
        // It is tried all the same.
        CPPUNIT_ASSERT(fleet.countSince(begin + 2s) >= 18 / 2);
    }

    void recoveredRunnerHasItsShareSoon()
    {
        limiter_fleet fleet(6, 8);
        fleet.hasLimit = false;
        fleet.refuses = [] { return true; };
        fleet.loadEvenly(60, 10s);
        fleet.refuses = {};
        fleet.loadEvenly(60, 5s);
        const mono_time begin = fleet.now;
        fleet.loadEvenly(60, 2s);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.countSince(begin)),
                               fleet.countSince(begin) >= 2 * 60 * 0.95);
    }

    /// Guards against a runner at its capacity that is limited to less than it serves.
    void fullRunnerGetsWhatItAccepts()
    {
        limiter_fleet fleet(6, 8);
        fleet.hasLimit = false;
        std::deque<mono_time> running;
        fleet.refuses = [&] {
            while (!running.empty() && fleet.now - running.front() >= 500ms)
                running.pop_front();
            if (running.size() >= 10)
                return true;
            running.push_back(fleet.now);
            return false;
        };
        fleet.loadEvenly(60, 20s);
        // It serves 20 a second.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.accepted), fleet.accepted >= 20 * 20 * 0.85);
    }

    void fewRefusalsLimitNothing()
    {
        limiter_fleet fleet(6, 8);
        fleet.hasLimit = false;
        int asked = 0;
        fleet.refuses = [&asked] { return ++asked % 10 == 0; };
        fleet.loadEvenly(60, 20s);
        CPPUNIT_ASSERT(fleet.countSince({}) >= 20 * 60 * 0.98);
    }

    void refusalsDuringAStageChangeDontCountAfterIt()
    {
        limiter_fleet fleet(6, 8);
        fleet.hasLimit = false;
        fleet.target.stage = engine_stage::Prefill;
        fleet.refuses = [] { return true; };
        fleet.loadEvenly(60, 3s);
        CPPUNIT_ASSERT(fleet.at(0).limitOf(fleet.target));
        fleet.target.stage = engine_stage::Decode;
        CPPUNIT_ASSERT(!fleet.at(0).limitOf(fleet.target));
        CPPUNIT_ASSERT(fleet.trySend(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_limiter_test);

} // namespace poplarspool::gateway
