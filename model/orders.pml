/* The order record of one engine: two writers, one engine, and a store that may lose replies and
 * delay writes.
 *
 * Time passes in ticks at any point between two steps, so each writer may pause anywhere. A writer
 * sends orders only within its window of WINDOW ticks; an order arrives at most MARGIN ticks after
 * the end of the window in which it was sent.
 * Variants:
 *   IGNORES_FENCE  the engine obeys every order that arrives; otherwise it rejects orders whose
 *                  fencing number is lower than the highest one it has obeyed
 *   LATE_FOREVER   orders may arrive arbitrarily late; only for an engine that checks the number
 * Properties:
 *   P_ONE_STATE  all orders under one fencing number request the same state
 *   P_NO_OLD     the engine never obeys a lower fencing number after a higher one
 *   P_AUTHORITY  an order changes the engine only while it is the open one in the record
 *   P_ONE_OPEN   a record that is not settled is not overwritten with another fencing number
 * See docs/MODEL.md.
 */
#ifndef WINDOW
#define WINDOW 2
#endif
#define MARGIN 1
#define SUCCESSOR_WAIT (WINDOW + MARGIN)
#ifndef MAXFENCE
#define MAXFENCE 2
#endif

#define SETTLED 0
#define DRAINING 1
#define OPEN 2

#ifdef NO_CONDITIONAL_WRITE
#define VERSION_MATCHES(condition) (true)
#else
#define VERSION_MATCHES(condition) (condition)
#endif

#ifdef NO_SUCCESSOR_WAIT
#define isSafe(w) (true)
#define maySettle(w) (true)
#else
#ifdef IGNORES_FENCE
#define isSafe(w) (unsafeTicks[w] == 0)
#else
#define isSafe(w) (true)
#endif
/* While unsafeTicks is not 0, an order may still arrive, whether or not the engine checks fencing
 * numbers. */
#ifdef NO_SETTLE_WAIT
#define maySettle(w) isSafe(w)
#else
#define maySettle(w) (unsafeTicks[w] == 0)
#endif
#endif

#ifdef NO_WINDOW
#define inWindow(w) (true)
#else
#define inWindow(w) (windowTicks[w] > 0)
#endif

#ifdef NO_SETTLE_BEFORE_WRITE
#define mayStartOrder(phase) (true)
#else
#define mayStartOrder(phase) (phase == SETTLED)
#endif

#ifdef IGNORES_FENCE
#define rejects(f) (false)
#define hasReached(f, s) (engineFence > 0 && engineState == s)
#else
#ifdef NO_FENCE_CHECK
#define rejects(f) (false)
#else
#define rejects(f) (f < highestFence)
#endif
#define hasReached(f, s) (highestFence >= f && engineFence > 0 && engineState == s)
#endif

/* The record in the store. A version is only ever compared with the current one, so the model keeps
 * just the result, for each writer and each write in flight, and the number of versions is not
 * bounded. Of the nonces, a writer only looks for the one of its current window: w + 1. */
byte recordPhase = SETTLED;
byte recordFence = 0;
byte recordState = 0;
byte recordNonce = 0;
bool isCurrent[2]; /* the writer's cached version is the record's */

byte windowTicks[2];
byte unsafeTicks[2];

/* A delayed write of each writer. */
bool isWriteDelayed[2];
bool isDelayedVersionCurrent[2];
byte delayedPhase[2];
byte delayedFence[2];
byte delayedState[2];
byte delayedNonce[2];

/* An order of each writer in flight, and the state of its reply. */
bool isOrderInFlight[2];
byte orderFence[2];
byte orderState[2];
byte orderTicks[2];
bool isReplyAwaited[2];
bool isAnswered[2];
bool isStale[2];

byte highestFence = 0; /* highest fencing number the engine has obeyed; survives a crash */
byte engineFence = 0;  /* of the order in effect; 0 after a crash */
byte engineState = 0;
#ifdef P_ONE_STATE
byte stateUnderFence[MAXFENCE + 2]; /* requested state + 1, per fencing number */
#endif

inline clearDelayedWrite(i)
{
    isWriteDelayed[i] = false;
    isDelayedVersionCurrent[i] = false;
    delayedPhase[i] = 0;
    delayedFence[i] = 0;
    delayedState[i] = 0;
    delayedNonce[i] = 0;
}

/* A conditional write in flight fails once another write has taken effect. */
inline invalidateDelayedWrite(i)
{
    isDelayedVersionCurrent[i] = false;
#ifndef NO_CONDITIONAL_WRITE
    clearDelayedWrite(i)
#endif
}

