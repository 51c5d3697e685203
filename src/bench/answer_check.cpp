#include "bench/answer_check.h"

#include "standin/tokens.h"

namespace poplarspool::bench {

namespace {

/// @returns The next token with its blank, taken off the text.
std::string_view takeToken(std::string_view &text)
{
    const std::size_t blank = text.find(' ');
    const std::size_t size = blank == std::string_view::npos ? text.size() : blank + 1;
    const std::string_view token = text.substr(0, size);
    text.remove_prefix(size);
    return token;
}

bool standsIn(std::string_view prompt, std::string_view token, std::uint32_t from,
              std::uint32_t until)
{
    for (std::uint32_t index = from; index < until; ++index) {
        if (standin::standinToken(prompt, index) == token)
            return true;
    }
    return false;
}

/// @param index Where the token stands, although another one belongs there.
answer_state faultOf(std::string_view prompt, std::string_view token, std::uint32_t index,
                     std::uint32_t wanted)
{
    if (standsIn(prompt, token, 0, index))
        return answer_state::Doubled;
    return standsIn(prompt, token, index, wanted) ? answer_state::Cut : answer_state::Wrong;
}

} // namespace

answer_state checkAnswer(std::string_view prompt, std::uint32_t wanted, std::string_view text)
{
    std::uint32_t index = 0;
    while (!text.empty()) {
        const std::string_view token = takeToken(text);
        if (index >= wanted || standin::standinToken(prompt, index) != token)
            return faultOf(prompt, token, index, wanted);
        ++index;
    }
    return index == wanted ? answer_state::Whole : answer_state::Cut;
}

} // namespace poplarspool::bench
