#pragma once

#include "peer/gossip_message.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarspool::peer {

struct known_rumor
{
    rumor_update rumor;
    std::uint32_t transmits = 0; ///< Times it was sent since it was received or published.
};

/// Holds the newest rumor of every key. A single-threaded state machine that takes the time as an
/// argument.
class rumor_table
{
public:
    explicit rumor_table(milliseconds retention) : retention(retention) { }

    /// Publishes or renews a rumor of this instance.
    /// @returns False if a newer version is known, a bound is exceeded or the table is full.
    bool spread(rumor update, mono_time now);
    /// Merges a received rumor.
    /// @returns Whether its version was not known before.
    bool merge(const rumor_update &update, mono_time now);
    void expire(mono_time now);

    std::vector<known_rumor *> toSend(std::uint32_t limit);
    std::vector<rumor> all() const;

private:
    bool hasRoom(const std::string &key) const;

    const milliseconds retention;
    std::map<std::string, known_rumor> known;
};

} // namespace poplarspool::peer
