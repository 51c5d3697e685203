#include "gateway/carrier_choice.h"

#include "gateway/address_subset.h"
#include "gateway/tunnel_message.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/gateway/limits.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::gateway {

namespace {

using namespace std::chrono_literals;

constexpr int zoneCount = 4;

policy::member memberAt(int index, int zone)
{
    policy::member made;
    made.id.text = "edge-" + std::to_string(index);
    made.zone.text = "zone-" + std::to_string(zone);
    made.peerAddress = {
            "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 7000};
    made.callerAddress = made.peerAddress;
    return made;
}

std::vector<policy::member> fleetOf(int count)
{
    std::vector<policy::member> made;
    made.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        made.push_back(memberAt(i, i % zoneCount));
    return made;
}

clock_source clockOf(const mono_time &now)
{
    return {[&now] { return now; }, [] { return wall_time{}; }};
}

} // namespace

class carrier_choice_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(carrier_choice_test);
    CPPUNIT_TEST(firstCarrierIsOfTheOwnZoneAndTheSecondIsNot);
    CPPUNIT_TEST(instanceIsNeverItsOwnCarrier);
    CPPUNIT_TEST(leavingAndFailedCarriersAreNotAsked);
    CPPUNIT_TEST(zoneWhoseInstancesFailedIsNotPreferred);
    CPPUNIT_TEST(zoneOf250IsCarriedEvenlyByTheOthersOf985);
    CPPUNIT_TEST(failedCarriersAreAskedAgainAfterAWhile);
    CPPUNIT_TEST(announcementsAreReadAsWritten);
    CPPUNIT_TEST(announcementsExpire);
    CPPUNIT_TEST(callersAreSentToConnectedInstances);
    CPPUNIT_TEST(callersAreSentToAllIfMostAreCutOff);
    CPPUNIT_TEST(tunnelMessagesAreReadAsWritten);
    CPPUNIT_TEST(malformedTunnelMessagesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void firstCarrierIsOfTheOwnZoneAndTheSecondIsNot()
    {
        const auto members = fleetOf(12);
        const auto chosen = chooseCarriers(members, {}, {{"edge-0"}, {"zone-0"}, 7});
        CPPUNIT_ASSERT_EQUAL(config::maxCarriersAsked, chosen.size());
        CPPUNIT_ASSERT_EQUAL(std::string("zone-0"), chosen[0].zone.text);
        CPPUNIT_ASSERT(chosen[1].zone.text != "zone-0");
    }

    void instanceIsNeverItsOwnCarrier()
    {
        CPPUNIT_ASSERT(chooseCarriers(fleetOf(1), {}, {{"edge-0"}, {"zone-0"}, 1}).empty());
        for (std::uint64_t draw = 0; draw < 50; ++draw) {
            for (const auto &one : chooseCarriers(fleetOf(3), {}, {{"edge-0"}, {"zone-0"}, draw}))
                CPPUNIT_ASSERT(one.id.text != "edge-0");
        }
    }

    void leavingAndFailedCarriersAreNotAsked()
    {
        auto members = fleetOf(3);
        members[1].state = policy::member_state::Leaving;
        const std::map<instance_id, zone_id> failed{{{"edge-2"}, {"zone-2"}}};
        CPPUNIT_ASSERT(chooseCarriers(members, failed, {{"edge-0"}, {"zone-0"}, 1}).empty());
    }

    void zoneWhoseInstancesFailedIsNotPreferred()
    {
        const std::map<instance_id, zone_id> failed{{{"edge-4"}, {"zone-0"}},
                                                    {{"edge-8"}, {"zone-0"}}};
        const auto chosen = chooseCarriers(fleetOf(40), failed, {{"edge-0"}, {"zone-0"}, 3});
        CPPUNIT_ASSERT(!chosen.empty());
        for (const auto &one : chosen)
            CPPUNIT_ASSERT(one.zone.text != "zone-0");
    }

    /// Guards against a few instances that carry the connections of a whole zone.
    void zoneOf250IsCarriedEvenlyByTheOthersOf985()
    {
        auto members = fleetOf(985);
        const auto isCutOff = [](const policy::member &one) { return one.zone.text == "zone-0"; };
        std::vector<policy::member> connected;
        std::ranges::remove_copy_if(members, std::back_inserter(connected), isCutOff);
        std::map<std::string, int> carried;
        int opened = 0;
        for (const policy::member &self : members) {
            if (!isCutOff(self))
                continue;
            for (int i = 0; i < 20; ++i, ++opened) {
                const std::uint64_t draw = hashOf(self.id.text, static_cast<std::uint64_t>(i));
                const auto chosen = chooseCarriers(connected, {}, {self.id, self.zone, draw});
                CPPUNIT_ASSERT(!chosen.empty());
                ++carried[chosen.front().id.text];
            }
        }
        const double mean = static_cast<double>(opened) / static_cast<double>(connected.size());
        for (const auto &[id, count] : carried)
            CPPUNIT_ASSERT_MESSAGE(id + " carries " + std::to_string(count), count < 4 * mean);
    }

    void failedCarriersAreAskedAgainAfterAWhile()
    {
        mono_time now{1h};
        failed_carriers failures(clockOf(now));
        failures.record(memberAt(1, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failures.current().size());
        now += config::unusableCarrierTime;
        CPPUNIT_ASSERT(failures.current().empty());
    }

    void announcementsAreReadAsWritten()
    {
        for (const bool isCutOff : {true, false}) {
            const cut_off_announcement announced{{"edge-1"}, isCutOff};
            const auto read = cutOffAnnouncementOf(rumorOf(announced, 5));
            CPPUNIT_ASSERT(read && *read == announced);
        }
        CPPUNIT_ASSERT(!cutOffAnnouncementOf({"ended/1", 1, "1"}));
        CPPUNIT_ASSERT(!cutOffAnnouncementOf({"cut_off/edge-1", 1, "maybe"}));
    }

    /// Guards against an instance that stays without callers since the end of its cut was not
    /// heard.
    void announcementsExpire()
    {
        mono_time now{1h};
        cut_off_instances cutOff(clockOf(now));
        cutOff.record({{"edge-1"}, true});
        CPPUNIT_ASSERT(cutOff.contains({"edge-1"}));
        now += config::cutOffExpiry;
        CPPUNIT_ASSERT(!cutOff.contains({"edge-1"}));
    }

    void callersAreSentToConnectedInstances()
    {
        mono_time now{1h};
        cut_off_instances cutOff(clockOf(now));
        cutOff.record({{"edge-0"}, true});
        const auto open = withoutCutOff(fleetOf(6), cutOff);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, open.size());
        cutOff.record({{"edge-0"}, false});
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, withoutCutOff(fleetOf(6), cutOff).size());
    }