inline applyWrite(p, f, s, n)
{
#ifdef P_ONE_OPEN
    assert(recordPhase == SETTLED || recordFence == f);
#endif
    isCurrent[0] = false;
    isCurrent[1] = false;
    invalidateDelayedWrite(0);
    invalidateDelayedWrite(1);
    recordPhase = p;
    recordFence = f;
    recordState = s;
    recordNonce = n;
}

/* Drops the writer's cached record, so that it is read again. */
inline dropRecord()
{
    isCached = false;
    phase = SETTLED;
    fence = 0;
    state = 0;
    nonce = 0
}

/* order_writer::writeRecord on top of object_store::put. The cases, in order: the write succeeds;
 * it takes effect but its reply is lost; it conflicts; it was not executed; it may take effect
 * later. */
inline put(p, f, s, n)
{
    if
    :: VERSION_MATCHES(isCurrent[w]) ->
        applyWrite(p, f, s, n);
        isCurrent[w] = true;
        phase = p;
        fence = f;
        state = s;
        nonce = n
    :: VERSION_MATCHES(isCurrent[w]) ->
        applyWrite(p, f, s, n);
        dropRecord()
    :: !VERSION_MATCHES(isCurrent[w]) ->
        dropRecord()
    :: true ->
        skip
    :: !isWriteDelayed[w] ->
        isWriteDelayed[w] = true;
        isDelayedVersionCurrent[w] = isCurrent[w];
        delayedPhase[w] = p;
        delayedFence[w] = f;
        delayedState[w] = s;
        delayedNonce[w] = n;
        dropRecord()
    fi
}

/* Ends the writer's window: its nonce no longer belongs to any writer. */
inline endWindow()
{
    if
    :: recordNonce == w + 1 -> recordNonce = 0
    :: else -> skip
    fi;
    if
    :: nonce == w + 1 -> nonce = 0
    :: else -> skip
    fi;
    if
    :: delayedNonce[w] == w + 1 -> delayedNonce[w] = 0
    :: else -> skip
    fi;
    windowTicks[w] = 0
}

/* order_writer::adopt */
inline adopt()
{
    isCached = true;
    phase = recordPhase;
    fence = recordFence;
    state = recordState;
    nonce = recordNonce;
    if
    :: isCurrent[w] || nonce == w + 1 ->
        skip
    :: else ->
        endWindow();
        if
        :: phase == OPEN -> unsafeTicks[w] = SUCCESSOR_WAIT
        :: else -> skip
        fi
    fi;
    isCurrent[w] = true
}

inline crash()
{
    dropRecord();
    isCurrent[w] = false;
    endWindow();
    unsafeTicks[w] = 0
}

inline endCall()
{
    isReplyAwaited[w] = false;
    isAnswered[w] = false;
    isStale[w] = false
}

#define hasWindow (nonce == w + 1 && inWindow(w))

active [2] proctype writer()
{
    byte w = _pid;
    bool isCached = false;
    byte phase = SETTLED, fence = 0, state = 0, nonce = 0, nextFence = 0;
end:
    do
    :: d_step { !isCached || !isCurrent[w] -> adopt() }
    :: atomic { isCached && mayStartOrder(phase) && fence < MAXFENCE && highestFence < MAXFENCE ->
        endWindow();
        nextFence = (fence > highestFence -> fence : highestFence) + 1;
        put(DRAINING, nextFence, w, 0);
        nextFence = 0 }
    /* The order is withdrawn, possibly after a delayed write of it has taken effect. */
    :: atomic { isCached && phase == DRAINING ->
        put(SETTLED, fence, state, 0) }
    :: atomic { isCached && (phase == DRAINING || (phase == OPEN && !hasWindow && isSafe(w))) ->
        endWindow();
        windowTicks[w] = WINDOW };
        atomic { put(OPEN, fence, state, w + 1) }
    :: atomic { isCached && phase == OPEN && maySettle(w) && hasReached(fence, state) ->
#ifndef NO_WINDOW_END_AT_SETTLE
        endWindow();
#endif
        put(SETTLED, fence, state, 0) }
    :: d_step { isCached && phase == OPEN && hasWindow && !isOrderInFlight[w] -> skip };
        /* The window was checked; the writer may pause here for any time. */
        if
        :: d_step {
#ifdef NO_GUARD
            true ->
#else
            inWindow(w) ->
#endif
            isOrderInFlight[w] = true;
            orderFence[w] = fence;
            orderState[w] = state;
#ifndef LATE_FOREVER
            orderTicks[w] = windowTicks[w] + MARGIN;
#endif
            isReplyAwaited[w] = true };
            if
            :: d_step { isAnswered[w] -> endCall() }
            :: atomic { isStale[w] -> endCall();
#ifndef NO_WINDOW_END_AT_SETTLE
                endWindow();
#endif
                put(SETTLED, fence, state, 0) }
            :: d_step { true ->
                unsafeTicks[w] = (unsafeTicks[w] > windowTicks[w] + MARGIN ->
                    unsafeTicks[w] : windowTicks[w] + MARGIN);
                endCall() }
            :: d_step { true -> crash(); endCall() }
            fi
        :: !inWindow(w) -> skip /* the order guard has aborted the connection */
        :: d_step { true -> crash() }
        fi
    :: d_step { isCached -> crash() }
    od
}

