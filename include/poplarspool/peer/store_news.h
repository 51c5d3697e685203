#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/result.h"
#include "poplarspool/base/store_version.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

/// What an instance that follows the platform's store tells those that don't.
namespace poplarspool::peer {

/// One kind of objects in the store, as the sender knows it.
struct kind_news
{
    std::uint32_t kind = 0; ///< Numbered by whoever follows the store.
    bool isAnswered = false; ///< The store has answered the sender's last call for this kind.
    std::uint64_t since = 0; ///< `changes` has all that came after this revision of the epoch,
    store_version version; ///< up to this one.
    std::uint32_t ageMs = 0; ///< Since the store last said that there was nothing else.
    std::vector<std::string> changes; ///< Oldest first; each at most config::maxChangeBytes.

    bool operator==(const kind_news &) const = default;
};

struct store_news
{
    std::vector<kind_news> kinds;

    bool operator==(const store_news &) const = default;
};

/// @returns TooLarge where a bound is broken.
result<std::string> encode(const store_news &news);
result<store_news> decodeStoreNews(std::string_view payload);

/// The changes of one kind that were seen lately, without a hole between them: each datagram
/// repeats them, so that one that is lost costs its receivers no call to the store.
class recent_changes
{
public:
    /// Forgets all changes: what came before this version is known from a list.
    void reset(store_version version);
    /// Adds all changes after a revision of the same epoch. Such as are too long to be told are
    /// forgotten with all before them: a receiver that lacks them asks the store.
    void add(std::uint64_t since, store_version version, std::vector<std::string> changes,
             mono_time now);
    /// @returns As many of the last changes as fit; since and version are set.
    kind_news tell(std::size_t maxBytes) const;

private:
    struct step
    {
        std::uint64_t since = 0;
        std::uint64_t to = 0;
        mono_time at{};
        std::vector<std::string> changes;
        std::size_t bytes = 0;
    };

    std::uint64_t begin = 0; ///< All that came after it is known,
    store_version version; ///< up to this one.
    std::deque<step> steps; ///< Oldest first; nothing else has changed between them.
};

} // namespace poplarspool::peer
