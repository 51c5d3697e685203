#include "bench/answer_check.h"

#include "standin/tokens.h"

namespace poplarspool::bench {

namespace {

/// Removes the first token from the text.
/// @returns The token with its trailing space.
std::string_view takeToken(std::string_view &text)
{
    const std::size_t space = text.find(' ');
    const std::size_t size = space == std::string_view::npos ? text.size() : space + 1;
    const std::string_view token = text.substr(0, size);
    text.remove_prefix(size);
    return token;
}

bool isTokenInRange(std::string_view prompt, std::string_view token, std::uint32_t first,
                    std::uint32_t end)
{
    for (std::uint32_t index = first; index < end; ++index) {
        if (standin::standinToken(prompt, index) == token)
            return true;
    }
    return false;
}

/// Classifies an unexpected token.
/// @param index Position at which it was found.
answer_state classifyMismatch(std::string_view prompt, std::string_view token, std::uint32_t index,
                              std::uint32_t tokenCount)
{
    if (isTokenInRange(prompt, token, 0, index))
        return answer_state::Doubled;
    return isTokenInRange(prompt, token, index, tokenCount) ? answer_state::Cut
                                                            : answer_state::Wrong;
}

} // namespace

answer_state checkAnswer(std::string_view prompt, std::uint32_t tokenCount, std::string_view text)
{
    std::uint32_t index = 0;
    while (!text.empty()) {
        const std::string_view token = takeToken(text);
        if (index >= tokenCount || standin::standinToken(prompt, index) != token)
            return classifyMismatch(prompt, token, index, tokenCount);
        ++index;
    }
    return index == tokenCount ? answer_state::Whole : answer_state::Cut;
}

} // namespace poplarspool::bench
