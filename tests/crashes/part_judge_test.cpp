#include "crash_fleet.h"

#include "poplarspool/crashes/limits.h"

#include <random>

namespace poplarspool::crashes {

namespace {

using namespace std::chrono_literals;
using test::crash_fleet;

constexpr std::uint64_t tenant = 1;
constexpr std::uint64_t cause = 2;
constexpr std::uint64_t sound = 3;
/// Ends under a part that are allowed until all instances refuse it.
constexpr int maxEnds = 5;

/// Requests of which no two are alike.
class request_maker
{
public:
    request_suspects operator()(const std::vector<std::uint64_t> &parts)
    {
        request_suspects made{++digest, {}};
        for (const std::uint64_t part : parts)
            made.parts.push_back({part, static_cast<std::uint8_t>(made.parts.size())});
        return made;
    }

private:
    std::uint64_t digest = 1'000'000;
};

/// Sends crashing requests to random instances, with sound ones in between, until one in a row is
/// refused by each of several instances.
/// @returns The number of runners that crashed.
int crashUntilRefused(crash_fleet &fleet, request_maker &make,
                      const std::vector<std::uint64_t> &parts, milliseconds interval)
{
    std::mt19937_64 random(5);
    int crashes = 0;
    for (int refused = 0; refused < 20; fleet.pass(interval)) {
        const bool isSent = fleet.send(random() % fleet.size(), make(parts), true);
        crashes += isSent ? 1 : 0;
        refused = isSent ? 0 : refused + 1;
        CPPUNIT_ASSERT(crashes < 100);
    }
    return crashes;
}

} // namespace

class part_judge_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(part_judge_test);
    CPPUNIT_TEST(allInstancesRefuseThePartAfterThreeEnds);
    CPPUNIT_TEST(thousandInstancesRefuseThePart);
    CPPUNIT_TEST(massCrashOfALargeFleetConvictsNobody);
    CPPUNIT_TEST(partThatOthersHaveServedIsNotConvicted);
    CPPUNIT_TEST(partIsConvictedWhileTwoJudgesAreSilent);
    CPPUNIT_TEST(instanceThatMissedTheVerdictLearnsItAtTheNextEnd);
    CPPUNIT_TEST(clocksThatDifferByTwoSecondsChangeNothing);
    CPPUNIT_TEST(oneInstanceTriesThePartWhenItsTimeIsOver);
    CPPUNIT_TEST(callersOfAnotherWorkspaceConvictNoForeignPart);
    CPPUNIT_TEST_SUITE_END();

public:
    void allInstancesRefuseThePartAfterThreeEnds()
    {
        crash_fleet fleet(6);
        request_maker make;
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.send(i, make({tenant, sound}), false);
        const int crashes = crashUntilRefused(fleet, make, {tenant, cause}, 600ms);
        CPPUNIT_ASSERT(crashes <= maxEnds);
        CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.countRefusing(make({tenant, cause})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.countRefusing(make({tenant, sound})));
    }

    /// The instances' share in one request a second is too small to see anything by themselves.
    void thousandInstancesRefuseThePart()
    {
        crash_fleet fleet(985);
        request_maker make;
        std::mt19937_64 random(1);
        for (int i = 0; i < 300; ++i)
            fleet.send(random() % fleet.size(), make({tenant, sound}), false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.datagrams);
        const int crashes = crashUntilRefused(fleet, make, {tenant, cause}, 1s);
        CPPUNIT_ASSERT(crashes <= maxEnds);
        CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.countRefusing(make({tenant, cause})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.countRefusing(make({tenant, sound})));
        // A question and a verdict of each of the judges, about both parts, and few reports.
        CPPUNIT_ASSERT(fleet.datagrams <= 20 * fleet.size());
    }

