#include "crashes/crash_message.h"

#include "crashes/crash_update.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/crashes/limits.h"
#include "poplarspool/peer/limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::crashes {

namespace {

/// A record at all its bounds.
crash_record largestRecord()
{
    crash_record made;
    made.key = UINT64_MAX;
    made.kind = suspect_kind::PromptPart;
    made.place = 200;
    made.wasServed = made.isConvicted = true;
    for (std::uint64_t i = 0; i < config::maxCrashIncarnations; ++i) {
        ended_incarnation ended{i + 1, INT64_MAX - 1, i % 2 == 0};
        for (std::uint64_t digest = 0; digest < config::maxEndDigests; ++digest)
            ended.digests.push_back(UINT64_MAX - config::maxEndDigests + digest);
        made.incarnations.push_back(std::move(ended));
    }
    return made;
}

end_notice largestNotice()
{
    end_notice made{1, 2, 3, {}};
    for (std::size_t i = 0; i < config::maxSuspectParts; ++i)
        made.parts.push_back({UINT64_MAX - i, static_cast<std::uint8_t>(i)});
    return made;
}

} // namespace

class crash_message_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_message_test);
    CPPUNIT_TEST(messagesAreUnchangedWhenDecoded);
    CPPUNIT_TEST(truncatedMessagesAreRejected);
    CPPUNIT_TEST(longerListsThanAllowedAreRejected);
    CPPUNIT_TEST(noticesNameTheRequestOfEachPart);
    CPPUNIT_TEST(verdictsFitIntoARumor);
    CPPUNIT_TEST(clearedEndsAreUnchangedWhenDecoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesAreUnchangedWhenDecoded()
    {
        for (const crash_message &message :
             {crash_message(largestNotice()), crash_message(part_notice{largestRecord()}),
              crash_message(end_notice{})}) {
            const auto encoded = encode(message);
            CPPUNIT_ASSERT(succeeded(encoded));
            CPPUNIT_ASSERT(valueOf(encoded).size() < config::maxDatagramBytes);
            CPPUNIT_ASSERT(valueOf(decodeCrashMessage(valueOf(encoded))) == message);
        }
    }

    void truncatedMessagesAreRejected()
    {
        for (const crash_message &message :
             {crash_message(largestNotice()), crash_message(part_notice{largestRecord()})}) {
            const std::string whole = valueOf(encode(message));
            for (std::size_t size = 0; size < whole.size(); ++size)
                CPPUNIT_ASSERT(!succeeded(decodeCrashMessage(whole.substr(0, size))));
            CPPUNIT_ASSERT(!succeeded(decodeCrashMessage(whole + "x")));
        }
    }

    void longerListsThanAllowedAreRejected()
    {
        end_notice notice = largestNotice();
        notice.parts.push_back({1, 1});
        CPPUNIT_ASSERT(!succeeded(encode(notice)));
        crash_record record = largestRecord();
        record.incarnations.push_back({99, 1});
        CPPUNIT_ASSERT(!succeeded(encode(part_notice{record})));
    }

    void noticesNameTheRequestOfEachPart()
    {
        const auto records = recordsOf({9, 5, 70, {{1, 0}, {2, 1}}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records.size());
        CPPUNIT_ASSERT(records[1].kind == suspect_kind::PromptPart && records[1].key == 2
                       && records[1].place == 1);
        CPPUNIT_ASSERT(records[1].incarnations
                       == (std::vector<ended_incarnation>{{9, 5, false, {70}}}));
    }

    void verdictsFitIntoARumor()
    {
        const peer::rumor rumor = partRumor(largestRecord());
        CPPUNIT_ASSERT(rumor.payload.size() <= config::maxRumorBytes);
        CPPUNIT_ASSERT(rumor.key.size() <= config::maxNameBytes);
        CPPUNIT_ASSERT(valueOf(decodeCrashRecords(rumor))
                       == std::vector<crash_record>{largestRecord()});
        CPPUNIT_ASSERT(!succeeded(decodeCrashRecords({rumor.key, 1, "x"})));
    }

    void clearedEndsAreUnchangedWhenDecoded()
    {
        crash_record record{7, {{1, 5, true}, {2, 6, false}, {3, 7, true}}};
        const auto received = valueOf(decodeCrashRecords(clearedRumor(record)));
        CPPUNIT_ASSERT(received == (std::vector<crash_record>{{7, {{1, 5, true}, {3, 7, true}}}}));
        CPPUNIT_ASSERT(merged(record, received.front()) == record);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_message_test);

} // namespace poplarspool::crashes
