#include "poplarspool/base/limits.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/withdrawals/limits.h"
#include "withdrawals/withdrawal_fleet.h"
#include "withdrawals/withdrawal_message.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::withdrawals {

namespace {

using test::withdrawal_fleet;

const runner_life leaving{{"i-0123456789"}, 1000};
const http_headers leavingHead{{"Leaves", "1"}};
constexpr std::size_t largeFleet = 985;

} // namespace

class withdrawal_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(withdrawal_exchange_test);
    CPPUNIT_TEST(allInstancesLearnFromOne);
    CPPUNIT_TEST(largeFleetLearnsFromOneInstance);
    CPPUNIT_TEST(instanceThatMissedItIsToldAgain);
    CPPUNIT_TEST(restIsToldToNobody);
    CPPUNIT_TEST(restBindsAllWhoShareACarrier);
    CPPUNIT_TEST(nobodyRepeatsWhatOthersSay);
    CPPUNIT_TEST(updatesFitIntoADatagram);
    CPPUNIT_TEST(malformedUpdatesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void allInstancesLearnFromOne()
    {
        withdrawal_fleet fleet(6);
        fleet.answer(2, leaving, leavingHead);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fleet.countThatKnow(leaving));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.countThatKnow({leaving.id, 2000}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fleet.datagrams);
    }

    void largeFleetLearnsFromOneInstance()
    {
        withdrawal_fleet fleet(largeFleet);
        fleet.answer(7, leaving, leavingHead);
        CPPUNIT_ASSERT_EQUAL(largeFleet, fleet.countThatKnow(leaving));
        CPPUNIT_ASSERT_EQUAL(largeFleet - 1, fleet.datagrams);
    }

    /// Guards against instances that lost a datagram, or have started since.
    void instanceThatMissedItIsToldAgain()
    {
        withdrawal_fleet fleet(6);
        fleet.silent = {3};
        fleet.answer(0, leaving, leavingHead);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fleet.countThatKnow(leaving));
        fleet.silent.clear();
        fleet.restart(4);
        fleet.at(0).sendDue();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, fleet.countThatKnow(leaving));
    }

    void restIsToldToNobody()
    {
        withdrawal_fleet fleet(6);
        fleet.rest(0, leaving, "3");
        CPPUNIT_ASSERT(fleet.at(0).find(leaving).kind == withdrawal_kind::Rests);
        CPPUNIT_ASSERT(fleet.at(1).find(leaving).kind == withdrawal_kind::None);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.datagrams);
    }

    /// Guards against requests through a carrier that a runner has asked for rest.
    void restBindsAllWhoShareACarrier()
    {
        withdrawal_fleet fleet(4);
        fleet.users[1] = {0, 2};
        fleet.rest(0, leaving, "3", 1);
        for (const std::size_t each : {0, 1, 2})
            CPPUNIT_ASSERT(fleet.at(each).find(leaving).kind == withdrawal_kind::Rests);
        CPPUNIT_ASSERT(fleet.at(3).find(leaving).kind == withdrawal_kind::None);
        fleet.rest(1, leaving, "5");
        CPPUNIT_ASSERT(fleet.at(2).find(leaving).remaining == milliseconds(5000));
    }

    void nobodyRepeatsWhatOthersSay()
    {
        withdrawal_fleet fleet(6);
        fleet.answer(0, leaving, leavingHead);
        const std::size_t before = fleet.datagrams;
        fleet.answer(1, leaving, leavingHead);
        fleet.at(1).sendDue();
        CPPUNIT_ASSERT_EQUAL(before, fleet.datagrams);
    }

    void updatesFitIntoADatagram()
    {
        withdrawal_update update;
        const runner_life longest{{std::string(config::maxNameBytes, 'i')}, UINT64_MAX};
        update.notices.assign(config::maxWithdrawalNotices, {longest, UINT32_MAX});
        update.forwardTo.assign(config::maxForwardGroup, {"10.0.0.1", 7006});
        const auto encoded = encode(update);
        CPPUNIT_ASSERT(succeeded(encoded));
        CPPUNIT_ASSERT(valueOf(encoded).size() + peer::frameHeaderBytes
                       <= config::maxDatagramBytes);
        CPPUNIT_ASSERT(valueOf(decodeWithdrawalUpdate(valueOf(encoded))) == update);
        update.notices.emplace_back();
        CPPUNIT_ASSERT(!succeeded(encode(update)));
    }

    void malformedUpdatesAreRejected()
    {
        withdrawal_fleet fleet(1);
        for (const char *payload : {"", "\x01", "\xff\xff\xff\xff"})
            CPPUNIT_ASSERT(!fleet.at(0).receive(payload));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(withdrawal_exchange_test);

} // namespace poplarspool::withdrawals
