/* Views of three instances: the store's objects spread by watch and by peers, answers come late and
 * crossed, an instance restarts, an instance is cut off, the store goes down.
 *
 * The objects are the configuration's head and the reservation of one engine. Whoever waits (the
 * planner before it sends an order, the operator who asks whether a change is in force) judges by
 * the heartbeats that have reached it and by the list of instances.
 * Properties: P_NEVER_BACK, P_IN_FORCE, P_NO_WORK_AFTER_ORDER. See docs/MODEL.md.
 */
#define N 3
#define MAX_UNDER_WAY 2
#define FRESH 2 /* ticks after which an unconfirmed view is no longer fresh */
#define DEAD 1  /* ticks after which one that is cut off is taken for dead, and takes others so */

#ifdef NO_WAIT_FOR_FRESHNESS
#define GONE DEAD
#else
#define GONE FRESH
#endif

#define versionOf(i) (head[i] > reserved[i] -> head[i] : reserved[i])

/* The store. While it is down nobody asks it: asking is a choice, so that is among the runs. */
byte lastVersion = 1;
byte storeHead = 1;
byte storeReserved = 0;

/* The instances. */
byte head[N];
byte reserved[N];
byte age[N];     /* ticks since the view was confirmed */
bool isCut[N];
byte cutTicks[N];
bool isListed[N];
byte toCut = 1, toRestart = 1;

/* An answer of the store, and one of a peer, on its way to each instance. */
bool storeIs[N];
byte storeAnswerHead[N], storeAnswerReserved[N], storeAnswerAge[N];
bool peerIs[N];
byte peerAnswerHead[N], peerAnswerReserved[N], peerAnswerAge[N];

byte underWay = 0; /* answers */

/* What the heartbeats that have arrived say. */
byte acked[N];

#ifdef P_NO_WORK_AFTER_ORDER
byte sender = 0; /* instance with a request on its way to the engine, + 1; one request at a time */
#define dropRequestOf(i) sender = (sender == i + 1 -> 0 : sender)
#else
#define dropRequestOf(i) skip
#endif

#if defined(P_NO_WORK_AFTER_ORDER) && !defined(NO_HELD_ACKNOWLEDGEMENT)
#define mayAcknowledge(i) (sender != i + 1)
#else
#define mayAcknowledge(i) (true)
#endif

byte awaitedVersion = 0;
bool isDone = false; /* the order was sent, or the change was said to be in force */

#define isReachedBy(i, j) (!isCut[i] && !isCut[j])
#define knowsNewer(i, j) (isReachedBy(i, j) && versionOf(j) > versionOf(i))
#define reachedCount(i) (1 + isReachedBy(i, (i + 1) % N) + isReachedBy(i, (i + 2) % N))
/* What one that is cut off believes, until it takes the others for dead. */
#define believesAll(i) (isCut[i] && cutTicks[i] < DEAD)
#define knowsAnyNewer(i) (knowsNewer(i, (i + 1) % N) || knowsNewer(i, (i + 2) % N))
#define hasMajority(i) (believesAll(i) || (reachedCount(i) > N / 2 && !knowsAnyNewer(i)))

#ifdef NO_FRESHNESS
#define isFresh(i) (head[i] > 0)
#else
#define isFresh(i) (head[i] > 0 && (age[i] < FRESH || hasMajority(i)))
#endif

/* freshness.cpp, isAppliedEverywhere: the listed, and whoever is not known to be gone. */
#define isGone(i) (!isListed[i] && isCut[i] && cutTicks[i] >= GONE)
#define hasApplied(i) (acked[i] >= awaitedVersion)
#ifdef NO_ACKNOWLEDGEMENT_OF_ALL
#define isAppliedEverywhere (hasApplied(0) + hasApplied(1) + hasApplied(2) > N / 2)
#else
#define holdsNobodyBack(i) (hasApplied(i) || isGone(i))
#define isAppliedEverywhere (holdsNobodyBack(0) && holdsNobodyBack(1) && holdsNobodyBack(2))
#endif

inline clearStoreAnswer()
{
    underWay = underWay - storeIs[me];
    storeIs[me] = false;
    storeAnswerHead[me] = 0;
    storeAnswerReserved[me] = 0;
    storeAnswerAge[me] = 0
}

inline clearPeerAnswer()
{
    underWay = underWay - peerIs[me];
    peerIs[me] = false;
    peerAnswerHead[me] = 0;
    peerAnswerReserved[me] = 0;
    peerAnswerAge[me] = 0
}

/* watched_sync::take */
inline take(newHead, newReserved, newAge)
{
    oldHead = head[me];
    oldReserved = reserved[me];
#ifdef NO_MONOTONIC_VERSIONS
    head[me] = newHead;
    reserved[me] = newReserved;
#else
    if
    :: newHead > head[me] -> head[me] = newHead
    :: else -> skip
    fi;
    if
    :: newReserved > reserved[me] -> reserved[me] = newReserved
    :: else -> skip
    fi;
#endif
#ifdef P_NEVER_BACK
    assert(head[me] >= oldHead && reserved[me] >= oldReserved);
#endif
    oldHead = 0;
    oldReserved = 0;
    if
    :: newAge < age[me] -> age[me] = newAge
    :: else -> skip
    fi
}

