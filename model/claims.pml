/* Claims of one idempotency key: three attempts at three owners, two batchers of its bucket, and a
 * store that loses answers and delays writes.
 *
 * Between any two steps any time may pass, so each attempt and batcher may be paused anywhere.
 * Properties: P_AT_MOST_ONCE, P_NOT_RUN_IS_TRUE. See docs/MODEL.md.
 */
#define ATTEMPTS 3
#define BATCHERS 2
#define FAILED 9

/* What an owner's answer book says of a nonce. */
#define UNKNOWN 0
#define RUNNING 1
#define NOT_DISPATCHED 2
#define MAY_HAVE_RUN 3 /* done, or lost */

#ifdef NO_CONDITIONAL_WRITE
#define MATCHES(sees) (true)
#else
#define MATCHES(sees) (sees)
#endif

#ifdef NO_EXACT_NONCE
#define isReplaceable(dead) (dead != 0)
#else
#define isReplaceable(dead) (dead != 0 && seen == dead)
#endif

#ifdef NO_NOT_DISPATCHED_CHECK
#define maySupersede(state) (state == NOT_DISPATCHED || state == RUNNING)
#else
#ifdef NO_DEATH_MAY_HAVE_RUN
#define maySupersede(state) (state == NOT_DISPATCHED || state == UNKNOWN)
#else
#define maySupersede(state) (state == NOT_DISPATCHED)
#endif
#endif

/* Nonces: i + 1 is the first of attempt i, i + 4 the one with which it supersedes. 0 is none. */
byte standing = 0;          /* claim in the store */
bool isPresent[BATCHERS];   /* the version that the batcher has seen is the store's */
byte book[2 * ATTEMPTS + 1];

/* Asks lie at [batcher * ATTEMPTS + attempt] until the batcher takes them, however late. */
byte askNonce[BATCHERS * ATTEMPTS];
byte askDead[BATCHERS * ATTEMPTS];
byte awaited[ATTEMPTS];     /* batcher whose answer is awaited, + 1 */
byte reply[ATTEMPTS];

bool lateIs[BATCHERS];
bool lateIsPresent[BATCHERS];
byte lateNonce[BATCHERS];

/* Attempts are alike and so are batchers: the first to start is called 0, and asks batcher 0. */
byte started = 0;

#ifdef P_AT_MOST_ONCE
bool hasRun = false;
#endif
#ifdef P_NOT_RUN_IS_TRUE
bool ran[ATTEMPTS];
bool toldNotRun[ATTEMPTS];
#endif

inline forgetLate(b)
{
    lateIs[b] = false;
    lateIsPresent[b] = false;
    lateNonce[b] = 0
}

/* A conditional write on its way never takes effect once another has. */
inline overtakeLate(b)
{
    lateIsPresent[b] = false;
#ifndef NO_CONDITIONAL_WRITE
    forgetLate(b)
#endif
}

inline applyWrite(n)
{
    standing = n;
    isPresent[0] = false;
    isPresent[1] = false;
    overtakeLate(0);
    overtakeLate(1)
}

inline forgetBucket()
{
    known = false;
    seen = 0
}

inline answer(a, what)
{
    if
    :: awaited[a] == me + 1 && (asked == a + 1 || asked == a + 4) -> reply[a] = what
    :: else -> skip
    fi;
    askNonce[me * ATTEMPTS + a] = 0;
    askDead[me * ATTEMPTS + a] = 0
}

inline answerUndecided(a)
{
#ifdef NO_DECISION_BEFORE_DISPATCH
    answer(a, asked)
#else
    answer(a, FAILED)
#endif
}

/* claim_writer::write of one wish: in turn a claim that stands, success, an effect whose answer is
 * lost, a conflict after which the bucket is read again, a write that was truly not run, and one
 * that may take effect later. */
inline decide(a)
{
    asked = askNonce[me * ATTEMPTS + a];
    dead = askDead[me * ATTEMPTS + a];
    if
    :: seen != 0 && !isReplaceable(dead) ->
        answer(a, seen)
    :: seen == 0 || isReplaceable(dead) ->
        if
        :: MATCHES(isPresent[me]) ->
            applyWrite(asked);
            isPresent[me] = true;
            seen = asked;
            answer(a, asked)
        :: MATCHES(isPresent[me]) ->
            applyWrite(asked);
            forgetBucket();
            answerUndecided(a)
        :: !MATCHES(isPresent[me]) ->
            forgetBucket()
        :: true ->
            answer(a, FAILED)
        :: !lateIs[me] ->
            lateIs[me] = true;
            lateIsPresent[me] = isPresent[me];
            lateNonce[me] = asked;
            forgetBucket();
            answerUndecided(a)
        fi
    fi;
    asked = 0;
    dead = 0
}

