#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/load_exchange.h"

#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <set>

namespace poplarspool::peer {

namespace {

using namespace std::chrono_literals;

load_update sampleUpdate()
{
    return {{{1, 2, 300, 4000, 50000}}, {{1, 77, true}, {2, 88, false}}};
}

/// An exchange that sends the sample update and stores what it receives.
struct test_exchange
{
    test_exchange(const std::string &name, std::uint16_t port, const std::string &key)
        : exchange(
                {{name}, 1, {"127.0.0.1", port}, key},
                [this](update_recipients) {
                    throwIfDue(throwingCollects);
                    return sampleUpdate();
                },
                [] { return std::vector<load_update>(); },
                [this](std::uint64_t, const load_update &update) {
                    const std::lock_guard lock(guard);
                    throwIfDue(throwingUpdates);
                    received = update;
                    updated.notify_all();
                },
                systemClock(), metrics, events)
    { }

    static void throwIfDue(int &left)
    {
        if (left-- > 0)
            throw std::length_error("too many");
    }

    std::size_t failedSteps() const { return events.events({"step_failed", {}, {}}).size(); }

    bool receivesWithin(milliseconds time)
    {
        std::unique_lock lock(guard);
        return updated.wait_for(lock, time, [this] { return received.has_value(); });
    }

    int throwingCollects = 0; ///< Number of first calls of collect that throw.
    int throwingUpdates = 0; ///< Number of first received updates whose callback throws.
    metrics_registry metrics;
    journal events{{"test"}, systemClock(), 16};
    std::mutex guard;
    std::condition_variable updated;
    std::optional<load_update> received;
    load_exchange exchange;
};

} // namespace

class load_update_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_update_test);
    CPPUNIT_TEST(updatesRoundTrip);
    CPPUNIT_TEST(optionalFieldsRoundTrip);
    CPPUNIT_TEST(updatesWithoutOptionalFieldsKeepTheFormerFormat);
    CPPUNIT_TEST(invalidOptionalFieldsAreRejected);
    CPPUNIT_TEST(malformedUpdatesAreRejected);
    CPPUNIT_TEST(instancesReceiveUpdates);
    CPPUNIT_TEST(exceptionsDoNotEndTheExchange);
    CPPUNIT_TEST(oversizedUpdatesAreRejected);
    CPPUNIT_TEST(fleetDatagramRateIsBounded);
    CPPUNIT_TEST(instancesThatCannotBeToldInTimeAreToldNothing);
    CPPUNIT_TEST(eachZoneGetsOneDigestOfEachOther);
    CPPUNIT_TEST(digestsLeaveRoomOnALink);
    CPPUNIT_TEST_SUITE_END();