    /// Many runners crash at once, three times, each under twelve requests.
    void massCrashOfALargeFleetConvictsNobody()
    {
        crash_fleet fleet(100);
        request_maker make;
        std::mt19937_64 random(2);
        const auto anyRequest = [&] {
            const std::uint64_t first = 10 + random() % 40;
            return make({first, 1000 * first + random() % 20});
        };
        std::uint64_t runner = 1'000'000;
        for (int crash = 0; crash < 3; ++crash) {
            for (int i = 0; i < 6'000; ++i)
                fleet.send(random() % fleet.size(), anyRequest(), false);
            for (int i = 0; i < 60; ++i, ++runner) {
                for (int n = 0; n < 12; ++n)
                    fleet.end(random() % fleet.size(), {anyRequest()}, runner);
            }
            fleet.pass(6s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.verdicts);
    }

    void partThatOthersHaveServedIsNotConvicted()
    {
        crash_fleet fleet(100);
        request_maker make;
        CPPUNIT_ASSERT(fleet.send(77, make({tenant, sound}), false));
        for (std::uint64_t i = 0; i < 4; ++i, fleet.pass(600ms)) {
            fleet.end(i, {make({tenant, sound})}, 500 + i);
            fleet.end(i + 10, {make({tenant + 100, sound + 100})}, 600 + i);
        }
        CPPUNIT_ASSERT(!fleet.isRefusedAt(1, make({tenant, sound})));
    }

    void partIsConvictedWhileTwoJudgesAreSilent()
    {
        for (std::size_t silent = 0; silent < 10; ++silent) {
            crash_fleet fleet(10);
            request_maker make;
            fleet.silent = {silent, (silent + 1) % 10};
            std::uint64_t ends = 0;
            for (std::size_t i = 0; i < 10; ++i, fleet.pass(600ms)) {
                if (!fleet.silent.contains(i) && fleet.send(i, make({tenant, cause}), true))
                    ++ends;
            }
            CPPUNIT_ASSERT(ends <= maxEnds);
            CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fleet.countRefusing(make({tenant, cause})));
        }
    }

    void instanceThatMissedTheVerdictLearnsItAtTheNextEnd()
    {
        crash_fleet fleet(6);
        request_maker make;
        fleet.silent = {5};
        for (std::size_t i = 0; i < 5; ++i, fleet.pass(600ms))
            fleet.send(i, make({tenant, cause}), true);
        CPPUNIT_ASSERT(!fleet.isRefusedAt(5, make({tenant, cause})));
        fleet.silent.clear();
        fleet.send(5, make({tenant, cause}), true);
        fleet.pass(600ms);
        CPPUNIT_ASSERT(fleet.isRefusedAt(5, make({tenant, cause})));
    }

    /// An answer at an instance whose clock is ahead must not clear later ends.
    void clocksThatDifferByTwoSecondsChangeNothing()
    {
        crash_fleet fleet(6);
        request_maker make;
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.setSkew(i, i % 2 == 0 ? 2000 : -2000);
        const int crashes = crashUntilRefused(fleet, make, {tenant, cause}, 1s);
        CPPUNIT_ASSERT(crashes <= maxEnds);
        CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.countRefusing(make({tenant, cause})));
    }

    /// When a quarantine ended everywhere at once, each instance would send one.
    void oneInstanceTriesThePartWhenItsTimeIsOver()
    {
        crash_fleet fleet(50);
        request_maker make;
        crashUntilRefused(fleet, make, {tenant, cause}, 600ms);
        fleet.now += config::maxQuarantineTime;
        CPPUNIT_ASSERT_EQUAL(fleet.size(), fleet.countRefusing(make({tenant, cause})));
        std::size_t trying = 0;
        for (int round = 0; round < 2; ++round) {
            for (std::size_t i = 0; i < fleet.size(); ++i)
                trying += fleet.judgeAt(i).takeTrial(cause) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, trying);
        fleet.pass(config::partTrialInterval);
        for (std::size_t i = 0; i < fleet.size(); ++i)
            trying += fleet.judgeAt(i).takeTrial(cause) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, trying);
    }

    /// A part's key depends on the workspace, so that naming a foreign part is of no use.
    void callersOfAnotherWorkspaceConvictNoForeignPart()
    {
        const std::uint64_t own = partKeyOf(99, "space", 7);
        CPPUNIT_ASSERT(own != partKeyOf(99, "other", 7));
        CPPUNIT_ASSERT(own != partKeyOf(99, "", 7));
        CPPUNIT_ASSERT(own != partKeyOf(99, "space", 8));
        CPPUNIT_ASSERT_EQUAL(own, partKeyOf(99, "space", 7));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(part_judge_test);

} // namespace poplarspool::crashes
