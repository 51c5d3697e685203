#include "poplarspool/node/answers.h"

#include "poplarspool/base/limits.h"
#include "poplarspool/node/limits.h"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <list>
#include <mutex>
#include <unordered_map>

namespace poplarspool::node {

namespace {

using peer::answer_state;

/// Memory of one entry besides its strings: nodes of the list and the index.
constexpr std::size_t entryOverheadBytes = 256;

struct entry
{
    std::string name; ///< Key and nonce, see nameOf().
    peer::answer_reply answer;
    mono_time changedAt{};
    std::size_t bytes = 0;
};

std::string nameOf(const std::string &key, const std::string &nonce)
{
    return key + '/' + nonce;
}

std::size_t bytesOf(const http_headers &headers)
{
    std::size_t bytes = 0;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size();
    return bytes;
}

std::size_t bytesOf(const peer::answer_reply &answer)
{
    return answer.body.size() + answer.contentType.size() + bytesOf(answer.headers);
}

peer::answer_reply answerOf(const http_reply &reply)
{
    return {answer_state::Done, reply.status, reply.headers, reply.contentType, reply.body};
}

/// Allowed state transitions. The outcome of an ended attempt is final, except that it may turn out
/// to have run after all.
bool mayFollow(answer_state now, answer_state next)
{
    switch (now) {
    case answer_state::Done:
        return next == answer_state::Lost;
    case answer_state::Lost:
        return false;
    case answer_state::NotDispatched:
        return next == answer_state::Done || next == answer_state::Lost;
    case answer_state::Running:
        return next != answer_state::Running;
    case answer_state::Unknown:
        break;
    }
    return true;
}

} // namespace

struct answer_table::state
{
    using entries = std::list<entry>;

    explicit state(clock_source clock) : clock(std::move(clock)) { }

    entries &listOf(answer_state which) { return byState[static_cast<std::size_t>(which)]; }
    void record(const std::string &key, const std::string &nonce, peer::answer_reply answer);
    entries::iterator add(const std::string &name);
    void set(entries::iterator at, peer::answer_reply answer);
    void drop(entries::iterator at);
    void evictOverLimit();

    clock_source clock;
    std::mutex lock;
    std::condition_variable changed;
    /// One list per answer_state; entries unchanged for longest come first.
    std::array<entries, 5> byState;
    std::unordered_map<std::string, entries::iterator> byName;
    std::size_t bytes = 0;
};

answer_table::state::entries::iterator answer_table::state::add(const std::string &name)
{
    entries &unknown = listOf(answer_state::Unknown);
    unknown.push_back({name, {}, {}, 0});
    return byName.emplace(name, std::prev(unknown.end())).first->second;
}

void answer_table::state::set(entries::iterator at, peer::answer_reply answer)
{
    entries &from = listOf(at->answer.state);
    entries &to = listOf(answer.state);
    to.splice(to.end(), from, at);
    bytes -= at->bytes;
    at->answer = std::move(answer);
    at->bytes = entryOverheadBytes + 2 * at->name.size() + bytesOf(at->answer);
    bytes += at->bytes;
}

void answer_table::state::drop(entries::iterator at)
{
    bytes -= at->bytes;
    byName.erase(at->name);
    listOf(at->answer.state).erase(at);
}

void answer_table::state::record(const std::string &key, const std::string &nonce,
                                 peer::answer_reply answer)
{
    const std::lock_guard guard(lock);
    const std::string name = nameOf(key, nonce);
    const auto found = byName.find(name);
    const entries::iterator at = found == byName.end() ? add(name) : found->second;
    if (!mayFollow(at->answer.state, answer.state))
        return;
    at->changedAt = clock.mono();
    set(at, std::move(answer));
    evictOverLimit();
    changed.notify_all();
}

/// Evicts entries until the table is within its memory limit, which many large answers would
/// otherwise exceed. Evicts in the order of the least harm: first answers (their duplicates then
/// get "may have run", which is true), then the record that an attempt was lost (an unknown attempt
/// is reported in the same way), and last the record that an attempt was never dispatched, because
/// that record frees the key. Running attempts are never evicted.
void answer_table::state::evictOverLimit()
{
    entries &done = listOf(answer_state::Done);
    entries &lost = listOf(answer_state::Lost);
    entries &notDispatched = listOf(answer_state::NotDispatched);
    while (bytes > config::maxAnswerTableBytes) {
        if (!done.empty())
            set(done.begin(), {answer_state::Lost, 0, {}, {}, {}});
        else if (!lost.empty())
            drop(lost.begin());
        else if (!notDispatched.empty())
            drop(notDispatched.begin());
        else
            return;
    }
}

answer_table::answer_table(clock_source clock)
    : inner(std::make_unique<state>(std::move(clock))) { }

answer_table::~answer_table() = default;

void answer_table::onRunning(const std::string &key, const std::string &nonce)
{
    inner->record(key, nonce, {answer_state::Running, 0, {}, {}, {}});
}

void answer_table::onNotDispatched(const std::string &key, const std::string &nonce)
{
    inner->record(key, nonce, {answer_state::NotDispatched, 0, {}, {}, {}});
}

void answer_table::onDone(const std::string &key, const std::string &nonce, const http_reply &reply)
{
    peer::answer_reply answer = answerOf(reply);
    if (bytesOf(answer) > config::maxStoredAnswerBytes)
        return onLost(key, nonce);
    inner->record(key, nonce, std::move(answer));
}

void answer_table::onLost(const std::string &key, const std::string &nonce)
{
    inner->record(key, nonce, {answer_state::Lost, 0, {}, {}, {}});
}

peer::answer_reply answer_table::find(const peer::answer_request &request)
{
    const std::string name = nameOf(request.key, request.nonce);
    peer::answer_reply seen;
    std::unique_lock guard(inner->lock);
    const milliseconds wait = std::min(milliseconds(request.waitMs), config::maxTimeLimit);
    inner->changed.wait_for(guard, wait, [&] {
        const auto found = inner->byName.find(name);
        seen = found == inner->byName.end() ? peer::answer_reply() : found->second->answer;
        return seen.state != answer_state::Running;
    });
    return seen;
}

void answer_table::evictOlderThan(milliseconds retentionTime)
{
    const std::lock_guard guard(inner->lock);
    const mono_time now = inner->clock.mono();
    for (auto &entries : inner->byState) {
        while (!entries.empty() && now - entries.front().changedAt > retentionTime)
            inner->drop(entries.begin());
    }
    inner->changed.notify_all();
}

} // namespace poplarspool::node
