#pragma once

#include "poplarspool/base/hash.h"

#include <cstdint>
#include <string>
#include <string_view>

/// Tokens of stand-in engines. Each is a pure function of prompt and index, so that a reader can
/// verify that an answer is complete, belongs to its prompt and repeats no token.
namespace poplarspool::standin {

/// Bytes of a prompt that count as one token.
inline constexpr std::uint32_t bytesPerToken = 4;

/// @returns Token `index` of the answer to `prompt`: "w", five hex digits and a space.
inline std::string standinToken(std::string_view prompt, std::uint32_t index)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int digitCount = 5;
    constexpr int bitsPerDigit = 4;
    std::uint64_t bits = hashOf(prompt, index);
    std::string token = "w";
    for (int i = 0; i < digitCount; ++i) {
        token.push_back(digits[bits & 0xf]);
        bits >>= bitsPerDigit;
    }
    token.push_back(' ');
    return token;
}

/// @returns The first `count` tokens of the answer, concatenated.
inline std::string standinAnswer(std::string_view prompt, std::uint32_t count)
{
    std::string answer;
    for (std::uint32_t i = 0; i < count; ++i)
        answer += standinToken(prompt, i);
    return answer;
}

/// @returns Number of tokens that a stand-in engine counts for a prompt.
inline std::uint32_t promptTokensOf(std::string_view prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + bytesPerToken - 1) / bytesPerToken);
}

} // namespace poplarspool::standin
