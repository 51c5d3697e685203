/* The order record of one engine: two writers, a store that loses and delays, one engine.
 *
 * Time is a count of ticks that passes at any point between two steps, so each writer may be
 * paused anywhere. A window lasts WINDOW ticks; what was sent in it arrives by its end + MARGIN.
 * Variants: IGNORES_FENCE (the engine obeys whatever arrives), else it refuses old numbers and
 * orders may arrive arbitrarily late where LATE_FOREVER is set.
 * Properties: P_ONE_STATE, P_NO_OLD, P_AUTHORITY, P_ONE_OPEN. See docs/MODEL.md.
 */
#ifndef WINDOW
#define WINDOW 2
#endif
#define MARGIN 1
#define WAIT (WINDOW + MARGIN)
#ifndef MAXFENCE
#define MAXFENCE 2
#endif

#define SETTLED 0
#define DRAINING 1
#define OPEN 2

#ifdef NO_CONDITIONAL_WRITE
#define MATCHES(sees) (true)
#else
#define MATCHES(sees) (sees)
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
/* An order may still arrive until then, whatever the engine's kind. */
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
#define mayBegin(phase) (true)
#else
#define mayBegin(phase) (phase == SETTLED)
#endif

#ifdef IGNORES_FENCE
#define refuses(f) (false)
#define reached(f, s) (engineFence > 0 && engineState == s)
#else
#ifdef NO_FENCE_CHECK
#define refuses(f) (false)
#else
#define refuses(f) (f < highest)
#endif
#define reached(f, s) (highest >= f && engineFence > 0 && engineState == s)
#endif

/* The record in the store. Versions are kept as what is asked of them: is the one that a writer, or
 * a write on its way, has seen the present one? So their number is not bounded. Of the nonces only
 * the one that gave a writer its present window is ever looked for: w + 1 stands for it. */
byte recPhase = SETTLED;
byte recFence = 0;
byte recState = 0;
byte recNonce = 0;
bool isPresent[2];   /* the version that the writer has seen is the record's */

byte windowTicks[2];
byte unsafeTicks[2];

/* A write of each writer that is still on its way. */
bool lateIs[2];
bool lateIsPresent[2];
byte latePhase[2];
byte lateFence[2];
byte lateState[2];
byte lateNonce[2];

/* An order of each writer that is on its way, and whether its answer has come. */
bool orderIs[2];
byte orderFence[2];
byte orderState[2];
byte orderTicks[2];
bool awaits[2];
bool answered[2];
bool stale[2];

byte highest = 0;     /* highest number the engine has obeyed; outlasts its crash */
byte engineFence = 0; /* order that is in effect; 0 after a crash */
byte engineState = 0;
#ifdef P_ONE_STATE
byte stateOf[MAXFENCE + 2]; /* wanted state + 1 received under each number */
#endif

inline forgetLate(i)
{
    lateIs[i] = false;
    lateIsPresent[i] = false;
    latePhase[i] = 0;
    lateFence[i] = 0;
    lateState[i] = 0;
    lateNonce[i] = 0;
}

/* A conditional write on its way never takes effect once another has. */
inline overtakeLate(i)
{
    lateIsPresent[i] = false;
#ifndef NO_CONDITIONAL_WRITE
    forgetLate(i)
#endif
}

inline applyWrite(p, f, s, n)
{
#ifdef P_ONE_OPEN
    assert(recPhase == SETTLED || recFence == f);
#endif
    isPresent[0] = false;
    isPresent[1] = false;
    overtakeLate(0);
    overtakeLate(1);
    recPhase = p;
    recFence = f;
    recState = s;
    recNonce = n;
}

/* The record has to be read again; what that brings back is not kept here. */
inline forgetRecord()
{
    known = false;
    phase = SETTLED;
    fence = 0;
    state = 0;
    nonce = 0
}

/* order_writer::writeRecord on top of object_store::put: in turn success, an effect whose answer is
 * lost, a conflict, a write that was truly not run, and one that may take effect later. */
inline put(p, f, s, n)
{
    if
    :: MATCHES(isPresent[w]) ->
        applyWrite(p, f, s, n);
        isPresent[w] = true;
        phase = p;
        fence = f;
        state = s;
        nonce = n
    :: MATCHES(isPresent[w]) ->
        applyWrite(p, f, s, n);
        forgetRecord()
    :: !MATCHES(isPresent[w]) ->
        forgetRecord()
    :: true ->
        skip
    :: !lateIs[w] ->
        lateIs[w] = true;
        lateIsPresent[w] = isPresent[w];
        latePhase[w] = p;
        lateFence[w] = f;
        lateState[w] = s;
        lateNonce[w] = n;
        forgetRecord()
    fi
}

/* A new window: the nonce of the one before is nobody's any more. */
inline newWindow()
{
    if
    :: recNonce == w + 1 -> recNonce = 0
    :: else -> skip
    fi;
    if
    :: nonce == w + 1 -> nonce = 0
    :: else -> skip
    fi;
    if
    :: lateNonce[w] == w + 1 -> lateNonce[w] = 0
    :: else -> skip
    fi;
    windowTicks[w] = 0
}

