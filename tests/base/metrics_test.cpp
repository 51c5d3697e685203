#include "poplarspool/base/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <thread>

using namespace poplarspool;
using namespace std::chrono_literals;

namespace {

bool hasLine(const std::string &text, const std::string &wanted)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (line == wanted)
            return true;
    }
    return false;
}

} // namespace

class metrics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(sameNameReturnsSameMetric);
    CPPUNIT_TEST(seriesOfAFamilyShareOneTypeLine);
    CPPUNIT_TEST(latencyIsWrittenAsHistogram);
    CPPUNIT_TEST(quantileIsUpperBinEdge);
    CPPUNIT_TEST(valuesOutsideTheAxisAreCounted);
    CPPUNIT_TEST(concurrentRecordsAreAllCounted);
    CPPUNIT_TEST_SUITE_END();

    void sameNameReturnsSameMetric()
    {
        metrics_registry metrics;
        counter &first = metrics.counterOf("a_total");
        for (int number = 0; number < 100; ++number)
            metrics.counterOf("other" + std::to_string(number));
        CPPUNIT_ASSERT_EQUAL(&first, &metrics.counterOf("a_total"));
        CPPUNIT_ASSERT(&first != &metrics.counterOf("a_total{code=\"ok\"}"));
    }

    void seriesOfAFamilyShareOneTypeLine()
    {
        metrics_registry metrics;
        metrics.counterOf("a{code=\"ok\"}").add(2);
        metrics.counterOf("a_b").add(3);
        metrics.counterOf("a").add(1);
        metrics.gaugeOf("g").set(-4);
        CPPUNIT_ASSERT_EQUAL(std::string("# TYPE a counter\na 1\na{code=\"ok\"} 2\n"
                                         "# TYPE a_b counter\na_b 3\n"
                                         "# TYPE g gauge\ng -4\n"),
                             metrics.text());
    }

    void latencyIsWrittenAsHistogram()
    {
        metrics_registry metrics;
        latency_histogram &times = metrics.latencyOf("wait_seconds{pool=\"p\"}");
        times.record(500us);
        times.record(5ms);
        times.record(5ms);
        const std::string text = metrics.text();
        CPPUNIT_ASSERT(hasLine(text, "# TYPE wait_seconds histogram"));
        CPPUNIT_ASSERT(hasLine(text, "wait_seconds_bucket{pool=\"p\",le=\"0.001\"} 1"));
        CPPUNIT_ASSERT(hasLine(text, "wait_seconds_bucket{pool=\"p\",le=\"0.01\"} 3"));
        CPPUNIT_ASSERT(hasLine(text, "wait_seconds_bucket{pool=\"p\",le=\"1000\"} 3"));
        CPPUNIT_ASSERT(hasLine(text, "wait_seconds_bucket{pool=\"p\",le=\"+Inf\"} 3"));
        CPPUNIT_ASSERT(hasLine(text, "wait_seconds_sum{pool=\"p\"} 0.0105"));
        CPPUNIT_ASSERT(hasLine(text, "wait_seconds_count{pool=\"p\"} 3"));
    }

    void quantileIsUpperBinEdge()
    {
        latency_histogram times;
        CPPUNIT_ASSERT(times.quantile(0.5) == 0ns);
        for (int number = 0; number < 98; ++number)
            times.record(2ms);
        times.record(3s);
        times.record(3s);
        CPPUNIT_ASSERT(times.quantile(0.5) >= 2ms && times.quantile(0.5) < 2500us);
        CPPUNIT_ASSERT(times.quantile(0.99) >= 3s && times.quantile(0.99) < 4s);
    }

    void valuesOutsideTheAxisAreCounted()
    {
        latency_histogram times;
        times.record(0ns);
        times.record(-5ms);
        CPPUNIT_ASSERT(times.quantile(1.0) == 10us);
        times.record(2000s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, times.count());
        CPPUNIT_ASSERT(times.quantile(1.0) == 1000s);
    }

    void concurrentRecordsAreAllCounted()
    {
        constexpr int perThread = 5000;
        latency_histogram times;
        const auto work = [&times] {
            for (int number = 0; number < perThread; ++number)
                times.record(std::chrono::microseconds(number));
        };
        std::thread first(work);
        std::thread second(work);
        first.join();
        second.join();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2} * perThread, times.count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);
