#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/peer/messages.h"

#include <memory>
#include <string>

namespace poplarspool::node {

/// What became of this instance's claimed attempts, for their duplicates, for a bounded time.
class answer_book
{
public:
    explicit answer_book(clock_source clock);
    ~answer_book();

    void onRunning(const std::string &key, const std::string &nonce);
    /// The attempt ended without dispatch, and never will be dispatched.
    void onNotDispatched(const std::string &key, const std::string &nonce);
    /// @param reply The whole answer; kept where it is at most config::maxKeptAnswerBytes.
    void onDone(const std::string &key, const std::string &nonce, const http_reply &reply);
    /// It may have run and there is no whole answer.
    void onLost(const std::string &key, const std::string &nonce);

    /// Waits while the attempt is running, at most `question.waitMs`.
    peer::answer_reply find(const peer::answer_ask &question);
    void forgetOlderThan(milliseconds keepTime);

private:
    struct state;
    std::unique_ptr<state> inner;
};

} // namespace poplarspool::node
