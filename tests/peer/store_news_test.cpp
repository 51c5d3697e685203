#include "poplarspool/config.h"
#include "poplarspool/peer/store_news.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::peer {

namespace {

using namespace std::chrono_literals;

const mono_time start{1h};

} // namespace

class store_news_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_news_test);
    CPPUNIT_TEST(newsSurviveTheWire);
    CPPUNIT_TEST(malformedNewsAreRefused);
    CPPUNIT_TEST(newsBeyondABoundAreRefused);
    CPPUNIT_TEST(changesAreToldAgain);
    CPPUNIT_TEST(whatDoesNotFitIsNotHidden);
    CPPUNIT_TEST(aHoleIsNotHidden);
    CPPUNIT_TEST(oldChangesAreToldNoMore);
    CPPUNIT_TEST(changesOfAnEarlierEpochAreNotTold);
    CPPUNIT_TEST_SUITE_END();

public:
    void newsSurviveTheWire()
    {
        const store_news news{{{0, true, 5, {2, 9}, 250, {"a", ""}}, {1, false, 9, {0, 9}, 0, {}}}};
        CPPUNIT_ASSERT(valueOf(decodeStoreNews(valueOf(encode(news)))) == news);
    }

    void malformedNewsAreRefused()
    {
        const std::string whole = valueOf(encode(store_news{{{0, true, 5, {0, 9}, 250, {"abc"}}}}));
        for (std::size_t size = 0; size < whole.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeStoreNews(whole.substr(0, size))));
        CPPUNIT_ASSERT(!succeeded(decodeStoreNews(whole + "x")));
        CPPUNIT_ASSERT(!succeeded(decodeStoreNews("\xff\xff\xff\xff\x0f")));
    }

    void newsBeyondABoundAreRefused()
    {
        store_news news;
        news.kinds.resize(config::maxToldKinds + 1);
        CPPUNIT_ASSERT(errorOf(encode(news)).code == error_code::TooLarge);
        news.kinds.resize(1);
        news.kinds.front().changes.resize(1, std::string(config::maxChangeBytes + 1, 'a'));
        CPPUNIT_ASSERT(errorOf(encode(news)).code == error_code::TooLarge);
        news.kinds.front().changes.front().pop_back();
        CPPUNIT_ASSERT(succeeded(encode(news)));
    }

    /// A datagram with a change is lost: the next one has it, too.
    void changesAreToldAgain()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {"a"}, start);
        recent.add(7, {0, 8}, {}, start);
        recent.add(8, {0, 9}, {"b", "c"}, start);
        const kind_news told = recent.tell(100);
        CPPUNIT_ASSERT(told.changes == (std::vector<std::string>{"a", "b", "c"}));
        CPPUNIT_ASSERT(told.since == 5 && told.version.revision == 9);
    }

    /// Too many changes for a datagram: those before the last ones are left out, and a receiver
    /// that lacks them must see that it does.
    void whatDoesNotFitIsNotHidden()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {std::string(80, 'a')}, start);
        recent.add(7, {0, 9}, {std::string(80, 'b')}, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, recent.tell(100).since);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, recent.tell(50).since);
        recent.add(9, {0, 11}, {std::string(config::maxChangeBytes + 1, 'c')}, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, recent.tell(5000).since);
        CPPUNIT_ASSERT(recent.tell(5000).changes.empty());
    }

    /// An instance has read from the store what it had not followed: told as if nothing lay
    /// between, a change would be lost for all who rely on it.
    void aHoleIsNotHidden()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {"a"}, start);
        recent.add(9, {0, 11}, {"b"}, start);
        const kind_news told = recent.tell(100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, told.since);
        CPPUNIT_ASSERT(told.changes == (std::vector<std::string>{"b"}));
    }

    void oldChangesAreToldNoMore()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {"a"}, start);
        recent.add(7, {0, 9}, {}, start + config::toldChangeTime + 1ms);
        const kind_news told = recent.tell(100);
        CPPUNIT_ASSERT(told.changes.empty());
        CPPUNIT_ASSERT(told.since == 7 && told.version.revision == 9);
    }

    /// Changes from before the store came back from an older copy don't join those after it.
    void changesOfAnEarlierEpochAreNotTold()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 9}, {"a"}, start);
        recent.add(6, {1, 8}, {"b"}, start);
        const kind_news told = recent.tell(100);
        CPPUNIT_ASSERT(told.changes == (std::vector<std::string>{"b"}));
        CPPUNIT_ASSERT(told.since == 6 && told.version == (store_version{1, 8}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_news_test);

} // namespace poplarspool::peer
