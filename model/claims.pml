/* Claims of one idempotency key: three attempts on three owner instances, two batchers of the key's
 * bucket, and a store that may lose replies and delay writes.
 *
 * Any amount of time may pass between two steps, so each attempt and batcher may pause anywhere.
 * Properties:
 *   P_AT_MOST_ONCE     the request is executed at most once
 *   P_NOT_RUN_IS_TRUE  an attempt that is reported as not run was not executed and never will be
 * See docs/MODEL.md.
 */
#define ATTEMPTS 3
#define BATCHERS 2
#define FAILED 9

/* State of a nonce in its owner's answer table. */
#define UNKNOWN 0
#define RUNNING 1
#define NOT_DISPATCHED 2
#define MAY_HAVE_RUN 3 /* done, or the outcome is lost */

#ifdef NO_CONDITIONAL_WRITE
#define VERSION_MATCHES(condition) (true)
#else
#define VERSION_MATCHES(condition) (condition)
#endif

#ifdef NO_EXACT_NONCE
#define isReplaceable(supersededNonce) (supersededNonce != 0)
#else
#define isReplaceable(supersededNonce) (supersededNonce != 0 && cachedNonce == supersededNonce)
#endif

#ifdef NO_NOT_DISPATCHED_CHECK
#define maySupersede(answerState) (answerState == NOT_DISPATCHED || answerState == RUNNING)
#else
#ifdef NO_DEATH_MAY_HAVE_RUN
#define maySupersede(answerState) (answerState == NOT_DISPATCHED || answerState == UNKNOWN)
#else
#define maySupersede(answerState) (answerState == NOT_DISPATCHED)
#endif
#endif

/* Nonces: attempt i starts with i + 1 and uses i + 4 to supersede another attempt's claim. 0 means
 * no nonce. */
byte storedNonce = 0;     /* nonce of the claim in the store */
bool isCurrent[BATCHERS]; /* the batcher's cached version is the store's */
byte answerTable[2 * ATTEMPTS + 1];

/* Claim requests, at index batcher * ATTEMPTS + attempt. A request stays until the batcher handles
 * it, which may be arbitrarily late. */
byte requestNonce[BATCHERS * ATTEMPTS];
byte requestSuperseded[BATCHERS * ATTEMPTS];
byte awaitedBatcher[ATTEMPTS]; /* batcher whose reply is awaited, + 1; 0: none */
byte reply[ATTEMPTS];

bool isWriteDelayed[BATCHERS];
bool isDelayedVersionCurrent[BATCHERS];
byte delayedNonce[BATCHERS];

/* Attempts are symmetric, and so are batchers. To reduce the state space, the first attempt to
 * start is number 0, and it sends its request to batcher 0. */
byte startedAttempts = 0;

#ifdef P_AT_MOST_ONCE
bool hasRun = false;
#endif
#ifdef P_NOT_RUN_IS_TRUE
bool ran[ATTEMPTS];
bool reportedNotRun[ATTEMPTS];
#endif

inline clearDelayedWrite(b)
{
    isWriteDelayed[b] = false;
    isDelayedVersionCurrent[b] = false;
    delayedNonce[b] = 0
}

/* A conditional write in flight fails once another write has taken effect. */
inline invalidateDelayedWrite(b)
{
    isDelayedVersionCurrent[b] = false;
#ifndef NO_CONDITIONAL_WRITE
    clearDelayedWrite(b)
#endif
}

inline applyWrite(newNonce)
{
    storedNonce = newNonce;
    isCurrent[0] = false;
    isCurrent[1] = false;
    invalidateDelayedWrite(0);
    invalidateDelayedWrite(1)
}

inline dropCache()
{
    isCached = false;
    cachedNonce = 0
}

inline sendReply(a, value)
{
    if
    :: awaitedBatcher[a] == me + 1 && (requestedNonce == a + 1 || requestedNonce == a + 4) ->
        reply[a] = value
    :: else -> skip
    fi;
    requestNonce[me * ATTEMPTS + a] = 0;
    requestSuperseded[me * ATTEMPTS + a] = 0
}

inline sendUndecidedReply(a)
{
#ifdef NO_DECISION_BEFORE_DISPATCH
    sendReply(a, requestedNonce)
#else
    sendReply(a, FAILED)
#endif
}

/* claim_writer::write for one claim request. The cases, in order: a claim exists already; the write
 * succeeds; it takes effect but its reply is lost; it conflicts, and the bucket is read again; it
 * was not executed; it may take effect later. */
inline writeClaim(a)
{
    requestedNonce = requestNonce[me * ATTEMPTS + a];
    supersededNonce = requestSuperseded[me * ATTEMPTS + a];
    if
    :: cachedNonce != 0 && !isReplaceable(supersededNonce) ->
        sendReply(a, cachedNonce)
    :: cachedNonce == 0 || isReplaceable(supersededNonce) ->
        if
        :: VERSION_MATCHES(isCurrent[me]) ->
            applyWrite(requestedNonce);
            isCurrent[me] = true;
            cachedNonce = requestedNonce;
            sendReply(a, requestedNonce)
        :: VERSION_MATCHES(isCurrent[me]) ->
            applyWrite(requestedNonce);
            dropCache();
            sendUndecidedReply(a)
        :: !VERSION_MATCHES(isCurrent[me]) ->
            dropCache()
        :: true ->
            sendReply(a, FAILED)
        :: !isWriteDelayed[me] ->
            isWriteDelayed[me] = true;
            isDelayedVersionCurrent[me] = isCurrent[me];
            delayedNonce[me] = requestedNonce;
            dropCache();
            sendUndecidedReply(a)
        fi
    fi;
    requestedNonce = 0;
    supersededNonce = 0
}

