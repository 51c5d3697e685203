#include "adapter/scripted_store.h"
#include "platform/kind_watch.h"
#include "platform/limits.h"
#include "platform/names.h"

#include <atomic>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>

namespace poplarspool::adapter {

namespace {

using namespace std::chrono_literals;
using test::jsonReply;

/// Bounds of the runners with default settings.
constexpr staleness_bounds bounds{3s, 2s};
constexpr milliseconds suspendedTime = 5s;

/// A store whose first watch reply is read only after the process has been suspended.
class suspended_watch
{
public:
    suspended_watch()
        : server(
                "store", {"127.0.0.1", 0}, defaultHttpLimits(),
                [this](const http_request &request, http_sink &) { return answer(request); },
                metrics)
    { }

    ~suspended_watch() { server.stop(); }

    /// @returns By how much the time that the first watch's reply confirms is later than the time
    ///          at which the store sent it.
    std::chrono::nanoseconds confirmedAfterReply()
    {
        store_client client(valueOf(server.start()), metrics);
        kind_handlers handlers;
        handlers.onList = [](const std::vector<store_object> &, store_version) {};
        handlers.onChanges = [](const std::vector<store_change> &, revision_range) {};
        handlers.onConfirmation = [this](const store_confirmation &answer) {
            const std::lock_guard lock(guard);
            if (repliedAt != mono_time{} && confirmedAt == mono_time{})
                confirmedAt = answer.requestedAt;
            confirmed.notify_all();
        };
        handlers.onFailure = [](mono_time) {};
        handlers.onStoreRollback = [](mono_time) {};
        kind_watch watch("k", bounds, client, handlers, {}, clock, metrics, events);
        watch.start();
        std::unique_lock lock(guard);
        const bool isConfirmed =
                confirmed.wait_for(lock, 20s, [this] { return confirmedAt != mono_time{}; });
        lock.unlock();
        client.stop();
        watch.stop();
        CPPUNIT_ASSERT(isConfirmed);
        return confirmedAt - repliedAt;
    }

private:
    std::optional<http_reply> answer(const http_request &request)
    {
        if (request.path.find(wire::watchTimeMs) == std::string::npos)
            return jsonReply(R"({"items":[],"truncated":false,"currentRev":5})");
        const std::lock_guard lock(guard);
        if (repliedAt == mono_time{}) {
            repliedAt = clock.mono();
            suspended = suspendedTime.count();
        }
        return jsonReply(R"({"events":[],"currentRev":5})");
    }

    std::atomic<std::int64_t> suspended = 0; ///< In milliseconds.
    clock_source clock{[this] { return systemClock().mono() + milliseconds(suspended); },
                       systemClock().wall};
    metrics_registry metrics;
    journal events{{"test"}, clock, 16};
    std::mutex guard;
    std::condition_variable confirmed;
    mono_time repliedAt{}; ///< When the store sent the first watch's reply.
    mono_time confirmedAt{}; ///< What that reply has confirmed.
    http_server server;
};

} // namespace

class late_watch_reply_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_watch_reply_test);
    CPPUNIT_TEST(replyThatIsReadAfterASuspensionConfirmsNothingLater);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a process that was suspended and takes a reply from before for news: take-ups
    /// then go on at a version that isn't theirs, here and at all that it relays to.
    void replyThatIsReadAfterASuspensionConfirmsNothingLater()
    {
        CPPUNIT_ASSERT(suspended_watch().confirmedAfterReply() <= 0ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(late_watch_reply_test);

} // namespace poplarspool::adapter
