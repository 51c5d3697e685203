#include "soak/answer_spec.h"

#include <sstream>

namespace poplarspool::soak {

std::string_view nameOf(framing one)
{
    switch (one) {
    case framing::Close:
        return "close";
    case framing::Chunks:
        return "chunks";
    case framing::Length:
        break;
    }
    return "length";
}

std::string bodyOf(const answer_spec &spec)
{
    return spec.key + " " + std::to_string(spec.pieces) + " " + std::to_string(spec.gapMs) + " "
            + std::string(nameOf(spec.framedBy)) + (spec.isStream ? " stream" : " plain");
}

std::optional<answer_spec> parseSpec(const std::string &body)
{
    std::istringstream words(body);
    answer_spec spec;
    std::string framed;
    std::string type;
    if (!(words >> spec.key >> spec.pieces >> spec.gapMs >> framed >> type))
        return std::nullopt;
    for (const framing one : allFramings) {
        if (nameOf(one) == framed)
            spec.framedBy = one;
    }
    spec.isStream = type == "stream";
    return spec;
}

std::string pieceOf(const answer_spec &spec, std::uint32_t number)
{
    const std::string text = spec.key + "-" + std::to_string(number);
    return spec.isStream ? "id: " + std::to_string(number) + "\ndata: " + text + "\n\n"
                         : text + "\n";
}

std::string textOf(const answer_spec &spec)
{
    std::string text;
    for (std::uint32_t number = 1; number <= spec.pieces; ++number)
        text += pieceOf(spec, number);
    return text;
}

} // namespace poplarspool::soak
