#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarspool::soak {

/// How a runner shows where its answer ends.
enum class framing { Close, Chunks, Length };
inline constexpr framing allFramings[] = {framing::Close, framing::Chunks, framing::Length};

std::string_view nameOf(framing one);

/// The answer that a request asks its runner for. The request's body says it, so that every run of
/// the request has the same answer and its caller knows it.
struct answer_spec
{
    std::string key; ///< Without spaces; in each piece of the answer.
    std::uint32_t pieces = 1;
    std::uint32_t gapMs = 0; ///< Time before each piece.
    framing framedBy = framing::Chunks;
    bool isStream = true; ///< Each piece is an event.
};

std::string bodyOf(const answer_spec &spec);
/// @returns None if the body is none of bodyOf().
std::optional<answer_spec> parseSpec(const std::string &body);

/// @param number From 1.
std::string pieceOf(const answer_spec &spec, std::uint32_t number);
std::string textOf(const answer_spec &spec);

} // namespace poplarspool::soak
