#include "node/watched_sync.h"
#include "poplarspool/base/hash.h"
#include "poplarspool/operators/config_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <mutex>

using namespace poplarspool;
using namespace poplarspool::node;

namespace {

const std::string deployment = "unit";

std::string inventoryText(const std::string &draining)
{
    return "deployment = \"unit\"\nzones = [\"z\"]\n"
           "[[pools]]\nid = \"desk\"\nkind = \"service\"\nservice = \"desk\"\n"
           "[[runners]]\nid = \"desk-1\"\npool = \"desk\"\nzone = \"z\"\n"
           "address = \"127.0.0.1:9999\"\ndraining = "
            + draining + "\n";
}

const std::string rulesText = "[[classes]]\nname = \"all\"\nrank = 0\n";

/// An in-memory store that can be down, and peers that can answer instead of it.
struct sync_fixture
{
    std::mutex guard;
    std::map<std::string, platform::object> objects;
    std::uint64_t version = 0;
    std::atomic<bool> isDown{false};
    std::vector<policy::member> peers;
    peer::watched_reply peerState;
    std::map<std::string, std::string> peerBodies;

    metrics_registry metrics;
    journal events{{"unit"}, systemClock(), 64};
    view_publisher views;
    platform::object_store store{
            api(), {1e6, 1e6, milliseconds(1), milliseconds(1)}, systemClock(), metrics, events};
    watched_sync sync{dependencies(), store, views, systemClock(), metrics, events};

    std::uint64_t put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(guard);
        objects[key] = {key, value, ++version};
        return version;
    }

    std::string accept(const std::string &inventory)
    {
        put(operators::bodyKey(deployment, sha256Hex(inventory)), inventory);
        put(operators::bodyKey(deployment, sha256Hex(rulesText)), rulesText);
        operators::config_head head;
        head.inventorySha = sha256Hex(inventory);
        head.rulesSha = sha256Hex(rulesText);
        head.nonce = randomHex128();
        std::string text = operators::textOf(head);
        put(operators::headKey(deployment), text);
        return text;
    }

    /// Makes a peer announce that it has applied that version, and return those objects.
    void offer(std::uint64_t applied, std::vector<peer::watched_object> changes)
    {
        policy::member other;
        other.id = {"other"};
        other.appliedVersion = applied;
        const std::lock_guard lock(guard);
        peers = {other};
        peerState = {applied, std::move(changes)};
    }

    platform::object_api api()
    {
        platform::object_api fake;
        fake.get = [this](const std::string &key) -> result<platform::object> {
            if (isDown)
                return notRun(error_code::Unavailable, "down");
            const std::lock_guard lock(guard);
            const auto found = objects.find(key);
            if (found == objects.end())
                return notRun(error_code::NotFound, key);
            return found->second;
        };
        fake.list = [this](const std::string &prefix) { return changedAfter(prefix, 0); };
        fake.watch = [this](const std::string &prefix, std::uint64_t after, milliseconds) {
            return changedAfter(prefix, after);
        };
        return fake;
    }

    result<platform::object_list> changedAfter(const std::string &prefix, std::uint64_t after)
    {
        if (isDown)
            return notRun(error_code::Unavailable, "down");
        const std::lock_guard lock(guard);
        platform::object_list list;
        for (const auto &[key, entry] : objects) {
            if (key.starts_with(prefix) && entry.version > after)
                list.objects.push_back(entry);
        }
        list.version = version;
        return list;
    }

    sync_dependencies dependencies()
    {
        sync_dependencies dependencies;
        dependencies.deployment = deployment;
        dependencies.peers = [this] {
            const std::lock_guard lock(guard);
            return peers;
        };
        dependencies.requestState = [this](const endpoint &, const peer::watched_request &) {
            const std::lock_guard lock(guard);
            return result<peer::watched_reply>(peerState);
        };
        dependencies.requestBody =
                [this](const endpoint &,
                       const peer::body_request &request) -> result<peer::body_reply> {
            const auto found = peerBodies.find(request.sha256);
            if (found == peerBodies.end())
                return notRun(error_code::NotFound, "no body");
            return peer::body_reply{found->second};
        };
        dependencies.isWatcher = [] { return true; };
        dependencies.onApplied = [](std::uint64_t, mono_time) {};
        return dependencies;
    }

    /// Waits until the sync has applied that version.
    void waitFor(std::uint64_t wanted)
    {
        const auto bound = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (sync.appliedVersion() < wanted) {
            CPPUNIT_ASSERT_MESSAGE("not applied", std::chrono::steady_clock::now() < bound);
            std::this_thread::yield();
        }
    }
};

} // namespace

class watched_sync_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(watched_sync_test);
    CPPUNIT_TEST(acceptedConfigurationIsApplied);
    CPPUNIT_TEST(startWhileStoreIsDownUsesPeers);
    CPPUNIT_TEST(olderConfigurationIsNotApplied);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptedConfigurationIsApplied()
    {
        sync_fixture fixture;
        fixture.accept(inventoryText("false"));
        fixture.sync.start();
        fixture.waitFor(fixture.version);
        const policy::view_ptr first = fixture.views.current();
        CPPUNIT_ASSERT(!first->fleet->runners[0].isDraining);
        fixture.accept(inventoryText("true"));
        fixture.waitFor(fixture.version);
        CPPUNIT_ASSERT(fixture.views.current()->fleet->runners[0].isDraining);
        CPPUNIT_ASSERT(fixture.views.current()->version > first->version);
        fixture.sync.stop();
    }

    // An instance that starts while the store is down serves its callers all the same: a peer sends
    // the watched objects and, by hash, the bodies that the accepted head refers to.
    void startWhileStoreIsDownUsesPeers()
    {
        sync_fixture fixture;
        const std::string inventory = inventoryText("true");
        const std::string head = fixture.accept(inventory);
        fixture.isDown = true;
        policy::member other;
        other.id = {"other"};
        other.appliedVersion = fixture.version;
        fixture.peers = {other};
        fixture.peerState = {fixture.version,
                             {{operators::headKey(deployment), head, fixture.version}}};
        fixture.peerBodies = {{sha256Hex(inventory), inventory}, {sha256Hex(rulesText), rulesText}};
        fixture.sync.start();
        fixture.waitFor(fixture.version);
        CPPUNIT_ASSERT(fixture.views.current()->fleet->runners[0].isDraining);
        fixture.sync.stop();
    }

    // Guards against an older configuration being applied again: after a drain, a lagging peer or a
    // reordered answer offers the head from before the drain. If it were applied, the draining
    // runner would get new work again, so objects only move to higher versions.
    void olderConfigurationIsNotApplied()
    {
        sync_fixture fixture;
        const std::string oldHead = fixture.accept(inventoryText("false"));
        const std::uint64_t oldVersion = fixture.version;
        fixture.accept(inventoryText("true"));
        const std::uint64_t newVersion = fixture.version;
        fixture.sync.start();
        fixture.waitFor(newVersion);
        fixture.offer(newVersion + 5, {{operators::headKey(deployment), oldHead, oldVersion}});
        fixture.waitFor(newVersion + 5);
        CPPUNIT_ASSERT(fixture.views.current()->fleet->runners[0].isDraining);
        CPPUNIT_ASSERT_EQUAL(newVersion, fixture.views.current()->configVersion);
        fixture.sync.stop();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(watched_sync_test);
