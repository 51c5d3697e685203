#pragma once

#include "peer/gossip_message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarspool::peer {

struct known_rumor
{
    travelling_rumor rumor;
    std::uint32_t told = 0; ///< Since it became known.
};

/// The newest rumor of every key; a single-threaded state machine over values and given time.
class rumor_table
{
public:
    explicit rumor_table(milliseconds keepTime) : keepTime(keepTime) { }

    /// Starts or renews a rumor of this instance.
    /// @returns False where a newer version is known, a bound is broken or the table is full.
    bool spread(rumor news, mono_time now);
    /// @returns Whether it is a version that was not known.
    bool join(const travelling_rumor &news, mono_time now);
    void expire(mono_time now);

    std::vector<known_rumor *> untold(std::uint32_t limit);
    std::vector<rumor> all() const;

private:
    bool hasRoom(const std::string &key) const;

    const milliseconds keepTime;
    std::map<std::string, known_rumor> known;
};

} // namespace poplarspool::peer
