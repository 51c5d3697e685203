#include "bench/command.h"
#include "bench/load_plan.h"
#include "bench/metrics_text.h"
#include "bench/process_usage.h"
#include "bench/sample_stats.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using namespace poplarspool;
using namespace poplarspool::bench;
using namespace std::chrono_literals;

class figures_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(figures_test);
    CPPUNIT_TEST(quantileIsNearestRankSample);
    CPPUNIT_TEST(lineIsFittedByLeastSquares);
    CPPUNIT_TEST(figuresAreFormattedAsLineAndJson);
    CPPUNIT_TEST(processFilesAreParsed);
    CPPUNIT_TEST(metricsAreSummedByNameSuffix);
    CPPUNIT_TEST(mixIsParsedOrRejected);
    CPPUNIT_TEST(requestIsDeterminedByItsNumber);
    CPPUNIT_TEST(shiftUsesOneMixEntryAtATime);
    CPPUNIT_TEST_SUITE_END();

    void quantileIsNearestRankSample()
    {
        durations samples;
        for (int number = 100; number > 0; --number)
            samples.emplace_back(number);
        CPPUNIT_ASSERT(quantileOf(samples, 0.5) == 50ns);
        CPPUNIT_ASSERT(quantileOf(samples, 0.99) == 99ns);
        CPPUNIT_ASSERT(quantileOf(samples, 1) == 100ns);
        CPPUNIT_ASSERT(quantileOf({}, 0.5) == 0ns);
    }

    void lineIsFittedByLeastSquares()
    {
        CPPUNIT_ASSERT(fitLine({{3, 7}, {6, 13}, {12, 25}}) == (line_fit{1, 2}));
        CPPUNIT_ASSERT(fitLine({{3, 4}, {3, 6}}) == (line_fit{5, 0}));
    }

    void figuresAreFormattedAsLineAndJson()
    {
        const figures all{{"requests", 12, 0}, {"p50_first_ms", 0.25, 3}};
        CPPUNIT_ASSERT_EQUAL(std::string("requests=12 p50_first_ms=0.250"), lineOf(all));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"requests":12,"p50_first_ms":0.25})"), jsonOf(all));
    }

    void processFilesAreParsed()
    {
        const std::string stat = "77 (a) b (c)) S 1 77 77 0 -1 4194560 500 0 0 0 150 50 0 0 20 0";
        const auto cpuTime = parseCpuTime(stat, 100);
        CPPUNIT_ASSERT(succeeded(cpuTime) && valueOf(cpuTime) == 2s);
        CPPUNIT_ASSERT(!succeeded(parseCpuTime("77 (x) S 1", 100)));
        const auto resident = parseResidentKb("Name:\tx\nVmRSS:\t   12345 kB\nRssAnon:\t 1 kB\n");
        CPPUNIT_ASSERT(succeeded(resident) && valueOf(resident) == 12345);
        CPPUNIT_ASSERT(!succeeded(parseResidentKb("Name:\tx\n")));
    }

    void metricsAreSummedByNameSuffix()
    {
        const metric_samples samples =
                parseMetrics("# TYPE a_bytes_total counter\na_bytes_total 5\n"
                             "a_bytes_total{to=\"x y\"} 7\nb_bytes_total 1\nbytes 100\n"
                             "c{le=\"a_bytes_total\"} 100\n");
        CPPUNIT_ASSERT_EQUAL(13.0, sumBySuffix(samples, "_bytes_total"));
    }

    void mixIsParsedOrRejected()
    {
        const std::vector<mix_entry> expected{{2000, 50}, {100, 400}};
        CPPUNIT_ASSERT(parseMix("2000:50,100:400") == expected);
        for (const char *bad : {"", "5", "5:", "0:5", "5:x", "5:6:7", "5:99999999"})
            CPPUNIT_ASSERT_THROW(parseMix(bad), usage_error);
    }

    void requestIsDeterminedByItsNumber()
    {
        load_plan plan;
        plan.run = "run";
        plan.mix = {{100, 10}, {30, 5}};
        plan.models = {"m"};
        plan.services = {"s"};
        plan.serviceShare = 0.5;
        std::set<std::string> keys;
        std::set<std::string> prompts;
        for (std::uint64_t number = 0; number < 200; ++number) {
            const load_call call = makeCall(plan, number, 0ns);
            CPPUNIT_ASSERT(call == makeCall(plan, number, 5s));
            CPPUNIT_ASSERT(call.model.empty() != call.service.empty());
            CPPUNIT_ASSERT(prompts.insert(call.prompt).second);
            if (!call.idempotencyKey.empty())
                CPPUNIT_ASSERT(keys.insert(call.idempotencyKey).second);
        }
        CPPUNIT_ASSERT(keys.size() > 50 && keys.size() < 150);
    }

    void shiftUsesOneMixEntryAtATime()
    {
        load_plan plan;
        plan.mix = {{100, 10}, {30, 5}};
        plan.models = {"m"};
        plan.shift = 10s;
        for (std::uint64_t number = 0; number < 20; ++number) {
            CPPUNIT_ASSERT_EQUAL(10U, makeCall(plan, number, 9s).maxTokens);
            CPPUNIT_ASSERT_EQUAL(5U, makeCall(plan, number, 10s).maxTokens);
            CPPUNIT_ASSERT_EQUAL(10U, makeCall(plan, number, 25s).maxTokens);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(figures_test);
