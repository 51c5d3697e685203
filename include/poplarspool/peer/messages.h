#pragma once

#include "poplarspool/base/http.h"
#include "poplarspool/base/ids.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace poplarspool::peer {

/// What one instance may ask another over TCP.
enum class call_kind : std::uint8_t {
    WatchedState = 1, ///< watched_ask -> watched_reply
    Body = 2, ///< body_ask -> body_reply
    Claim = 3, ///< claim_ask -> claim_reply
    Answer = 4, ///< answer_ask -> answer_reply
    Events = 5, ///< events_ask -> events_reply
};

/// Asks for the watched objects (configuration head, order records) if newer than known.
struct watched_ask
{
    std::uint64_t knownVersion = 0;

    bool operator==(const watched_ask &) const = default;
};

struct watched_object
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(const watched_object &) const = default;
};

struct watched_reply
{
    std::uint64_t version = 0; ///< Complete up to here; objects are empty where not newer.
    std::vector<watched_object> objects;

    bool operator==(const watched_reply &) const = default;
};

/// Asks for an immutable body by the SHA-256 of its content.
struct body_ask
{
    std::string sha256;

    bool operator==(const body_ask &) const = default;
};

struct body_reply
{
    std::string content;

    bool operator==(const body_reply &) const = default;
};

/// Asks the batcher of a claim bucket to have a claim written.
struct claim_ask
{
    std::string key; ///< Hash of workspace, operation and idempotency key.
    std::string bodyHash;
    std::string nonce; ///< Of the attempt.
    instance_id owner; ///< Instance that will dispatch.
    std::uint32_t timeLeftMs = 0;

    bool operator==(const claim_ask &) const = default;
};

struct claim_reply
{
    std::string bodyHash; ///< Of the claim that stands.
    std::string nonce;
    instance_id owner;

    bool operator==(const claim_reply &) const = default;
};

enum class answer_state : std::uint8_t {
    Unknown = 0, ///< This instance knows nothing of that attempt.
    NotDispatched = 1, ///< The attempt ended, and never will be dispatched.
    Running = 2,
    Done = 3, ///< The answer is here.
    Lost = 4, ///< It may have run; the answer was not kept.
};

/// Asks the owner of a claim for the answer to it.
struct answer_ask
{
    std::string key;
    std::string nonce;
    std::uint32_t waitMs = 0; ///< While it is running.

    bool operator==(const answer_ask &) const = default;
};

struct answer_reply
{
    answer_state state = answer_state::Unknown;
    int status = 0;
    http_headers headers;
    std::string contentType;
    std::string body;

    bool operator==(const answer_reply &) const = default;
};

struct events_ask
{
    event_filter filter;
};

struct events_reply
{
    std::vector<event> events;

    bool operator==(const events_reply &) const = default;
};

// Encoders, and decoders that bound every length before they allocate: a payload that claims more
// than it holds, or leaves bytes over, is Broken.

std::string encode(const watched_ask &message);
std::string encode(const watched_reply &message);
std::string encode(const body_ask &message);
std::string encode(const body_reply &message);
std::string encode(const claim_ask &message);
std::string encode(const claim_reply &message);
std::string encode(const answer_ask &message);
std::string encode(const answer_reply &message);
std::string encode(const events_ask &message);
std::string encode(const events_reply &message);

/// @tparam Message One of the above.
template <class Message>
result<Message> decode(std::string_view payload);

} // namespace poplarspool::peer
