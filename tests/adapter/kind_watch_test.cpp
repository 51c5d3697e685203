#include "adapter/follower_fixture.h"
#include "adapter/scripted_store.h"
#include "platform/kind_watch.h"
#include "platform/limits.h"
#include "platform/names.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <limits>
#include <mutex>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;

using test::jsonReply;
using test::scripted_store;

/// Bounds with a watch time of 10 s, longer than any of these tests.
constexpr staleness_bounds longBounds{1min, 1min};

/// A watch of one kind, with a record of its handler calls.
struct watch_fixture
{
    explicit watch_fixture(std::deque<http_reply> script)
        : store(std::move(script)), client(store.address, store.metrics)
    { }

    /// Runs until the given number of confirmations by the store.
    void runUntilConfirmed(std::size_t times)
    {
        kind_handlers handlers;
        handlers.onList = [this](const std::vector<store_object> &objects, store_version) {
            const std::lock_guard lock(guard);
            listSizes.push_back(objects.size());
            throwIfRemaining(throwingLists);
        };
        handlers.onChanges = [this](const std::vector<store_change> &, revision_range) {
            throwIfRemaining(throwingChanges);
        };
        handlers.onConfirmation = [this](const store_confirmation &answer) {
            const std::lock_guard lock(guard);
            revisions.push_back(answer.version.revision);
            confirmed.notify_all();
        };
        handlers.onFailure = [](mono_time) {};
        handlers.onStoreRollback = [](mono_time) {};
        kind_watch watch("k", longBounds, client, handlers, {}, systemClock(), store.metrics,
                         events);
        watch.start();
        {
            std::unique_lock lock(guard);
            CPPUNIT_ASSERT(
                    confirmed.wait_for(lock, 20s, [&] { return revisions.size() == times; }));
        }
        client.stop();
        watch.stop();
    }

    static void throwIfRemaining(int &remaining)
    {
        if (remaining-- > 0)
            throw std::length_error("too many");
    }

    int throwingLists = 0; ///< Number of first calls of onList that throw.
    int throwingChanges = 0; ///< Number of first calls of onChanges that throw.
    scripted_store store;
    store_client client;
    journal events{{"test"}, systemClock(), 16};
    std::mutex guard;
    std::condition_variable confirmed;
    std::vector<std::size_t> listSizes;
    std::vector<std::uint64_t> revisions;
};

kind_handlers countingHandlers(std::atomic<int> &failures)
{
    kind_handlers handlers;
    handlers.onList = [](const std::vector<store_object> &, store_version) {};
    handlers.onChanges = [](const std::vector<store_change> &, revision_range) {};
    handlers.onConfirmation = [](const store_confirmation &) {};
    handlers.onFailure = [&failures](mono_time) { ++failures; };
    handlers.onStoreRollback = [](mono_time) {};
    return handlers;
}

/// @returns The number of pages requested until the list is rejected as malformed.
std::size_t pagesUntilBroken(const std::deque<http_reply> &pages)
{
    scripted_store store(pages);
    store_client client(store.address, store.metrics);
    CPPUNIT_ASSERT(errorOf(client.list("k", read_mode::Current)).code == error_code::Broken);
    return store.requests.size();
}

std::vector<std::string> keysOf(const event &entry)
{
    std::vector<std::string> keys;
    for (const event_field &one : entry.fields)
        keys.push_back(one.key);
    return keys;
}

} // namespace

