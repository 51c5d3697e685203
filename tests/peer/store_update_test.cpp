#include "poplarspool/config.h"
#include "poplarspool/peer/store_update.h"

#include <cppunit/extensions/HelperMacros.h>

namespace poplarspool::peer {

namespace {

using namespace std::chrono_literals;

const mono_time start{1h};

} // namespace

class store_update_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_update_test);
    CPPUNIT_TEST(updatesRoundTrip);
    CPPUNIT_TEST(malformedUpdatesAreRejected);
    CPPUNIT_TEST(oversizedUpdatesAreRejected);
    CPPUNIT_TEST(updatesRepeatRecentChanges);
    CPPUNIT_TEST(omittedChangesRaiseSince);
    CPPUNIT_TEST(gapRaisesSince);
    CPPUNIT_TEST(oldChangesAreNotRepeated);
    CPPUNIT_TEST(changesOfEarlierEpochAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void updatesRoundTrip()
    {
        const store_update update{
                {{0, true, 5, {2, 9}, 250, {"a", ""}}, {1, false, 9, {0, 9}, 0, {}}}};
        CPPUNIT_ASSERT(valueOf(decodeStoreUpdate(valueOf(encode(update)))) == update);
    }

    void malformedUpdatesAreRejected()
    {
        const std::string whole =
                valueOf(encode(store_update{{{0, true, 5, {0, 9}, 250, {"abc"}}}}));
        for (std::size_t size = 0; size < whole.size(); ++size)
            CPPUNIT_ASSERT(!succeeded(decodeStoreUpdate(whole.substr(0, size))));
        CPPUNIT_ASSERT(!succeeded(decodeStoreUpdate(whole + "x")));
        CPPUNIT_ASSERT(!succeeded(decodeStoreUpdate("\xff\xff\xff\xff\x0f")));
    }

    void oversizedUpdatesAreRejected()
    {
        store_update update;
        update.kinds.resize(config::maxUpdateKinds + 1);
        CPPUNIT_ASSERT(errorOf(encode(update)).code == error_code::TooLarge);
        update.kinds.resize(1);
        update.kinds.front().changes.resize(1, std::string(config::maxChangeBytes + 1, 'a'));
        CPPUNIT_ASSERT(errorOf(encode(update)).code == error_code::TooLarge);
        update.kinds.front().changes.front().pop_back();
        CPPUNIT_ASSERT(succeeded(encode(update)));
    }

    /// The next update repeats recent changes, in case a datagram was lost.
    void updatesRepeatRecentChanges()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {"a"}, start);
        recent.add(7, {0, 8}, {}, start);
        recent.add(8, {0, 9}, {"b", "c"}, start);
        const kind_update update = recent.makeUpdate(100);
        CPPUNIT_ASSERT(update.changes == (std::vector<std::string>{"a", "b", "c"}));
        CPPUNIT_ASSERT(update.since == 5 && update.version.revision == 9);
    }

    /// If the changes don't fit into a datagram, the oldest are left out. `since` must show this,
    /// so that a receiver notices what it lacks.
    void omittedChangesRaiseSince()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {std::string(80, 'a')}, start);
        recent.add(7, {0, 9}, {std::string(80, 'b')}, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, recent.makeUpdate(100).since);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, recent.makeUpdate(50).since);
        recent.add(9, {0, 11}, {std::string(config::maxChangeBytes + 1, 'c')}, start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, recent.makeUpdate(5000).since);
        CPPUNIT_ASSERT(recent.makeUpdate(5000).changes.empty());
    }

    /// A relay has missed changes between two calls of add(). If its update showed no gap,
    /// instances that rely on it would lose a change.
    void gapRaisesSince()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {"a"}, start);
        recent.add(9, {0, 11}, {"b"}, start);
        const kind_update update = recent.makeUpdate(100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, update.since);
        CPPUNIT_ASSERT(update.changes == (std::vector<std::string>{"b"}));
    }

    void oldChangesAreNotRepeated()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {"a"}, start);
        recent.add(7, {0, 9}, {}, start + config::relayedChangeRetention + 1ms);
        const kind_update update = recent.makeUpdate(100);
        CPPUNIT_ASSERT(update.changes.empty());
        CPPUNIT_ASSERT(update.since == 7 && update.version.revision == 9);
    }

    /// Changes from before a store rollback must not be combined with later ones.
    void changesOfEarlierEpochAreDropped()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 9}, {"a"}, start);
        recent.add(6, {1, 8}, {"b"}, start);
        const kind_update update = recent.makeUpdate(100);
        CPPUNIT_ASSERT(update.changes == (std::vector<std::string>{"b"}));
        CPPUNIT_ASSERT(update.since == 6 && update.version == (store_version{1, 8}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_update_test);

} // namespace poplarspool::peer
