#include "standin/kv_cache.h"

#include "poplarspool/base/hash.h"
#include "standin/tokens.h"

#include <utility>

namespace poplarspool::standin {

prefix_hash_chain::prefix_hash_chain(std::string_view model, std::uint32_t pieceTokens)
    : pieceTokens(pieceTokens), last(hashOf(model))
{ }

void prefix_hash_chain::add(std::string_view token)
{
    piece.append(token);
    ++pending;
    if (pending < pieceTokens)
        return;
    last = hashOf(piece, last);
    full.push_back(last);
    piece.clear();
    pending = 0;
}

void prefix_hash_chain::addPrompt(std::string_view prompt)
{
    while (!prompt.empty()) {
        const std::string_view token = prompt.substr(0, bytesPerToken);
        add(token);
        prompt.remove_prefix(token.size());
    }
}

kv_cache::kv_cache(std::uint32_t pieces, change_callback onChange)
    : pieces(pieces), onChange(std::move(onChange))
{ }

void kv_cache::acquire(shared_piece &piece)
{
    if (piece.refCount == 0) {
        idle.erase(piece.idlePosition);
        ++sharedInUse;
    }
    ++piece.refCount;
}

void kv_cache::makeIdle(std::uint64_t hash, shared_piece &piece)
{
    piece.idlePosition = idle.insert(idle.end(), hash);
}

std::uint32_t kv_cache::acquirePrefix(const std::vector<std::uint64_t> &hashes, std::uint32_t limit)
{
    std::uint32_t count = 0;
    while (count < limit && count < hashes.size()) {
        const auto found = shared.find(hashes[count]);
        if (found == shared.end())
            break;
        acquire(found->second);
        ++count;
    }
    return count;
}

bool kv_cache::evictUntilFree(std::uint32_t count)
{
    if (available() < count)
        return false;
    while (pieces - inUse() - idle.size() < count) {
        const std::uint64_t oldest = idle.front();
        idle.pop_front();
        shared.erase(oldest);
        onChange(false, oldest);
    }
    return true;
}

bool kv_cache::allocate(std::uint32_t count)
{
    if (!evictUntilFree(count))
        return false;
    privatePieces += count;
    return true;
}

void kv_cache::publish(std::uint64_t hash)
{
    --privatePieces;
    const auto [place, isNew] = shared.try_emplace(hash);
    if (!isNew) {
        acquire(place->second);
        return;
    }
    place->second.refCount = 1;
    ++sharedInUse;
    onChange(true, hash);
}

void kv_cache::releaseShared(std::uint64_t hash)
{
    const auto found = shared.find(hash);
    if (found == shared.end() || --found->second.refCount > 0)
        return;
    --sharedInUse;
    makeIdle(hash, found->second);
}

bool kv_cache::insert(std::uint64_t hash)
{
    if (shared.count(hash) > 0)
        return true;
    if (!evictUntilFree(1))
        return false;
    makeIdle(hash, shared[hash]);
    onChange(true, hash);
    return true;
}

void kv_cache::clear()
{
    for (const auto &entry : shared)
        onChange(false, entry.first);
    shared.clear();
    idle.clear();
    privatePieces = 0;
    sharedInUse = 0;
}

} // namespace poplarspool::standin
