#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/peer/store_news.h"

#include <cstdint>
#include <map>
#include <optional>

namespace poplarspool::peer {

/// How far this instance knows one kind of objects.
struct known_kind
{
    std::uint32_t kind = 0;
    store_version version;
    mono_time confirmedAt{}; ///< When the store last said that there was nothing else.
};

/// @returns How many instances shall follow the store for so many others.
std::size_t tellersFor(std::size_t others);

/// Decides who follows the store for the others, without a message of its own and without a list
/// of members: whoever hears fewer than enough instances tell begins to, and whoever hears enough
/// of a higher rank ends. Two views that differ cost calls to the store, and no news: an instance
/// that isn't told follows the store by itself.
///
/// @attention Not safe against concurrent calls.
class teller_board
{
public:
    explicit teller_board(const instance_id &self);

    void hear(std::uint64_t sender, const store_news &news, mono_time now);

    /// To be asked at every turn.
    /// @param isAble This instance has whom to tell, and the store answers it.
    /// @param enough Instances that shall tell.
    /// @returns Whether this instance is to tell.
    bool decide(bool isAble, std::size_t enough, mono_time now);
    /// @returns When decide() may say otherwise although nothing is heard; nothing: it won't.
    std::optional<mono_time> standsInAt() const;

    /// @param maxAge Of a confirmation that is good enough.
    /// @returns Until when others follow the kind for this instance, if nothing more is heard;
    ///          nothing where they don't, or where one of them knows more than this instance.
    std::optional<mono_time> coveredUntil(const known_kind &known, milliseconds maxAge,
                                          mono_time now) const;

private:
    struct heard_kind
    {
        bool isAnswered = false;
        store_version version;
        mono_time confirmedAt{};
    };

    struct teller
    {
        mono_time heardAt{};
        std::map<std::uint32_t, heard_kind> kinds;

        bool isGood(mono_time now) const;
    };

    const std::uint64_t self; ///< Number of this instance, and its rank.
    const milliseconds standInDelay; ///< Differs between instances, so that few stand in at once.
    std::map<std::uint64_t, teller> tellers;
    bool isTelling = false;
    std::optional<mono_time> lackingSince; ///< Since when too few others tell.
};

} // namespace poplarspool::peer
