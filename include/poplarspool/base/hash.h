#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace poplarspool {

/// XXH3, 64 bits. For distributing keys; not cryptographically secure.
std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed = 0);

/// @returns A hash as 16 hex digits.
std::string digestText(std::uint64_t digest);

/// @returns The hash mapped to a number in [0, 1), with uniform distribution.
double toUnitInterval(std::uint64_t hash);

/// SHA-256 in lower-case hex. Identifies content and compares keys.
std::string sha256Hex(std::string_view bytes);

/// The first half of a SHA-256. Identifies a secret without storing it.
struct digest_128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    // clang-tidy mistakes the 0 in a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const digest_128 &) const = default;
};

/// @returns The first 128 bits of the SHA-256.
digest_128 digest128Of(std::string_view bytes);

/// Weight of `owner` for `key` in rendezvous hashing: a key belongs to the owner with the highest
/// weight.
std::uint64_t rendezvousWeight(std::string_view owner, std::string_view key);

/// @returns 128 random bits in hex, from the cryptographic random generator.
std::string randomHex128();

} // namespace poplarspool
