#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace poplarspool::standin {

/// Names the full pieces of a token sequence: each hash covers its piece and all before it.
class piece_chain
{
public:
    piece_chain(std::string_view model, std::uint32_t pieceTokens);

    void add(std::string_view token);
    /// Adds a prompt, cut into tokens.
    void addPrompt(std::string_view prompt);
    const std::vector<std::uint64_t> &hashes() const { return full; }

private:
    std::uint32_t pieceTokens;
    std::uint64_t last;
    std::uint32_t pending = 0;
    std::string piece;
    std::vector<std::uint64_t> full;
};

/// KV memory in pieces: private to one sequence, or shared under their hash. Shared pieces that
/// nobody holds stay as prefix cache until the memory is needed, least recently used first.
class kv_cache
{
public:
    /// Told of each piece that became or ceased to be shareable.
    using change_receiver = std::function<void(bool isStored, std::uint64_t hash)>;

    kv_cache(std::uint32_t pieces, change_receiver onChange);

    std::uint32_t total() const { return pieces; }
    /// @returns Pieces that sequences hold.
    std::uint32_t held() const { return privatePieces + heldShared; }
    std::uint32_t available() const { return pieces - held(); }

    /// Holds the leading pieces that are there.
    /// @param limit Pieces at most.
    /// @returns How many.
    std::uint32_t holdPrefix(const std::vector<std::uint64_t> &hashes, std::uint32_t limit);
    /// Takes private pieces, evicting where needed; all or none.
    bool allocate(std::uint32_t count);
    void release(std::uint32_t privateCount) { privatePieces -= privateCount; }
    /// Makes one private piece shareable; its owner goes on holding it.
    void publish(std::uint64_t hash);
    void unhold(std::uint64_t hash);
    /// Puts an imported piece into the cache, held by nobody.
    /// @returns False where there is no room.
    bool insert(std::uint64_t hash);
    /// Forgets everything, as a restart does.
    void clear();

private:
    struct shared_piece
    {
        std::uint32_t holders = 0;
        std::list<std::uint64_t>::iterator idleAt;
    };

    void hold(shared_piece &piece);
    void makeIdle(std::uint64_t hash, shared_piece &piece);
    /// Evicts until that many pieces are free.
    bool makeRoom(std::uint32_t count);

    std::uint32_t pieces;
    change_receiver onChange;
    std::uint32_t privatePieces = 0;
    std::uint32_t heldShared = 0;
    std::unordered_map<std::uint64_t, shared_piece> shared;
    std::list<std::uint64_t> idle; ///< Least recently used first.
};

} // namespace poplarspool::standin