public:
    void updatesRoundTrip()
    {
        CPPUNIT_ASSERT(valueOf(decodeLoadUpdate(valueOf(encode(sampleUpdate()))))
                       == sampleUpdate());
        CPPUNIT_ASSERT(valueOf(decodeLoadUpdate(valueOf(encode({})))) == load_update{});
    }

    void optionalFieldsRoundTrip()
    {
        load_update update = sampleUpdate();
        update.work.push_back({.runner = 3});
        update.work[1].lowerRanks[2] = {4, 250};
        update.workspaces = {{5, 17000}, {6, 200}};
        update.samples = {{1, 160}};
        CPPUNIT_ASSERT(valueOf(decodeLoadUpdate(valueOf(encode(update)))) == update);
    }

    /// Instances of an earlier release must be able to read the updates of a fleet that needs none
    /// of the optional fields.
    void updatesWithoutOptionalFieldsKeepTheFormerFormat()
    {
        load_update update = sampleUpdate();
        const std::string former = valueOf(encode(update));
        update.samples = {{1, 100}};
        const std::string extended = valueOf(encode(update));
        CPPUNIT_ASSERT(extended.starts_with(former));
        CPPUNIT_ASSERT(extended.size() > former.size());
    }

    /// A rank or a runner that doesn't exist must not be written past the end of a list.
    void invalidOptionalFieldsAreRejected()
    {
        const std::string former = valueOf(encode(sampleUpdate()));
        const std::string noLists("\0\0", 2);
        const std::string unknownRunner("\1\7\0\1\1", 5);
        const std::string unknownRank("\1\0\3\1\1", 5);
        CPPUNIT_ASSERT(!succeeded(decodeLoadUpdate(former + unknownRunner + noLists)));
        CPPUNIT_ASSERT(!succeeded(decodeLoadUpdate(former + unknownRank + noLists)));
        load_update tooMany = sampleUpdate();
        tooMany.samples.resize(config::maxEngineSamples + 1);
        CPPUNIT_ASSERT(errorOf(encode(tooMany)).code == error_code::TooLarge);
    }

    void malformedUpdatesAreRejected()
    {
        const std::string bytes = valueOf(encode(sampleUpdate()));
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeLoadUpdate(bytes.substr(0, size))));
        CPPUNIT_ASSERT(!succeeded(decodeLoadUpdate(bytes + "x")));
        CPPUNIT_ASSERT(!succeeded(decodeLoadUpdate("\xff\xff\xff\xff\x0f")));
    }

    void instancesReceiveUpdates()
    {
        test_exchange first("a", 39471, "key-of-the-test-fleet");
        test_exchange second("b", 39472, "key-of-the-test-fleet");
        first.exchange.setPeers({{"127.0.0.1", 39472}}, {});
        CPPUNIT_ASSERT(succeeded(second.exchange.start()));
        CPPUNIT_ASSERT(succeeded(first.exchange.start()));
        CPPUNIT_ASSERT(second.receivesWithin(20s));
        CPPUNIT_ASSERT(*second.received == sampleUpdate());
    }

    void exceptionsDoNotEndTheExchange()
    {
        std::unique_ptr<test_exchange> first;
        std::unique_ptr<test_exchange> second;
        bool isStarted = false;
        // Skips ports that are in use.
        for (std::uint16_t port = 23400; port < 23600 && !isStarted; port += 2) {
            const auto other = static_cast<std::uint16_t>(port + 1);
            first = std::make_unique<test_exchange>("a", port, "key-of-the-test-fleet");
            second = std::make_unique<test_exchange>("b", other, "key-of-the-test-fleet");
            first->throwingCollects = 2;
            second->throwingUpdates = 2;
            first->exchange.setPeers({{"127.0.0.1", other}}, {});
            isStarted = succeeded(second->exchange.start()) && succeeded(first->exchange.start());
        }
        CPPUNIT_ASSERT(isStarted);
        CPPUNIT_ASSERT(second->receivesWithin(20s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first->failedSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second->failedSteps());
    }

    void oversizedUpdatesAreRejected()
    {
        load_update update;
        update.work.resize(config::maxLoadItems + 1);
        CPPUNIT_ASSERT(errorOf(encode(update)).code == error_code::TooLarge);
        update.work.pop_back();
        CPPUNIT_ASSERT(succeeded(encode(update)));
    }

    /// Guards the datagram rate of large fleets. When each of 295 instances in six zones sent to
    /// each other one at full rate, the fleet sent and received 206,000 datagrams a second,
    /// requests waited for the CPU, and serving a day's traffic took longer than a day. The rate
    /// is limited to that of 97 instances; smaller fleets keep the full rate.
    void fleetDatagramRateIsBounded()
    {
        const auto sentBy = [](std::size_t sameZone, std::size_t otherZones) {
            const auto perSecond = [&](std::size_t peers, std::size_t budget) {
                return 1000.0 * static_cast<double>(peers)
                        / static_cast<double>(
                                loadUpdateInterval(peers, sameZone + otherZones, budget).count());
            };
            return static_cast<double>(sameZone + otherZones + 1)
                    * (perSecond(sameZone, config::sameZoneLoadUpdatesPerSecond)
                       + perSecond(otherZones, config::otherZonesLoadUpdatesPerSecond));
        };
        CPPUNIT_ASSERT(sentBy(49, 245) < 1.05 * sentBy(16, 80));
        CPPUNIT_ASSERT(sentBy(99, 900) < 1.05 * sentBy(16, 80));
        CPPUNIT_ASSERT(loadUpdateInterval(16, 66, config::sameZoneLoadUpdatesPerSecond)
                       == config::loadUpdateInterval);
        CPPUNIT_ASSERT(loadUpdateInterval(50, 66, config::otherZonesLoadUpdatesPerSecond) == 166ms);
    }

    /// In a fleet of a thousand, an instance can tell each other one what it has sent every half
    /// minute, and its requests last for a second. What others know of its load would be wrong for
    /// most of the time, and would come and go.
    void instancesThatCannotBeToldInTimeAreToldNothing()
    {
        const load_intervals small = loadUpdateIntervals(2, 5);
        CPPUNIT_ASSERT(small.sameZone && small.otherZones);
        for (const std::size_t zone : {100U, 163U, 200U}) {
            const load_intervals fleet = loadUpdateIntervals(zone, 5 * zone);
            CPPUNIT_ASSERT(fleet.sameZone && *fleet.sameZone <= config::maxLoadUpdateInterval);
            CPPUNIT_ASSERT(!fleet.otherZones);
        }
        CPPUNIT_ASSERT(loadUpdateIntervals(400, 2000) == load_intervals{});
    }

    /// If each instance told each instance of other zones what it has sent, that would be most of
    /// the bytes between zones.
    void eachZoneGetsOneDigestOfEachOther()
    {
        std::vector<policy::member> alive;
        for (int i = 0; i < 80; ++i) {
            policy::member one;
            one.id.text = "edge-" + std::to_string(i);
            one.zone.text = "zone-" + std::to_string(i % 4);
            one.peerAddress = {"10.0.0." + std::to_string(i + 1), 7000};
            alive.push_back(one);
        }
        // A member that is suspected may be dead.
        alive[5].state = policy::member_state::Suspect;
        std::size_t sent = 0;
        std::set<endpoint> forwarders;
        for (const policy::member &one : alive) {
            const digest_recipients recipients = digestRecipientsOf(alive, one.id, 7001);
            for (const digest_forwarders &zone : recipients.zones) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{3}, recipients.otherZones);
                ++sent;
                for (const endpoint &to : zone)
                    CPPUNIT_ASSERT(to.port == 7001 && to.host != alive[5].peerAddress.host);
                forwarders.insert(zone.front());
                // The parts of a digest are spread over all instances of the zone.
                CPPUNIT_ASSERT(zone.size() >= 19);
                CPPUNIT_ASSERT_EQUAL(zone.size(), std::set(zone.begin(), zone.end()).size());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, sent);
        // The work is spread over several instances.
        CPPUNIT_ASSERT(forwarders.size() > 6);
        alive.resize(20);
        CPPUNIT_ASSERT(digestRecipientsOf(alive, alive[0].id, 7001).zones.empty());
    }

    /// Guards against digests that fill the link of an instance: its callers then get no answer.
    void digestsLeaveRoomOnALink()
    {
        for (const std::size_t parts : {1, 4, 16, 64}) {
            for (const std::size_t zones : {1, 3, 5}) {
                const milliseconds interval = digestInterval(parts * zones, 40ms);
                const double perSecond = 1000.0 * static_cast<double>(parts * zones)
                        / static_cast<double>(interval.count());
                const bool isRarest = interval == config::maxLoadUpdateInterval;
                CPPUNIT_ASSERT(isRarest || perSecond <= 1.02 * config::digestDatagramsPerSecond);
            }
        }
        CPPUNIT_ASSERT_EQUAL(40ms, digestInterval(0, 40ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_update_test);

} // namespace poplarspool::peer
