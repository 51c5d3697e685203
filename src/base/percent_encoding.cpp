#include "poplarspool/base/percent_encoding.h"

namespace poplarspool {

namespace {

bool isUnreserved(char byte)
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z')
            || (byte >= '0' && byte <= '9') || byte == '-' || byte == '.' || byte == '_'
            || byte == '~' || byte == '/';
}

} // namespace

std::string percentEncoded(std::string_view text)
{
    static constexpr char digits[] = "0123456789ABCDEF";
    std::string out;
    out.reserve(text.size());
    for (const char byte : text) {
        if (isUnreserved(byte)) {
            out += byte;
            continue;
        }
        const auto value = static_cast<unsigned char>(byte);
        out += '%';
        out += digits[value >> 4U];
        out += digits[value & 0xFU];
    }
    return out;
}

} // namespace poplarspool
