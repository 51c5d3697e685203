#include "platform/decode.h"
#include "platform/names.h"
#include "poplarspool/crashes/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::adapter {

namespace {

using crashes::crash_record;
using crashes::crash_record_list;
using crashes::suspect_kind;
using nlohmann::json;

crash_record convictedPart()
{
    crash_record made{9, {{1, 50, false, {70, 71}}, {2, 60, true, {72}}}};
    made.kind = suspect_kind::PromptPart;
    made.place = 3;
    made.wasServed = made.isConvicted = true;
    return made;
}

json parsed(const char *text)
{
    return json::parse(text);
}

} // namespace

class decode_crash_records_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decode_crash_records_test);
    CPPUNIT_TEST(recordsAreUnchangedWhenDecoded);
    CPPUNIT_TEST(recordsOfTheFormerReleaseAreRead);
    CPPUNIT_TEST(formerReleaseFindsItsFieldsUnchanged);
    CPPUNIT_TEST(malformedEntriesAreSkipped);
    CPPUNIT_TEST(numberOfRecordsIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void recordsAreUnchangedWhenDecoded()
    {
        const crash_record_list list{{{7, {{1, 50}, {2, 60, true}}, 55}, convictedPart()}, {0, 4}};
        CPPUNIT_ASSERT(decodeCrashRecordList(encodeCrashRecordList(list), {0, 4}) == list);
    }

    void recordsOfTheFormerReleaseAreRead()
    {
        const auto list = decodeCrashRecordList(
                parsed(R"({"requests":[{"digest":"0000000000000007","served_ms":5,"lives":)"
                       R"([{"life":"000000000000000a","ended_ms":6}]}]})"),
                {0, 1});
        CPPUNIT_ASSERT(list.records == (std::vector<crash_record>{{7, {{10, 6}}, 5}}));
    }

    /// During a rolling upgrade, instances of the former release read and replace the object.
    void formerReleaseFindsItsFieldsUnchanged()
    {
        const json written = encodeCrashRecordList({{{7, {{10, 6}}, 5}, convictedPart()}, {0, 1}});
        CPPUNIT_ASSERT(written.at("requests")
                       == parsed(R"([{"digest":"0000000000000007","served_ms":5,"lives":)"
                                 R"([{"life":"000000000000000a","ended_ms":6}]}])"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, written.at("parts").size());
    }

    void malformedEntriesAreSkipped()
    {
        for (const char *parts :
             {R"(7)", R"([7,null,{}])", R"([{"digest":"x","served_ms":0,"lives":[]}])",
              R"([{"digest":"09","served_ms":0,"lives":7}])",
              R"([{"digest":"09","served_ms":0,"place":-1,"lives":[7]}])",
              R"([{"digest":"09","served_ms":0,"lives":[{"life":"1","ended_ms":1,"requests":[7]}]}])",
              R"([{"digest":"09","served_ms":0,"convicted":"yes","lives":[]}])"}) {
            const json spec{{"requests", json::array()}, {"parts", parsed(parts)}};
            CPPUNIT_ASSERT_MESSAGE(parts, decodeCrashRecordList(spec, {0, 1}).records.empty());
        }
    }

    void numberOfRecordsIsBounded()
    {
        crash_record_list list;
        for (std::uint64_t key = 0; key < 2 * config::maxStoredCrashRecords; ++key) {
            list.records.push_back({2 * key, {}});
            list.records.push_back(convictedPart());
            list.records.back().key = 2 * key + 1;
        }
        CPPUNIT_ASSERT_EQUAL(
                2 * config::maxStoredCrashRecords,
                decodeCrashRecordList(encodeCrashRecordList(list), {0, 1}).records.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decode_crash_records_test);

} // namespace poplarspool::adapter
