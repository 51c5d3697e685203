#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarspool {

/// XXH3, 64 bits: for spreading, never for secrets.
std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed = 0);

/// @returns A hash as a number in [0, 1), as evenly spread.
double unitOf(std::uint64_t hash);

/// SHA-256 in lower-case hex: names content and compares keys.
std::string sha256Hex(std::string_view bytes);

/// Rendezvous weight of `owner` for `key`: the owner with the highest weight has the key.
std::uint64_t rendezvousWeight(std::string_view owner, std::string_view key);

/// @returns 128 random bits in hex from the system's generator.
std::string randomHex128();

} // namespace poplarspool
