#include "crashes/answer_watch.h"

#include "poplarspool/crashes/limits.h"

namespace poplarspool::crashes {

void answer_watch::add(watched_answer answer)
{
    const std::lock_guard lock(guard);
    answers.push_back(std::move(answer));
    if (answers.size() > config::maxWatchedAnswers)
        answers.pop_front();
}

settled_answers answer_watch::settle(mono_time now,
                                     const std::function<bool(const watched_answer &)> &hasEnded)
{
    settled_answers settled;
    const std::lock_guard lock(guard);
    std::erase_if(answers, [&](watched_answer &each) {
        const auto age = now - each.completedAt;
        if (age >= config::survivalTime) {
            if (!hasEnded(each))
                settled.survived.push_back(std::move(each));
            return true;
        }
        const bool hasCrashed = age < config::lateCrashTime && hasEnded(each);
        if (hasCrashed)
            settled.crashed.push_back(std::move(each));
        return hasCrashed;
    });
    return settled;
}

} // namespace poplarspool::crashes
