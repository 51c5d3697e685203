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

/// Calls between instances over TCP.
enum class call_kind : std::uint8_t {
    WatchedState = 1, ///< watched_request -> watched_reply
    Body = 2, ///< body_request -> body_reply
    Claim = 3, ///< claim_request -> claim_reply
    Answer = 4, ///< answer_request -> answer_reply
    Events = 5, ///< events_request -> events_reply
};

/// Requests the watched objects (configuration head, order records) that are newer than
/// `knownVersion`.
struct watched_request
{
    std::uint64_t knownVersion = 0;

    bool operator==(const watched_request &) const = default;
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
    std::uint64_t version = 0; ///< Version up to which the objects are complete.
    /// Objects newer than the version known to the requester; may be empty.
    std::vector<watched_object> objects;

    bool operator==(const watched_reply &) const = default;
};

/// Requests an immutable body by the SHA-256 of its content.
struct body_request
{
    std::string sha256;

    bool operator==(const body_request &) const = default;
};

struct body_reply
{
    std::string content;

    bool operator==(const body_reply &) const = default;
};

/// Asks the batcher of a claim bucket to write a claim.
struct claim_request
{
    std::string key; ///< Hash of workspace, operation and idempotency key.
    std::string bodyHash;
    std::string nonce; ///< Identifies the attempt.
    instance_id owner; ///< Instance that will dispatch the request.
    std::uint32_t timeLeftMs = 0;

    bool operator==(const claim_request &) const = default;
};

struct claim_reply
{
    std::string bodyHash; ///< Of the claim that is stored.
    std::string nonce;
    instance_id owner;

    bool operator==(const claim_reply &) const = default;
};

enum class answer_state : std::uint8_t {
    Unknown = 0, ///< This instance has no record of the attempt.
    NotDispatched = 1, ///< The attempt ended and will never be dispatched.
    Running = 2,
    Done = 3, ///< The reply contains the answer.
    Lost = 4, ///< The attempt may have run, but its answer was not kept.
};

/// Requests the answer of a claimed attempt from the owner of the claim.
struct answer_request
{
    std::string key;
    std::string nonce;
    std::uint32_t waitMs = 0; ///< Maximum time to wait while the attempt is running.

    bool operator==(const answer_request &) const = default;
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

struct events_request
{
    event_filter filter;
};

struct events_reply
{
    std::vector<event> events;

    bool operator==(const events_reply &) const = default;
};

// Decoders check every length against its bound before they allocate. A payload that is shorter
// than its lengths say, or has trailing bytes, is Broken. An encoder returns an empty payload,
// which no decoder accepts, if the message exceeds a bound.

std::string encode(const watched_request &message);
std::string encode(const watched_reply &message);
std::string encode(const body_request &message);
std::string encode(const body_reply &message);
std::string encode(const claim_request &message);
std::string encode(const claim_reply &message);
std::string encode(const answer_request &message);
std::string encode(const answer_reply &message);
std::string encode(const events_request &message);
std::string encode(const events_reply &message);

/// @tparam Message One of the message types above.
template <class Message>
result<Message> decode(std::string_view payload);

} // namespace poplarspool::peer