inline deliverOrder(i)
{
#ifdef P_ONE_STATE
    assert(stateUnderFence[orderFence[i]] == 0 ||
           stateUnderFence[orderFence[i]] == orderState[i] + 1);
    stateUnderFence[orderFence[i]] = orderState[i] + 1;
#endif
    if
    :: rejects(orderFence[i]) -> isStale[i] = isReplyAwaited[i]
    :: else ->
#ifdef P_NO_OLD
        assert(orderFence[i] >= highestFence);
#endif
#ifdef P_AUTHORITY
        /* An order that changes the engine must be the open one in the record. */
        assert((engineFence == orderFence[i] && engineState == orderState[i]) ||
               (recordPhase == OPEN && recordFence == orderFence[i] &&
                recordState == orderState[i]));
#endif
        highestFence = (orderFence[i] > highestFence -> orderFence[i] : highestFence);
        engineFence = orderFence[i];
        engineState = orderState[i];
        isAnswered[i] = isReplyAwaited[i];
    fi;
    isOrderInFlight[i] = false; orderFence[i] = 0; orderState[i] = 0; orderTicks[i] = 0;
}

inline loseOrder(i)
{
    isOrderInFlight[i] = false; orderFence[i] = 0; orderState[i] = 0; orderTicks[i] = 0;
}

active proctype engine()
{
end:
    do
    :: d_step { isOrderInFlight[0] -> deliverOrder(0) }
    :: d_step { isOrderInFlight[1] -> deliverOrder(1) }
    :: d_step { isOrderInFlight[0] -> loseOrder(0) }
    :: d_step { isOrderInFlight[1] -> loseOrder(1) }
    /* The engine crashes. Its connections end with it, so no earlier order reaches the next
     * incarnation. */
    :: d_step { engineFence != 0 -> engineFence = 0; engineState = 0;
        loseOrder(0);
        loseOrder(1) }
    od
}

inline applyDelayedWrite(i)
{
    if
    :: VERSION_MATCHES(isDelayedVersionCurrent[i]) ->
        appliedPhase = delayedPhase[i];
        appliedFence = delayedFence[i];
        appliedState = delayedState[i];
        appliedNonce = delayedNonce[i];
        applyWrite(appliedPhase, appliedFence, appliedState, appliedNonce)
    :: else ->
        skip
    fi;
    clearDelayedWrite(i);
    appliedPhase = 0;
    appliedFence = 0;
    appliedState = 0;
    appliedNonce = 0
}

active proctype delayedWrites()
{
    byte appliedPhase = 0, appliedFence = 0, appliedState = 0, appliedNonce = 0;
end:
    do
    :: d_step { isWriteDelayed[0] -> applyDelayedWrite(0) }
    :: d_step { isWriteDelayed[1] -> applyDelayedWrite(1) }
    od
}

inline tick(i)
{
    if
    :: windowTicks[i] > 0 -> windowTicks[i]--
    :: else -> skip
    fi;
    if
    :: unsafeTicks[i] > 0 -> unsafeTicks[i]--
    :: else -> skip
    fi;
    if
    :: orderTicks[i] > 1 -> orderTicks[i]--
    :: orderTicks[i] == 1 -> loseOrder(i)
    :: else -> skip
    fi
}

active proctype time()
{
end:
    do
    :: d_step { windowTicks[0] + windowTicks[1] + unsafeTicks[0] + unsafeTicks[1] +
                orderTicks[0] + orderTicks[1] > 0 ->
        tick(0);
        tick(1) }
    od
}
