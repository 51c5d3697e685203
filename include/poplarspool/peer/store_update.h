#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/endpoint.h"
#include "poplarspool/base/result.h"
#include "poplarspool/base/store_version.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

/// Store updates are sent by a relay: an instance that watches the platform's store on behalf of
/// others.
namespace poplarspool::peer {

/// State of one kind of store objects, as known to the sender.
struct kind_update
{
    std::uint32_t kind = 0; ///< Number assigned by the component that watches the store.
    bool isAnswered = false; ///< The sender's last call to the store for this kind succeeded.
    std::uint64_t since = 0; ///< `changes` is complete after this revision of the epoch,
    store_version version; ///< up to and including this version.
    std::uint32_t ageMs = 0; ///< Time since the store last confirmed that `version` was the newest.
    std::vector<std::string> changes; ///< Oldest first; each at most config::maxChangeBytes.
    /// Updates with newer changes follow at once: nothing is confirmed before the last of them.
    bool isPartial = false;
    /// Changes of one call to the store that exceed a datagram are split into several updates with
    /// the same `since` and `version`. They are applied when all parts have arrived.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::uint64_t repeatableSince = 0; ///< The sender can repeat all changes after this revision.

    bool operator==(const kind_update &) const = default;
};

/// Request of an instance that lacks changes to a relay, which then repeats them for all.
struct change_request
{
    std::uint32_t kind = 0;
    store_version known; ///< The changes after this version are lacking.

    bool operator==(const change_request &) const = default;
};

struct store_update
{
    std::vector<kind_update> kinds;
    /// Number of the relay if another instance has forwarded its update; 0: the sender's own.
    std::uint64_t origin = 0;
    /// Instances to which the receiver forwards the update.
    std::vector<endpoint> forwardTo = {};
    /// Requests to the receiver. An update with requests has no kinds.
    std::vector<change_request> requests = {};

    bool operator==(const store_update &) const = default;
};

/// @returns TooLarge if the update exceeds a bound.
result<std::string> encode(const store_update &update);
result<store_update> decodeStoreUpdate(std::string_view payload);

/// Recent changes of one kind, without gaps. Each datagram repeats the newest of them, and others
/// are repeated on request, so that lost datagrams do not cost their receivers calls to the store.
class recent_changes
{
public:
    /// Discards all changes. Called after the kind was listed at version `to`.
    void reset(store_version to);
    /// Adds all changes from `since` (exclusive) to `to` (inclusive), which are of one epoch. A
    /// change that is too long to be relayed is discarded with all changes before it; receivers
    /// that lack it query the store.
    void add(std::uint64_t since, store_version to, std::vector<std::string> changes,
             mono_time now);
    /// @returns An update with as many of the newest changes as fit; `since` and `version` are set.
    kind_update makeUpdate(std::size_t maxBytes) const;
    /// @param repeatedBytes Argument of the makeUpdate() that follows.
    /// @returns The older changes that makeUpdate() will omit and that were not taken yet, as
    /// partial updates of at most `maxBytes` each. However many changes a call to the store
    /// returns, each is sent at least once; if they were omitted, all receivers would call the
    /// store.
    /// @param onlyRequested Leaves out changes that no instance has requested: another relay sends
    ///                      them to all.
    std::vector<kind_update> takeUnsent(std::size_t repeatedBytes, std::size_t maxBytes,
                                        bool onlyRequested = false);
    /// Makes takeUnsent() return the changes after `known` again, unless they have just been
    /// repeated: many instances may lack the same.
    /// @returns Whether takeUnsent() will return any of them.
    bool repeatAfter(store_version known, mono_time now);

private:
    enum class batch_state { New, Requested, Sent };

    struct change_batch
    {
        batch_state state = batch_state::New;
        std::uint64_t since = 0;
        std::uint64_t to = 0;
        mono_time addedAt{};
        mono_time repeatedAt{};
        std::vector<std::string> changes;
        std::size_t bytes = 0;
    };

    std::deque<change_batch>::const_iterator firstRepeated(std::size_t maxBytes) const;

    std::uint64_t baseRevision = 0; ///< Changes are known after this revision,
    store_version version; ///< up to and including this version.
    std::deque<change_batch> batches; ///< Oldest first; no other changes lie between them.
    std::size_t bytes = 0; ///< Of all batches.
    mono_time lastAddedAt{};
};

} // namespace poplarspool::peer
