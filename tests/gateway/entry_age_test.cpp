#include "poplarspool/gateway/entry_age.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>
#include <vector>

namespace poplarspool::gateway {

namespace {

struct age_case
{
    const char *what;
    known_entry known;
    std::uint64_t startedAtMs = 0;
    std::uint64_t writes = 0;
    bool isDraining = false;
    entry_age expected = entry_age::Newer;
};

constexpr auto newer = entry_age::Newer;
constexpr auto older = entry_age::Older;
constexpr auto undecided = entry_age::Undecided;
constexpr auto serving = entry_state::Serving;
constexpr auto draining = entry_state::Draining;
constexpr auto missing = entry_state::Missing;
constexpr auto expired = entry_state::Expired;
constexpr auto removed = entry_state::Removed;
constexpr auto unreadable = entry_state::Unreadable;

runner entryOf(const age_case &one)
{
    runner entry;
    entry.startedAtMs = one.startedAtMs;
    entry.writes = one.writes;
    entry.isDraining = one.isDraining;
    return entry;
}

void check(const std::vector<age_case> &cases, entry_source source)
{
    for (const age_case &one : cases)
        CPPUNIT_ASSERT_MESSAGE(one.what, one.expected == ageOf(entryOf(one), one.known, source));
}

} // namespace

class entry_age_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_age_test);
    CPPUNIT_TEST(writesOfOneIncarnationAreOrdered);
    CPPUNIT_TEST(incarnationsAreOrdered);
    CPPUNIT_TEST(entriesOfGoneRunnersWait);
    CPPUNIT_TEST(snapshotNeverTakesALeavingBack);
    CPPUNIT_TEST(countsOutlastEntriesOfOtherWriters);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against late writes that undo draining, an address, a version or a stage.
    void writesOfOneIncarnationAreOrdered()
    {
        check({{"late write", {5, 9, serving}, 5, 8, false, older},
               {"late write, born not reported", {0, 9, draining}, 0, 8, false, older},
               {"late write after draining", {5, 9, draining}, 5, 8, false, older},
               {"late draining", {5, 9, serving}, 5, 8, true, older},
               {"same write again", {5, 9, serving}, 5, 9, false, newer},
               {"same number, draining taken back", {5, 9, draining}, 5, 9, false, older},
               {"same number, still draining", {5, 9, draining}, 5, 9, true, newer},
               {"next write", {5, 9, draining}, 5, 10, true, newer},
               {"own word taken back", {5, 9, draining}, 5, 10, false, newer},
               {"another writer", {5, 9, draining}, 5, 0, false, newer},
               {"another writer without born", {5, 9, draining}, 0, 0, false, newer},
               {"nothing counted before", {5, 0, draining}, 5, 3, false, newer}},
              entry_source::Store);
    }

    /// Guards against a write of an ended incarnation that replaces the new one's entry.
    void incarnationsAreOrdered()
    {
        check({{"restarted", {5, 9, serving}, 6, 1, false, newer},
               {"restarted after draining", {5, 9, draining}, 6, 1, false, newer},
               {"restarted after its removal", {5, 9, removed}, 6, 1, false, newer},
               {"restarted while missing", {5, 9, missing}, 6, 1, false, newer},
               {"born reported for the first time", {0, 9, draining}, 6, 1, false, newer},
               {"late write of the incarnation before", {6, 1, serving}, 5, 9, false, older},
               {"the same after a removal", {6, 1, removed}, 5, 9, false, older},
               {"the same without a number", {6, 1, serving}, 5, 0, false, older},
               {"born not reported, numbers begin anew", {0, 9, serving}, 0, 1, false, older}},
              entry_source::Store);
    }

    /// Guards against late writes that bring a gone runner back, and against runners that are alive
    /// and stay unused after an outage of the store.
    void entriesOfGoneRunnersWait()
    {
        check({{"late write after the removal", {5, 9, removed}, 5, 8, false, older},
               {"last write after the removal", {5, 9, removed}, 5, 9, false, older},
               {"later write after the removal", {5, 9, removed}, 5, 10, false, undecided},
               {"nothing counted", {5, 0, removed}, 5, 0, false, newer},
               {"late write while unreadable", {5, 9, unreadable}, 5, 8, false, older},
               {"readable again", {5, 9, unreadable}, 5, 9, false, newer},
               {"late write while missing", {5, 9, missing}, 5, 8, false, older},
               {"back while missing", {5, 9, missing}, 5, 9, false, newer},
               {"later write while missing", {5, 9, missing}, 5, 10, false, newer},
               {"late write once expired", {5, 9, expired}, 5, 8, false, older},
               {"last write once expired", {5, 9, expired}, 5, 9, false, undecided},
               {"later write once expired", {5, 9, expired}, 5, 10, false, newer}},
              entry_source::Store);
    }

    /// Guards against a restored snapshot that undoes draining. There a lower number is legitimate.
    void snapshotNeverTakesALeavingBack()
    {
        check({{"older state", {5, 9, serving}, 5, 8, false, older},
               {"newer state", {5, 9, serving}, 5, 10, false, newer},
               {"draining in the snapshot", {5, 9, serving}, 5, 8, true, newer},
               {"draining since", {5, 9, draining}, 5, 10, false, older},
               {"missing since", {5, 9, missing}, 5, 10, false, older},
               {"removed since", {5, 9, removed}, 5, 10, false, older},
               {"expired since", {5, 9, expired}, 5, 10, true, older},
               {"ended incarnation", {6, 1, serving}, 5, 9, true, older},
               {"new incarnation", {5, 9, removed}, 6, 1, false, newer}},
              entry_source::Snapshot);
    }

    /// Guards against an entry without counts, of another writer, behind which any late write would
    /// look newer.
    void countsOutlastEntriesOfOtherWriters()
    {
        const known_entry known{5, 9, draining};
        const runner other = withKnownCounts(entryOf({"", known, 0, 0}), known);
        CPPUNIT_ASSERT(known == (known_entry{other.startedAtMs, other.writes, draining}));
        const runner restarted = withKnownCounts(entryOf({"", known, 6, 0}), known);
        CPPUNIT_ASSERT(restarted.startedAtMs == 6 && restarted.writes == 0);
        const runner next = withKnownCounts(entryOf({"", known, 0, 10}), known);
        CPPUNIT_ASSERT(next.startedAtMs == 5 && next.writes == 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_age_test);

} // namespace poplarspool::gateway
