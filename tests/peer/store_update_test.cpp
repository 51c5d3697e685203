#include "peer/forward_groups.h"
#include "peer/frame.h"
#include "poplarspool/peer/limits.h"
#include "poplarspool/peer/store_update.h"
#include "poplarspool/peer/update_assembler.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

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
    CPPUNIT_TEST(requestedChangesAreRepeatedOnceASecond);
    CPPUNIT_TEST(changesOfEarlierEpochAreDropped);
    CPPUNIT_TEST(allChangesAreSentOnce);
    CPPUNIT_TEST(longBatchesAreJoined);
    CPPUNIT_TEST(incompleteBatchesAreNotApplied);
    CPPUNIT_TEST(eachRecipientIsInOneForwardGroup);
    CPPUNIT_TEST(addressesOfAForwardGroupFitBesideTheChanges);
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

    /// Guards against a relay that sends all it has whenever one of many instances requests it.
    void requestedChangesAreRepeatedOnceASecond()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {std::string(80, 'a')}, start);
        recent.add(7, {0, 9}, {std::string(80, 'b')}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recent.takeUnsent(90, 90).size());
        CPPUNIT_ASSERT(!recent.repeatAfter({0, 9}, start + 10ms));
        CPPUNIT_ASSERT(recent.repeatAfter({0, 5}, start + 10ms));
        CPPUNIT_ASSERT(!recent.repeatAfter({0, 5}, start + 20ms));
        const auto repeated = recent.takeUnsent(90, 90, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, repeated.size());
        CPPUNIT_ASSERT(repeated.front().since == 5 && repeated.front().version.revision == 7);
        CPPUNIT_ASSERT(recent.takeUnsent(90, 90, true).empty());
        CPPUNIT_ASSERT(recent.repeatAfter({0, 5}, start + 10ms + config::minRepeatInterval));
        CPPUNIT_ASSERT(!recent.repeatAfter({1, 5}, start + 3s));
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

    /// More has changed than fits into a datagram. If the older changes were never sent, each
    /// instance that relies on the relay would query the store for them.
    void allChangesAreSentOnce()
    {
        recent_changes recent;
        recent.reset({0, 5});
        recent.add(5, {0, 7}, {std::string(80, 'a')}, start);
        recent.add(7, {0, 9}, {std::string(80, 'b')}, start);
        recent.add(9, {0, 10}, {"c"}, start);
        const auto older = recent.takeUnsent(100, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, older.size());
        CPPUNIT_ASSERT(older[0].isPartial && older[0].since == 5 && older[0].version.revision == 7);
        const kind_update newest = recent.makeUpdate(100);
        CPPUNIT_ASSERT(!newest.isPartial && newest.since == 7 && newest.version.revision == 10);
        CPPUNIT_ASSERT(recent.takeUnsent(100, 100).empty());
    }

    static std::vector<kind_update> partsOfALongBatch()
    {
        recent_changes recent;
        recent.reset({0, 5});
        std::vector<std::string> changes;
        changes.reserve(200);
        for (int i = 0; i < 200; ++i)
            changes.push_back("change " + std::to_string(i));
        recent.add(5, {0, 9}, changes, start);
        return recent.takeUnsent(300, 300);
    }

    /// One call to the store returned more changes than a datagram holds.
    void longBatchesAreJoined()
    {
        auto parts = partsOfALongBatch();
        CPPUNIT_ASSERT(parts.size() > 4);
        std::ranges::reverse(parts); // Datagrams may overtake each other.
        update_assembler assembler;
        for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
            CPPUNIT_ASSERT(succeeded(encode(store_update{{parts[i]}})));
            CPPUNIT_ASSERT(!assembler.add(1, parts[i], start));
            CPPUNIT_ASSERT(!assembler.add(1, parts[i], start));
        }
        const auto whole = assembler.add(1, parts.back(), start);
        CPPUNIT_ASSERT(whole && whole->since == 5 && whole->version.revision == 9);
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, whole->changes.size());
        for (int i = 0; i < 200; ++i)
            CPPUNIT_ASSERT_EQUAL("change " + std::to_string(i), whole->changes[i]);
    }

    void incompleteBatchesAreNotApplied()
    {
        auto parts = partsOfALongBatch();
        update_assembler assembler;
        for (std::size_t i = 0; i + 1 < parts.size(); ++i)
            assembler.add(1, parts[i], start);
        // Of another relay, or too late.
        CPPUNIT_ASSERT(!assembler.add(2, parts.back(), start));
        CPPUNIT_ASSERT(
                !assembler.add(1, parts.back(), start + config::relayedChangeRetention + 1ms));
        kind_update invalid = parts.front();
        invalid.part = invalid.parts;
        CPPUNIT_ASSERT(!assembler.add(1, invalid, start));
        invalid.parts = UINT32_MAX;
        CPPUNIT_ASSERT(!assembler.add(1, invalid, start));
    }

    /// The addresses of a group made datagrams with many changes too long. The instances behind the
    /// forwarders got none of them, and asked the store just when most had changed.
    void addressesOfAForwardGroupFitBesideTheChanges()
    {
        store_update update;
        for (const std::uint32_t kind : {1U, 2U}) {
            kind_update one{kind, true, UINT64_MAX, {UINT64_MAX, UINT64_MAX}, UINT32_MAX, {}};
            one.part = config::maxUpdateParts;
            one.parts = config::maxUpdateParts;
            update.kinds.push_back(one);
        }
        const std::size_t each = config::maxRelayedBytes / config::maxRelayedChanges - 1;
        update.kinds[0].changes.resize(config::maxRelayedChanges, std::string(each, 'a'));
        update.origin = UINT64_MAX;
        for (std::size_t i = 0; i < config::maxForwardGroup; ++i)
            update.forwardTo.push_back({"255.255.255.255", UINT16_MAX});
        const std::string bytes = valueOf(encode(update));
        CPPUNIT_ASSERT(valueOf(decodeStoreUpdate(bytes)) == update);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(bytes.size()),
                               frameHeaderBytes + bytes.size() <= config::maxDatagramBytes);
    }

    void eachRecipientIsInOneForwardGroup()
    {
        for (const int count : {65, 163, 1000}) {
            std::vector<endpoint> recipients;
            recipients.reserve(static_cast<std::size_t>(count));
            for (int i = 0; i < count; ++i)
                recipients.push_back({"10.0.0.1", static_cast<std::uint16_t>(i + 1)});
            std::set<endpoint> reached;
            const auto groups = forwardGroupsOf(recipients, 1);
            for (const forward_group &group : groups) {
                CPPUNIT_ASSERT(group.members.size() <= config::maxForwardGroup);
                reached.insert(group.forwarder);
                reached.insert(group.members.begin(), group.members.end());
            }
            CPPUNIT_ASSERT_EQUAL(recipients.size(), reached.size());
            CPPUNIT_ASSERT(groups.size() <= recipients.size() / config::maxForwardGroup + 1);
            CPPUNIT_ASSERT(forwardGroupsOf(recipients, 2) != groups);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_update_test);

} // namespace poplarspool::peer