#define mayAsk(i, j) (isReachedBy(i, j) && !peerIs[i] && underWay < MAX_UNDER_WAY && head[j] > 0)

inline askPeer(j)
{
    underWay++;
    peerIs[me] = true;
    peerAnswerHead[me] = head[j];
    peerAnswerReserved[me] = reserved[j];
    peerAnswerAge[me] = age[j];
#ifndef NO_EARLY_NEWS_OF_LIFE
    /* Assumed: the waiting one hears of a new life before that life gets a view from a peer. */
    if
    :: head[me] == 0 -> acked[me] = 0
    :: else -> skip
    fi
#endif
}

proctype instance(byte me)
{
    byte oldHead = 0, oldReserved = 0;
end:
    do
    :: d_step { !isCut[me] && !storeIs[me] && underWay < MAX_UNDER_WAY ->
        underWay++;
        storeIs[me] = true;
        storeAnswerHead[me] = storeHead;
        storeAnswerReserved[me] = storeReserved }
    :: d_step { storeIs[me] ->
        take(storeAnswerHead[me], storeAnswerReserved[me], storeAnswerAge[me]);
        clearStoreAnswer() }
    :: d_step { mayAsk(me, (me + 1) % N) ->
        askPeer((me + 1) % N) }
    :: d_step { mayAsk(me, (me + 2) % N) ->
        askPeer((me + 2) % N) }
    :: d_step { peerIs[me] ->
        take(peerAnswerHead[me], peerAnswerReserved[me], peerAnswerAge[me]);
        clearPeerAnswer() }
    /* A heartbeat arrives. */
    :: d_step { !isCut[me] && acked[me] != versionOf(me) && mayAcknowledge(me) ->
        acked[me] = versionOf(me) }
    :: d_step { me < 2 && toRestart > 0 ->
        toRestart--;
        head[me] = 0;
        reserved[me] = 0;
        age[me] = FRESH;
        dropRequestOf(me);
        clearStoreAnswer();
        clearPeerAnswer() }
    /* Instances are alike: the one that is cut off is called 0, another that restarts 1. */
    :: d_step { me == 0 && toCut > 0 -> toCut--; isCut[me] = true }
    :: d_step { isCut[me] -> isCut[me] = false; cutTicks[me] = 0; isListed[me] = true }
    :: d_step { isCut[me] && isListed[me] -> isListed[me] = false }
#ifdef P_NO_WORK_AFTER_ORDER
    /* A request is routed on the view, and sent at any time after that. */
    :: d_step { sender == 0 && isFresh(me) && reserved[me] == 0 -> sender = me + 1 }
    :: d_step { sender == me + 1 ->
        assert(!isDone);
        sender = 0 }
#endif
#ifdef P_IN_FORCE
    :: d_step { isDone && isFresh(me) && head[me] < awaitedVersion -> assert(false) }
#endif
    od
}

active proctype writers()
{
end:
    do
#ifndef P_IN_FORCE
    :: d_step { storeReserved == 0 ->
        lastVersion++;
        storeReserved = lastVersion;
#ifndef P_NEVER_BACK
        awaitedVersion = lastVersion;
#endif
        skip }
#endif
#ifndef P_NO_WORK_AFTER_ORDER
    :: d_step { storeHead == 1 ->
        lastVersion++;
        storeHead = lastVersion;
#ifndef P_NEVER_BACK
        awaitedVersion = lastVersion;
#endif
        skip }
#endif
    od
}

active proctype waiting()
{
end:
    d_step { awaitedVersion > 0 && isAppliedEverywhere -> isDone = true }
}

inline tickOf(i)
{
    if
    :: age[i] < FRESH -> age[i]++
    :: else -> skip
    fi;
    if
    :: isCut[i] && cutTicks[i] < FRESH -> cutTicks[i]++
    :: else -> skip
    fi;
    /* Assumed: no request waits unsent for longer than a view stays fresh. */
    if
    :: cutTicks[i] == FRESH -> dropRequestOf(i)
    :: else -> skip
    fi;
    if
    :: storeIs[i] && storeAnswerAge[i] < FRESH -> storeAnswerAge[i]++
    :: else -> skip
    fi;
    if
    :: peerIs[i] && peerAnswerAge[i] < FRESH -> peerAnswerAge[i]++
    :: else -> skip
    fi
}

#ifndef P_NEVER_BACK
active proctype time()
{
end:
    do
    :: d_step { true ->
        tickOf(0);
        tickOf(1);
        tickOf(2) }
    od
}
#endif

init {
    atomic {
        head[0] = 1; head[1] = 1; head[2] = 1;
        acked[0] = 1; acked[1] = 1; acked[2] = 1;
        isListed[0] = true; isListed[1] = true; isListed[2] = true;
        run instance(0);
        run instance(1);
        run instance(2)
    }
}