/* order_writer::adopt */
inline adopt()
{
    known = true;
    phase = recPhase;
    fence = recFence;
    state = recState;
    nonce = recNonce;
    if
    :: isPresent[w] || nonce == w + 1 ->
        skip
    :: else ->
        newWindow();
        if
        :: phase == OPEN -> unsafeTicks[w] = WAIT
        :: else -> skip
        fi
    fi;
    isPresent[w] = true
}

inline crash()
{
    forgetRecord();
    isPresent[w] = false;
    newWindow();
    unsafeTicks[w] = 0
}

inline endCall()
{
    awaits[w] = false;
    answered[w] = false;
    stale[w] = false
}

#define hasWindow (nonce == w + 1 && inWindow(w))

active [2] proctype writer()
{
    byte w = _pid;
    bool known = false;
    byte phase = SETTLED, fence = 0, state = 0, nonce = 0, next = 0;
end:
    do
    :: d_step { !known || !isPresent[w] -> adopt() }
    :: atomic { known && mayBegin(phase) && fence < MAXFENCE && highest < MAXFENCE ->
        newWindow();
        next = (fence > highest -> fence : highest) + 1;
        put(DRAINING, next, w, 0);
        next = 0 }
    :: atomic { known && phase == DRAINING -> /* withdrawn, or a late success of it */
        put(SETTLED, fence, state, 0) }
    :: atomic { known && (phase == DRAINING || (phase == OPEN && !hasWindow && isSafe(w))) ->
        newWindow();
        windowTicks[w] = WINDOW };
        atomic { put(OPEN, fence, state, w + 1) }
    :: atomic { known && phase == OPEN && maySettle(w) && reached(fence, state) ->
#ifndef NO_WINDOW_END_AT_SETTLE
        newWindow();
#endif
        put(SETTLED, fence, state, 0) }
    :: d_step { known && phase == OPEN && hasWindow && !orderIs[w] -> skip };
        /* The window was checked; the writer may be paused here for any time. */
        if
        :: d_step {
#ifdef NO_GUARD
            true ->
#else
            inWindow(w) ->
#endif
            orderIs[w] = true;
            orderFence[w] = fence;
            orderState[w] = state;
#ifndef LATE_FOREVER
            orderTicks[w] = windowTicks[w] + MARGIN;
#endif
            awaits[w] = true };
            if
            :: d_step { answered[w] -> endCall() }
            :: atomic { stale[w] -> endCall();
#ifndef NO_WINDOW_END_AT_SETTLE
                newWindow();
#endif
                put(SETTLED, fence, state, 0) }
            :: d_step { true ->
                unsafeTicks[w] = (unsafeTicks[w] > windowTicks[w] + MARGIN ->
                    unsafeTicks[w] : windowTicks[w] + MARGIN);
                endCall() }
            :: d_step { true -> crash(); endCall() }
            fi
        :: !inWindow(w) -> skip /* the guard has aborted the connection */
        :: d_step { true -> crash() }
        fi
    :: d_step { known -> crash() }
    od
}

inline deliver(i)
{
#ifdef P_ONE_STATE
    assert(stateOf[orderFence[i]] == 0 || stateOf[orderFence[i]] == orderState[i] + 1);
    stateOf[orderFence[i]] = orderState[i] + 1;
#endif
    if
    :: refuses(orderFence[i]) -> stale[i] = awaits[i]
    :: else ->
#ifdef P_NO_OLD
        assert(orderFence[i] >= highest);
#endif
#ifdef P_AUTHORITY
        /* What changes the engine is the order that is open in the record now. */
        assert((engineFence == orderFence[i] && engineState == orderState[i]) ||
               (recPhase == OPEN && recFence == orderFence[i] && recState == orderState[i]));
#endif
        highest = (orderFence[i] > highest -> orderFence[i] : highest);
        engineFence = orderFence[i];
        engineState = orderState[i];
        answered[i] = awaits[i];
    fi;
    orderIs[i] = false; orderFence[i] = 0; orderState[i] = 0; orderTicks[i] = 0;
}

inline loseOrder(i)
{
    orderIs[i] = false; orderFence[i] = 0; orderState[i] = 0; orderTicks[i] = 0;
}

active proctype engine()
{
end:
    do
    :: d_step { orderIs[0] -> deliver(0) }
    :: d_step { orderIs[1] -> deliver(1) }
    :: d_step { orderIs[0] -> loseOrder(0) }
    :: d_step { orderIs[1] -> loseOrder(1) }
    /* Its connections die with it, so nothing of before reaches the next life. */
    :: d_step { engineFence != 0 -> engineFence = 0; engineState = 0;
        loseOrder(0);
        loseOrder(1) }
    od
}

inline landLate(i)
{
    if
    :: MATCHES(lateIsPresent[i]) ->
        landedPhase = latePhase[i];
        landedFence = lateFence[i];
        landedState = lateState[i];
        landedNonce = lateNonce[i];
        applyWrite(landedPhase, landedFence, landedState, landedNonce)
    :: else ->
        skip
    fi;
    forgetLate(i);
    landedPhase = 0;
    landedFence = 0;
    landedState = 0;
    landedNonce = 0
}

active proctype lateWrites()
{
    byte landedPhase = 0, landedFence = 0, landedState = 0, landedNonce = 0;
end:
    do
    :: d_step { lateIs[0] -> landLate(0) }
    :: d_step { lateIs[1] -> landLate(1) }
    od
}

inline tickOf(i)
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
        tickOf(0);
        tickOf(1) }
    od
}