class kind_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(kind_watch_test);
    CPPUNIT_TEST(listsContinueAfterTheLastName);
    CPPUNIT_TEST(namesAreEncodedInQueries);
    CPPUNIT_TEST(endlessListsAreBroken);
    CPPUNIT_TEST(unreadableObjectsDoNotHideOthers);
    CPPUNIT_TEST(compactedHistoryIsListedAgain);
    CPPUNIT_TEST(failureIsFollowedByAShortWatch);
    CPPUNIT_TEST(lossAndRecoveryOfTheStoreAreLogged);
    CPPUNIT_TEST(listIsRepeatedAfterAHandlerException);
    CPPUNIT_TEST(changesAreListedAgainAfterAHandlerException);
    CPPUNIT_TEST(unansweredWatchMeetsTheStalenessBounds);
    CPPUNIT_TEST(relayStoreLossIsRecordedWithoutCallbacks);
    CPPUNIT_TEST(epochContradictedByALaterReplyIsDiscarded);
    CPPUNIT_TEST(objectsAreReplacedOrCreated);
    CPPUNIT_TEST(unchangedObjectIsNotWritten);
    CPPUNIT_TEST(conditionalWritesHaveTheirRevision);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An object changes between the two pages of a list. A watch from the second page's revision
    /// would miss that change.
    void listsContinueAfterTheLastName()
    {
        scripted_store store({jsonReply(R"({"items":[{"metadata":{"name":"a"},"spec":1}],
                                            "truncated":true,"currentRev":5})"),
                              jsonReply(R"({"items":[{"metadata":{"name":"b"},"spec":2}],
                                            "truncated":false,"currentRev":9})")});
        store_client client(store.address, store.metrics);
        const auto listed = valueOf(client.list("k", read_mode::Current));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, listed.version.revision);
        CPPUNIT_ASSERT(store.requests[1].ends_with("k?after=a"));
    }

    /// Guards against a repeated page: with reserved characters of a name in the query, the store
    /// returned the same page again.
    void namesAreEncodedInQueries()
    {
        scripted_store store({jsonReply(R"({"items":[{"metadata":{"name":"a&b#c%d+e f"}}],
                                            "truncated":true,"currentRev":5})"),
                              jsonReply(R"({"items":[],"currentRev":5})")});
        store_client client(store.address, store.metrics);
        CPPUNIT_ASSERT(succeeded(client.list("k", read_mode::Stale)));
        CPPUNIT_ASSERT_EQUAL(std::string("GET ") + wire::objectsPath
                                     + "k?allowStale=1&after=a%26b%23c%25d%2Be%20f",
                             store.requests[1]);
    }

    /// Each page says that more follow, but has no name to continue after, or there is always
    /// another page.
    void endlessListsAreBroken()
    {
        const auto nameless = jsonReply(R"({"items":[{}],"truncated":true,"currentRev":5})");
        const auto same = jsonReply(R"({"items":[{"metadata":{"name":"a"}}],
                                        "truncated":true,"currentRev":5})");
        const auto other = jsonReply(R"({"items":[{"metadata":{"name":"b"}}],
                                         "truncated":true,"currentRev":5})");
        std::deque<http_reply> alternating;
        for (std::size_t i = 0; i <= config::maxStoreListPages; ++i)
            alternating.push_back(i % 2 == 0 ? same : other);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pagesUntilBroken({nameless, nameless}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pagesUntilBroken({same, same, same}));
        CPPUNIT_ASSERT_EQUAL(config::maxStoreListPages, pagesUntilBroken(alternating));
    }

    /// Another writer puts objects into the list that have invalid UTF-8 or lack required keys.
    /// Rejecting the whole list would leave callers without any runner.
    void unreadableObjectsDoNotHideOthers()
    {
        const std::string page =
                "{\"items\":[{\"metadata\":{\"name\":\"a\"},\"spec\":1},"
                "{\"metadata\":{\"name\":\"\xff\x01\"},\"spec\":\"\xc3\x28\"},"
                "{\"metadata\":7},4,{\"metadata\":{\"name\":3,\"revision\":\"x\"}},"
                "{\"metadata\":{\"name\":\"b\"},\"spec\":2}],\"currentRev\":5}";
        const std::string watchReply =
                "{\"events\":[{\"object\":\"\xfe\"},{\"object\":{\"metadata\":"
                "{\"name\":\"c\"}}}],\"currentRev\":6}";
        scripted_store store({jsonReply(page), jsonReply(watchReply)});
        store_client client(store.address, store.metrics);
        const auto listed = valueOf(client.list("k", read_mode::Current));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, listed.objects.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), listed.objects.front().name);
        CPPUNIT_ASSERT_EQUAL(std::string("b"), listed.objects.back().name);
        const auto watched = valueOf(client.watch("k", 5, 10ms));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), watched.changes.back().object.name);
    }

    /// The store compacts its history while a runner leaves, and the watch gets 410. Only a new
    /// list shows that the runner is gone; it is requested at once.
    void compactedHistoryIsListedAgain()
    {
        watch_fixture fixture({jsonReply(R"({"items":[{"metadata":{"name":"a"}}],"currentRev":5})"),
                               jsonReply("{}", 410), jsonReply(R"({"items":[],"currentRev":8})")});
        fixture.runUntilConfirmed(2);
        CPPUNIT_ASSERT(fixture.listSizes == (std::vector<std::size_t>{1, 0}));
        const std::lock_guard lock(fixture.store.guard);
        CPPUNIT_ASSERT(fixture.store.requests[1].find("watch=5") != std::string::npos);
    }

    /// A watch fails because its instance was suspended. If the next watch were long, only its end
    /// would show that the store answers, and the instance would take the time until then for an
    /// outage of the store.
    void failureIsFollowedByAShortWatch()
    {
        watch_fixture fixture({jsonReply(R"({"items":[],"currentRev":5})"), jsonReply("{}", 503),
                               jsonReply(R"({"events":[],"currentRev":5})")});
        fixture.runUntilConfirmed(2);
        const std::lock_guard lock(fixture.store.guard);
        CPPUNIT_ASSERT(fixture.store.requests[1].ends_with("waitMs=10000"));
        CPPUNIT_ASSERT(fixture.store.requests[2].ends_with("waitMs=50"));
    }

    /// Guards against a log that does not show the age of a list. A request was sent to a runner
    /// that had left the list long before; the log had the time at which a call failed, but
    /// neither how long the call had been open nor when the store answered again.
    void lossAndRecoveryOfTheStoreAreLogged()
    {
        watch_fixture fixture({jsonReply(R"({"items":[],"currentRev":5})"), jsonReply("{}", 503),
                               jsonReply(R"({"events":[],"currentRev":9})")});
        fixture.runUntilConfirmed(2);
        CPPUNIT_ASSERT(fixture.revisions == (std::vector<std::uint64_t>{5, 9}));
        const auto lost = fixture.events.events({"store_lost", {}, {}});
        const auto regained = fixture.events.events({"store_regained", {}, {}});
        CPPUNIT_ASSERT(!lost.empty() && regained.size() == 1);
        const std::vector<std::string> lostKeys{"kind",     "code",         "reason",
                                                "revision", "asked_ms_ago", "unanswered_ms"};
        CPPUNIT_ASSERT(keysOf(lost.front()) == lostKeys);
        const std::vector<std::string> regainedKeys{"kind", "epoch", "revision", "failures",
                                                    "unanswered_ms"};
        CPPUNIT_ASSERT(keysOf(regained.front()) == regainedKeys);
        CPPUNIT_ASSERT_EQUAL(std::string("9"), regained.front().fields[2].value);
    }

    /// The handler of a list throws. If the list counted as known, its objects would be missing
    /// until they change again.
    void listIsRepeatedAfterAHandlerException()
    {
        watch_fixture fixture(
                {jsonReply(R"({"items":[{"metadata":{"name":"a"}}],"currentRev":5})"),
                 jsonReply(R"({"items":[{"metadata":{"name":"a"}}],"currentRev":5})")});
        fixture.throwingLists = 1;
        fixture.runUntilConfirmed(1);
        CPPUNIT_ASSERT(fixture.listSizes == (std::vector<std::size_t>{1, 1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.events.events({"step_failed", {}, {}}).size());
    }

    /// The handler of changes throws, possibly after it has applied a part of them. If the watch
    /// were repeated from the same revision, that part would look unchanged, so the kind is listed
    /// again.
    void changesAreListedAgainAfterAHandlerException()
    {
        watch_fixture fixture({jsonReply(R"({"items":[],"currentRev":5})"),
                               jsonReply(R"({"events":[],"currentRev":7})"),
                               jsonReply(R"({"items":[],"currentRev":8})"),
                               jsonReply(R"({"events":[],"currentRev":9})")});
        fixture.throwingChanges = 1;
        fixture.runUntilConfirmed(3);
        CPPUNIT_ASSERT(fixture.revisions == (std::vector<std::uint64_t>{5, 8, 9}));
        CPPUNIT_ASSERT(fixture.listSizes == (std::vector<std::size_t>{0, 0}));
        const auto failed = fixture.events.events({"step_failed", {}, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, failed.size());
        CPPUNIT_ASSERT_EQUAL(std::string("store_watch_k"), failed.front().fields.front().value);
    }

    /// An instance loses the store for a moment. The store accepts its watch just before the
    /// recovery and never answers it, and a runner leaves at the same time. Callers must not be
    /// sent to that runner later than `afterRecovery` after the recovery, nor later than
    /// `afterChange` after it left: the two times do not add up.
    void unansweredWatchMeetsTheStalenessBounds()
    {
        for (const staleness_bounds &bounds :
             {staleness_bounds{3s, 2s}, staleness_bounds{4s, 3s}, staleness_bounds{5s, 4s},
              staleness_bounds{2s, 3s}}) {
            const milliseconds detectedAfter =
                    watchTimeFor(bounds) + config::storeReadTimeout + config::watchLossLag;
            const milliseconds maxDelay = std::max(bounds.afterRecovery, bounds.afterChange);
            CPPUNIT_ASSERT_MESSAGE("detected after " + std::to_string(detectedAfter.count())
                                           + " ms",
                                   detectedAfter == maxDelay);
        }
        CPPUNIT_ASSERT(watchTimeFor({5s, 4s}) > watchTimeFor({3s, 2s}));
        CPPUNIT_ASSERT(watchTimeFor({500ms, 500ms}) == config::minGatewayWatchTime);
        CPPUNIT_ASSERT(watchTimeFor({1min, 1min}) == config::maxGatewayWatchTime);
    }

    /// An instance that follows a kind itself is informed that another one has lost the store.
    void relayStoreLossIsRecordedWithoutCallbacks()
    {
        watch_fixture fixture({jsonReply(R"({"items":[],"currentRev":5})")});
        std::atomic<int> failures{0};
        kind_watch watch("k", longBounds, fixture.client, countingHandlers(failures), {},
                         systemClock(), fixture.store.metrics, fixture.events);
        watch.start();
        CPPUNIT_ASSERT(test::waitUntil([&] { return watch.state().isListed; }));
        watch.applyRelayed({5, {0, 6}}, 1, systemClock().mono(), [] { return true; });
        const int before = failures;
        watch.recordRelayStoreLoss();
        CPPUNIT_ASSERT(failures > before);
        fixture.client.stop();
        watch.stop();
    }

    void epochContradictedByALaterReplyIsDiscarded()
    {
        const auto listOf = [](const std::string &epoch) {
            http_reply list = jsonReply(R"({"items":[],"currentRev":5})");
            list.headers.emplace_back(wire::storeEpoch, epoch);
            return list;
        };
        scripted_store store({listOf("5"), listOf("900000"), listOf("5"), jsonReply("{}", 503),
                              listOf("5"), listOf("18446744073709551615"), listOf("7")});
        store_client client(store.address, store.metrics);
        std::vector<std::uint64_t> epochs;
        for (const read_mode mode :
             {read_mode::Current, read_mode::Current, read_mode::Stale, read_mode::Current,
              read_mode::Current, read_mode::Stale, read_mode::Current}) {
            static_cast<void>(client.list("k", mode));
            epochs.push_back(client.epoch());
        }
        constexpr auto highest = std::numeric_limits<std::uint64_t>::max();
        CPPUNIT_ASSERT(
                epochs
                == (std::vector<std::uint64_t>{5, 900'000, 900'000, 900'000, 5, highest, 7}));
    }

    void objectsAreReplacedOrCreated()
    {
        scripted_store store({jsonReply("{}", 409), jsonReply("{}")});
        store_client client(store.address, store.metrics);
        CPPUNIT_ASSERT(succeeded(client.put("k", "n", {{"x", 1}})));
        CPPUNIT_ASSERT(store.requests[0].starts_with("POST ") && store.requests[0].ends_with("/k"));
        CPPUNIT_ASSERT(store.requests[1].starts_with("PUT ")
                       && store.requests[1].ends_with("/k/n"));
        CPPUNIT_ASSERT(errorOf(client.list("k", read_mode::Stale)).code == error_code::Unavailable);
    }

    /// An instance restarts at its previous address. Writing its object again would complete all
    /// watches of that kind, and each call is billed.
    void unchangedObjectIsNotWritten()
    {
        scripted_store store({jsonReply(R"({"metadata":{"name":"n"},"spec":{"x":1}})", 409),
                              jsonReply(R"({"metadata":{"name":"n"},"spec":{"x":2}})", 409),
                              jsonReply("{}")});
        store_client client(store.address, store.metrics);
        CPPUNIT_ASSERT(succeeded(client.put("k", "n", {{"x", 1}})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.requests.size());
        CPPUNIT_ASSERT(succeeded(client.put("k", "n", {{"x", 1}})));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, store.requests.size());
    }

    /// Two instances compete for a lease. Without a revision, the second write would replace the
    /// first one, and both instances would believe that they hold the lease.
    void conditionalWritesHaveTheirRevision()
    {
        scripted_store store({jsonReply(R"({"metadata":{"name":"n","revision":5},"spec":1})"),
                              jsonReply("{}"), jsonReply("{}", 409), jsonReply("{}")});
        store_client client(store.address, store.metrics);
        const store_object found = valueOf(client.get("k", "n"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, found.version.revision);
        CPPUNIT_ASSERT(succeeded(client.replace("k", found)));
        CPPUNIT_ASSERT(errorOf(client.replace("k", found)).code == error_code::Conflict);
        CPPUNIT_ASSERT(succeeded(client.replace("k", {"n", 1, {}})));
        const std::lock_guard lock(store.guard);
        CPPUNIT_ASSERT(store.requests[1].starts_with("PUT ")
                       && store.requests[1].ends_with("/k/n"));
        CPPUNIT_ASSERT(store.bodies[1].find("\"revision\":5") != std::string::npos);
        CPPUNIT_ASSERT(store.requests[3].starts_with("POST ") && store.requests[3].ends_with("/k"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(kind_watch_test);

} // namespace poplarspool::adapter
