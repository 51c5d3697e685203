#pragma once

#include <cstdint>
#include <string_view>

namespace poplarspool::bench {

/// Result of comparing an answer with the expected one.
enum class answer_state {
    Whole,
    Cut, ///< Tokens are missing, at the end or in the middle.
    Doubled, ///< A token was repeated.
    Wrong, ///< Contains tokens that do not belong to the answer, such as those of another prompt.
};

/// Compares an answer token by token with the one that stand-in engines generate for the prompt.
/// @param tokenCount Number of tokens in the complete answer.
answer_state checkAnswer(std::string_view prompt, std::uint32_t tokenCount, std::string_view text);

} // namespace poplarspool::bench
