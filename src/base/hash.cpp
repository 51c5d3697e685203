#include "poplarspool/base/hash.h"

#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>
#include <cstring>
#include <span>
#include <stdexcept>

namespace poplarspool {

namespace {

std::string hexOf(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

using sha256_bytes = std::array<unsigned char, 32>;

sha256_bytes sha256Of(std::string_view bytes)
{
    // Fetched once: EVP_Digest() with EVP_sha256() looks the algorithm up on each call.
    static const EVP_MD *const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    sha256_bytes digest{};
    unsigned int size = 0;
    if (algorithm == nullptr
        || EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, algorithm, nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    return digest;
}

} // namespace

std::uint64_t hashOf(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string digestText(std::uint64_t digest)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, digest);
    return text.data();
}

double toUnitInterval(std::uint64_t hash)
{
    constexpr unsigned mantissaBits = 53;
    return static_cast<double>(hash >> (64 - mantissaBits))
            / static_cast<double>(1ULL << mantissaBits);
}

std::string sha256Hex(std::string_view bytes)
{
    return hexOf(sha256Of(bytes));
}

digest_128 digest128Of(std::string_view bytes)
{
    const sha256_bytes whole = sha256Of(bytes);
    digest_128 digest;
    std::memcpy(&digest.high, whole.data(), sizeof(digest.high));
    std::memcpy(&digest.low, whole.data() + sizeof(digest.high), sizeof(digest.low));
    return digest;
}

std::uint64_t rendezvousWeight(std::string_view owner, std::string_view key)
{
    return hashOf(key, hashOf(owner));
}

std::string randomHex128()
{
    std::array<unsigned char, 16> bytes{};
    // Without random bytes, ids could repeat, and two requests would be treated as one.
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("the system's random generator failed");
    return hexOf(bytes);
}

} // namespace poplarspool