    /// Guards against an empty list, and against one instance that gets the callers of all.
    void callersAreSentToAllIfMostAreCutOff()
    {
        mono_time now{1h};
        cut_off_instances cutOff(clockOf(now));
        for (int i = 0; i < 4; ++i)
            cutOff.record({{"edge-" + std::to_string(i)}, true});
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, withoutCutOff(fleetOf(6), cutOff).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, withoutCutOff(fleetOf(4), cutOff).size());
    }

    void tunnelMessagesAreReadAsWritten()
    {
        const tunnel_request request{{"edge-1"}, {"i-1"}, 17};
        const auto read = decodeTunnelRequest(encode(request));
        CPPUNIT_ASSERT(succeeded(read) && valueOf(read) == request);
        const auto outcome = decodeTunnelOutcome(encode(tunnel_outcome::CutOff));
        CPPUNIT_ASSERT(succeeded(outcome) && valueOf(outcome) == tunnel_outcome::CutOff);
    }

    void malformedTunnelMessagesAreRejected()
    {
        const std::string whole = encode(tunnel_request{{"edge-1"}, {"i-1"}, 17});
        for (std::size_t size = 0; size < whole.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeTunnelRequest(whole.substr(0, size))));
        CPPUNIT_ASSERT(!succeeded(decodeTunnelRequest(whole + "x")));
        CPPUNIT_ASSERT(!succeeded(decodeTunnelOutcome(std::string(1, '\0'))));
        CPPUNIT_ASSERT(!succeeded(decodeTunnelOutcome("\x07")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(carrier_choice_test);

} // namespace poplarspool::gateway
