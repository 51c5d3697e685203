#pragma once

#include <cstdint>
#include <string_view>

namespace poplarspool::bench {

/// What an answer is worth to its caller.
enum class answer_state {
    Whole,
    Cut, ///< Tokens are missing, at the end or within.
    Doubled, ///< A token came again.
    Wrong, ///< Tokens of another prompt, or none of ours.
};

/// Compares an answer token by token with the one that stand-in engines give to that prompt.
/// @param wanted Tokens that the whole answer has.
answer_state checkAnswer(std::string_view prompt, std::uint32_t wanted, std::string_view text);

} // namespace poplarspool::bench
