#include "poplarspool/engine_model/engine_speed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

namespace poplarspool::engine_model {

namespace {

speed_estimate learnt(double ratio, int samples, speed_estimate from = priorEstimate(0))
{
    for (int i = 0; i < samples; ++i)
        from = withSample(from, ratio);
    return from;
}

double medianOf(const std::vector<speed_estimate> &engines)
{
    std::vector<double> known;
    for (const speed_estimate &one : engines) {
        if (isKnown(one))
            known.push_back(one.logPace);
    }
    return medianLogOf(known);
}

/// Samples of engines of equal speed: a third of them have waited for prompts of other instances.
class noisy_samples
{
public:
    double next(double speed)
    {
        const double waited = isLonger(random) ? std::exp(2 * unit(random)) : 1;
        return speed * std::exp(0.1 * normal(random)) * waited;
    }
    std::size_t anyOf(std::size_t count) { return random() % count; }

private:
    std::mt19937 random{7};
    std::bernoulli_distribution isLonger{1.0 / 3};
    std::uniform_real_distribution<double> unit{0, 1};
    std::normal_distribution<double> normal{0, 1};
};

} // namespace

class engine_speed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_speed_test);
    CPPUNIT_TEST(estimateCountsFromTheFifthSample);
    CPPUNIT_TEST(singleSampleMovesTheEstimateByATenthAtMost);
    CPPUNIT_TEST(stallDoesNotMakeAnEngineSlow);
    CPPUNIT_TEST(speedsAreLearntDespiteWaits);
    CPPUNIT_TEST(uniformFleetStaysAtOne);
    CPPUNIT_TEST(noneIsSetAsideIfAllBecomeSlow);
    CPPUNIT_TEST(newEngineStartsFromTheMedian);
    CPPUNIT_TEST(smallDifferencesCountAsNone);
    CPPUNIT_TEST(factorsAreBounded);
    CPPUNIT_TEST(invalidSamplesAreIgnored);
    CPPUNIT_TEST(neitherOfTwoEnginesIsTheUsualOne);
    CPPUNIT_TEST(costOfASampleIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an engine that is set aside for its first few prompts.
    void estimateCountsFromTheFifthSample()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, factorOf(learnt(2, 4), 0));
        CPPUNIT_ASSERT(factorOf(learnt(2, 5), 0) > 1.2);
    }

    /// Guards against a jump when the quantile moves from one group of samples to another.
    void singleSampleMovesTheEstimateByATenthAtMost()
    {
        speed_estimate estimate = learnt(1, 16);
        for (int i = 0; i < 64; ++i) {
            const speed_estimate next = withSample(estimate, i < 32 ? 50 : 0.02);
            const double moved = std::abs(next.logPace - estimate.logPace);
            CPPUNIT_ASSERT(moved <= std::log(1.1) + 1e-9);
            estimate = next;
        }
    }

    /// Guards against an engine that is avoided after the prompts of one stall have ended.
    void stallDoesNotMakeAnEngineSlow()
    {
        speed_estimate estimate = learnt(1, 16);
        for (int i = 0; i < 10; ++i) {
            estimate = withSample(estimate, 10);
            CPPUNIT_ASSERT_EQUAL(1.0, factorOf(estimate, 0));
        }
    }

    /// Guards against estimates that follow the waits for other instances' prompts.
    void speedsAreLearntDespiteWaits()
    {
        for (const double speed : {0.6, 1.0, 1.6}) {
            noisy_samples samples;
            speed_estimate estimate = priorEstimate(0);
            for (int i = 0; i < 1000; ++i) {
                estimate = withSample(estimate, samples.next(speed));
                if (i >= 20)
                    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, estimate.logPace - std::log(speed), 0.35);
            }
        }
    }

    /// Guards against a uniform fleet in which noise makes some engines slow.
    void uniformFleetStaysAtOne()
    {
        noisy_samples samples;
        std::vector<speed_estimate> engines(60, priorEstimate(0));
        int checked = 0;
        int different = 0;
        double median = 0;
        for (int i = 0; i < 60'000; ++i) {
            speed_estimate &one = engines[samples.anyOf(engines.size())];
            one = withSample(one, samples.next(1));
            if (i % 60 != 0)
                continue;
            median = medianOf(engines);
            for (const speed_estimate &each : engines) {
                ++checked;
                different += factorOf(each, median) == 1 ? 0 : 1;
            }
        }
        CPPUNIT_ASSERT(different * 1000 <= checked * 5);
    }

    /// Guards against engines that are set aside because the whole fleet is slow.
    void noneIsSetAsideIfAllBecomeSlow()
    {
        noisy_samples samples;
        std::vector<speed_estimate> engines(60, priorEstimate(0));
        for (const double speed : {1.0, 2.5}) {
            for (int i = 0; i < 60 * 100; ++i) {
                speed_estimate &one = engines[samples.anyOf(engines.size())];
                one = withSample(one, samples.next(speed));
            }
        }
        const double median = medianOf(engines);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::log(2.5), median, 0.15);
        for (const speed_estimate &one : engines)
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1, factorOf(one, median), 0.35);
    }

    /// Guards against a new engine that seems slow because all samples are below the expected time.
    void newEngineStartsFromTheMedian()
    {
        const double median = std::log(0.4);
        speed_estimate estimate = withPrior(learnt(0.4, 3), median);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(median, estimate.logPace, 1e-6);
        estimate = learnt(0.4, 5, estimate);
        CPPUNIT_ASSERT_EQUAL(1.0, factorOf(estimate, median));
        CPPUNIT_ASSERT(withPrior(estimate, 0) == estimate);
    }

    /// Guards against a fleet of equal engines that isn't served as before.
    void smallDifferencesCountAsNone()
    {
        CPPUNIT_ASSERT_EQUAL(1.0, factorOf(learnt(1.19, 30), 0));
        CPPUNIT_ASSERT_EQUAL(1.0, factorOf(learnt(0.86, 30), 0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.25, factorOf(learnt(1.25, 30), 0), 1e-3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, factorOf(learnt(0.8, 30), 0), 1e-3);
    }

    /// Guards against an engine that gets all requests, or none for ever.
    void factorsAreBounded()
    {
        CPPUNIT_ASSERT_EQUAL(config::maxSpeedFactor, factorOf(learnt(1e9, 200), 0));
        CPPUNIT_ASSERT_EQUAL(config::minSpeedFactor, factorOf(learnt(1e-9, 200), 0));
    }

    /// Guards against estimates that become NaN and stay so.
    void invalidSamplesAreIgnored()
    {
        const speed_estimate estimate = learnt(1.5, 10);
        for (const double ratio : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
                                   std::numeric_limits<double>::infinity()})
            CPPUNIT_ASSERT(withSample(estimate, ratio) == estimate);
    }

    /// Guards against a median that is always the faster one of two engines.
    void neitherOfTwoEnginesIsTheUsualOne()
    {
        const std::vector<speed_estimate> engines{learnt(1, 30), learnt(4, 30)};
        const double median = medianOf(engines);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, factorOf(engines[0], median), 1e-3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, factorOf(engines[1], median), 1e-3);
        CPPUNIT_ASSERT_EQUAL(0.0, medianLogOf({}));
    }

    /// Guards against a cost that grows with the number of samples. Far above what it takes.
    void costOfASampleIsBounded()
    {
        const auto begin = std::chrono::steady_clock::now();
        const speed_estimate estimate = learnt(1.5, 100'000);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(100'000U, estimate.samples);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_speed_test);

} // namespace poplarspool::engine_model