proctype batcher(byte me)
{
    bool isCached = false;
    byte cachedNonce = 0, requestedNonce = 0, supersededNonce = 0;
end:
    do
    :: d_step { !isCached ->
        isCached = true;
        cachedNonce = storedNonce;
        isCurrent[me] = true }
    :: atomic { isCached && requestNonce[me * ATTEMPTS] != 0 -> writeClaim(0) }
    :: atomic { isCached && requestNonce[me * ATTEMPTS + 1] != 0 -> writeClaim(1) }
    :: atomic { isCached && requestNonce[me * ATTEMPTS + 2] != 0 -> writeClaim(2) }
    :: d_step { isCached -> dropCache() } /* batcher replaced, or bucket moved */
    od
}

inline applyDelayedWrite(b)
{
    if
    :: VERSION_MATCHES(isDelayedVersionCurrent[b]) ->
        appliedNonce = delayedNonce[b];
        applyWrite(appliedNonce)
    :: else ->
        skip
    fi;
    clearDelayedWrite(b);
    appliedNonce = 0
}

active proctype delayedWrites()
{
    byte appliedNonce = 0;
end:
    do
    :: d_step { isWriteDelayed[0] -> applyDelayedWrite(0) }
    :: d_step { isWriteDelayed[1] -> applyDelayedWrite(1) }
    od
}

inline endCall()
{
    awaitedBatcher[me] = 0;
    reply[me] = 0
}

inline reportNotRun()
{
    answerTable[nonce] = NOT_DISPATCHED;
#ifdef P_NOT_RUN_IS_TRUE
    reportedNotRun[me] = true;
    assert(!ran[me]);
#endif
    endCall()
}

/* The owner's process ends, and the outcome of its nonces is lost. */
inline crash()
{
    answerTable[me + 1] = UNKNOWN;
    answerTable[me + 4] = UNKNOWN;
    endCall()
}

inline requestClaim(b)
{
    requestNonce[b * ATTEMPTS + me] = nonce;
    requestSuperseded[b * ATTEMPTS + me] = supersededNonce;
    reply[me] = 0;
    awaitedBatcher[me] = b + 1
}

proctype attempt(byte me)
{
    byte nonce = me + 1, supersededNonce = 0, otherNonce = 0, answerState = 0;

    atomic { startedAttempts == me -> startedAttempts++; answerTable[nonce] = RUNNING };
claim:
    if
    :: atomic { requestNonce[me] == 0 -> requestClaim(0) }
    :: atomic { (me > 0 || supersededNonce != 0) && requestNonce[ATTEMPTS + me] == 0 ->
        requestClaim(1) }
    :: atomic { true -> crash() }; goto done
    fi;
wait:
    if
    :: atomic { reply[me] == nonce -> endCall() }; goto dispatch
    :: atomic { reply[me] != 0 && reply[me] != FAILED && reply[me] != nonce ->
        otherNonce = reply[me];
        answerTable[nonce] = NOT_DISPATCHED;
        endCall() }; goto foundOtherClaim
    /* No reply, or a failure: the other batcher gets a request with the same nonce. */
    :: atomic { awaitedBatcher[me] == 1 && requestNonce[ATTEMPTS + me] == 0 &&
                supersededNonce == 0 ->
        requestClaim(1) }; goto wait
    /* The attempt gives up, although its claim may be in the store now or later. */
    :: atomic { true -> reportNotRun() };
#ifdef NO_FINAL_GIVE_UP
        goto checkOwnClaim
#else
        goto done
#endif
    :: atomic { true -> crash() }; goto done
    fi;

foundOtherClaim:
    if
    :: atomic { answerState = answerTable[otherNonce] }
    :: true -> answerState = UNKNOWN /* the owner does not reply */
    :: atomic { true -> crash() }; goto done
    fi;
    if
    :: atomic { maySupersede(answerState) && nonce == me + 1 ->
        nonce = me + 4;
        supersededNonce = otherNonce;
        otherNonce = 0;
        answerState = 0;
        answerTable[nonce] = RUNNING }; goto claim
    :: atomic { maySupersede(answerState) && nonce == me + 4 -> reportNotRun() }; goto done
    :: !maySupersede(answerState) -> goto done /* the caller gets the verdict "may have run" */
    fi;

#ifdef NO_FINAL_GIVE_UP
checkOwnClaim:
    if
    :: storedNonce == nonce -> goto dispatch
    :: true -> goto done
    fi;
#endif

dispatch: /* The owner may pause here for any time. */
    if
    :: atomic { true ->
#ifdef P_AT_MOST_ONCE
        assert(!hasRun);
        hasRun = true;
#endif
#ifdef P_NOT_RUN_IS_TRUE
        assert(!reportedNotRun[me]);
        ran[me] = true;
#endif
        skip };
        if
        :: atomic { true -> answerTable[nonce] = MAY_HAVE_RUN }
        :: atomic { true -> crash() }
        fi
    :: atomic { true -> reportNotRun() } /* the runner rejected it, or none is left to try */
    :: atomic { true -> crash() }
    fi;

done:
    atomic {
        nonce = 0; supersededNonce = 0; otherNonce = 0; answerState = 0 }
}

init {
    atomic {
        run batcher(0);
        run batcher(1);
        run attempt(0);
        run attempt(1);
        run attempt(2)
    }
}