proctype batcher(byte me)
{
    bool known = false;
    byte seen = 0, asked = 0, dead = 0;
end:
    do
    :: d_step { !known ->
        known = true;
        seen = standing;
        isPresent[me] = true }
    :: atomic { known && askNonce[me * ATTEMPTS] != 0 -> decide(0) }
    :: atomic { known && askNonce[me * ATTEMPTS + 1] != 0 -> decide(1) }
    :: atomic { known && askNonce[me * ATTEMPTS + 2] != 0 -> decide(2) }
    :: d_step { known -> forgetBucket() } /* replaced, or the bucket went elsewhere */
    od
}

inline landLate(b)
{
    if
    :: MATCHES(lateIsPresent[b]) ->
        landed = lateNonce[b];
        applyWrite(landed)
    :: else ->
        skip
    fi;
    forgetLate(b);
    landed = 0
}

active proctype lateWrites()
{
    byte landed = 0;
end:
    do
    :: d_step { lateIs[0] -> landLate(0) }
    :: d_step { lateIs[1] -> landLate(1) }
    od
}

inline endCall()
{
    awaited[me] = 0;
    reply[me] = 0
}

inline refuse()
{
    book[nonce] = NOT_DISPATCHED;
#ifdef P_NOT_RUN_IS_TRUE
    toldNotRun[me] = true;
    assert(!ran[me]);
#endif
    endCall()
}

/* The owner's process ends: nobody knows any more what became of its nonces. */
inline die()
{
    book[me + 1] = UNKNOWN;
    book[me + 4] = UNKNOWN;
    endCall()
}

inline ask(b)
{
    askNonce[b * ATTEMPTS + me] = nonce;
    askDead[b * ATTEMPTS + me] = dead;
    reply[me] = 0;
    awaited[me] = b + 1
}

proctype attempt(byte me)
{
    byte nonce = me + 1, dead = 0, other = 0, state = 0;

    atomic { started == me -> started++; book[nonce] = RUNNING };
claim:
    if
    :: atomic { askNonce[me] == 0 -> ask(0) }
    :: atomic { (me > 0 || dead != 0) && askNonce[ATTEMPTS + me] == 0 -> ask(1) }
    :: atomic { true -> die() }; goto done
    fi;
wait:
    if
    :: atomic { reply[me] == nonce -> endCall() }; goto dispatch
    :: atomic { reply[me] != 0 && reply[me] != FAILED && reply[me] != nonce ->
        other = reply[me];
        book[nonce] = NOT_DISPATCHED;
        endCall() }; goto standsOther
    /* No answer, or a failure: the other batcher is asked with the same nonce, */
    :: atomic { awaited[me] == 1 && askNonce[ATTEMPTS + me] == 0 && dead == 0 -> ask(1) }; goto wait
    /* or the attempt ends, while its claim may stand or come to stand. */
    :: atomic { true -> refuse() };
#ifdef NO_FINAL_GIVE_UP
        goto standsLate
#else
        goto done
#endif
    :: atomic { true -> die() }; goto done
    fi;

standsOther:
    if
    :: atomic { state = book[other] }
    :: true -> state = UNKNOWN /* the owner does not answer */
    :: atomic { true -> die() }; goto done
    fi;
    if
    :: atomic { maySupersede(state) && nonce == me + 1 ->
        nonce = me + 4;
        dead = other;
        other = 0;
        state = 0;
        book[nonce] = RUNNING }; goto claim
    :: atomic { maySupersede(state) && nonce == me + 4 -> refuse() }; goto done
    :: !maySupersede(state) -> goto done /* told: may have run */
    fi;

#ifdef NO_FINAL_GIVE_UP
standsLate:
    if
    :: standing == nonce -> goto dispatch
    :: true -> goto done
    fi;
#endif

dispatch: /* The owner may be paused here for any time. */
    if
    :: atomic { true ->
#ifdef P_AT_MOST_ONCE
        assert(!hasRun);
        hasRun = true;
#endif
#ifdef P_NOT_RUN_IS_TRUE
        assert(!toldNotRun[me]);
        ran[me] = true;
#endif
        skip };
        if
        :: atomic { true -> book[nonce] = MAY_HAVE_RUN }
        :: atomic { true -> die() }
        fi
    :: atomic { true -> refuse() } /* the runner truly refused, or none was left to try */
    :: atomic { true -> die() }
    fi;

done:
    atomic {
        nonce = 0; dead = 0; other = 0; state = 0 }
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
