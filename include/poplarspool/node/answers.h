#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/peer/messages.h"

#include <memory>
#include <string>

namespace poplarspool::node {

/// Outcomes of this instance's claimed attempts, kept for a bounded time so that duplicate requests
/// can be answered.
class answer_table
{
public:
    explicit answer_table(clock_source clock);
    ~answer_table();

    void onRunning(const std::string &key, const std::string &nonce);
    /// The attempt ended without being dispatched, and will never be dispatched.
    void onNotDispatched(const std::string &key, const std::string &nonce);
    /// @param reply The complete answer. One larger than config::maxStoredAnswerBytes is recorded
    ///              as lost.
    void onDone(const std::string &key, const std::string &nonce, const http_reply &reply);
    /// The attempt may have run, and its complete answer is not available.
    void onLost(const std::string &key, const std::string &nonce);

    /// @returns The outcome of the attempt; Unknown if there is no record of it. Waits up to
    ///          `request.waitMs` while the attempt is running.
    peer::answer_reply find(const peer::answer_request &request);
    void evictOlderThan(milliseconds retentionTime);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::node
