#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarspool::standin {

/// Prefix hashes of the full pieces of a token sequence: each hash covers its piece and all pieces
/// before it.
class prefix_hash_chain
{
public:
    prefix_hash_chain(std::string_view model, std::uint32_t pieceTokens);

    void add(std::string_view token);
    /// Splits a prompt into tokens and adds them.
    void addPrompt(std::string_view prompt);
    const std::vector<std::uint64_t> &hashes() const { return full; }

private:
    std::uint32_t pieceTokens;
    std::uint64_t last;
    std::uint32_t pending = 0;
    std::string piece;
    std::vector<std::uint64_t> full;
};

/// KV memory in pieces, which are private to one sequence or shared by prefix hash. Shared pieces
/// that are not in use stay as prefix cache and are evicted least recently used first.
class kv_cache
{
public:
    /// Called for each shared piece that is stored or evicted.
    using change_callback = std::function<void(bool isStored, std::uint64_t hash)>;

    kv_cache(std::uint32_t pieces, change_callback onChange);

    std::uint32_t total() const { return pieces; }
    /// @returns Pieces in use by sequences.
    std::uint32_t inUse() const { return privatePieces + sharedInUse; }
    std::uint32_t available() const { return pieces - inUse(); }

    /// Acquires the leading pieces that are cached.
    /// @param limit Maximum number of pieces.
    /// @returns The number of acquired pieces.
    std::uint32_t acquirePrefix(const std::vector<std::uint64_t> &hashes, std::uint32_t limit);
    /// Allocates private pieces, evicting cached ones if needed; all or none.
    bool allocate(std::uint32_t count);
    void releasePrivate(std::uint32_t privateCount) { privatePieces -= privateCount; }
    /// Turns a private piece into a shared one; its owner keeps using it.
    void publish(std::uint64_t hash);
    void releaseShared(std::uint64_t hash);
    /// Adds an imported piece to the cache, not in use by any sequence.
    /// @returns False if sequences use all memory.
    bool insert(std::uint64_t hash);
    /// Drops everything, as a restart does.
    void clear();

private:
    struct shared_piece
    {
        std::uint32_t refCount = 0;
        std::list<std::uint64_t>::iterator idlePosition;
    };

    void acquire(shared_piece &piece);
    void makeIdle(std::uint64_t hash, shared_piece &piece);
    /// Evicts idle pieces until that many are free.
    /// @returns False if too many pieces are in use; nothing is evicted then.
    bool evictUntilFree(std::uint32_t count);

    std::uint32_t pieces;
    change_callback onChange;
    std::uint32_t privatePieces = 0;
    std::uint32_t sharedInUse = 0;
    std::unordered_map<std::uint64_t, shared_piece> shared;
    std::list<std::uint64_t> idle; ///< Least recently used first.
};

} // namespace poplarspool::standin
