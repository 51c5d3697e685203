/* Views of three instances: the store's objects are distributed by watches and by peers, replies
 * are delayed and reordered, an instance restarts, an instance is partitioned, the store is
 * unavailable.
 *
 * The objects are the head of the configuration and the reservation of one engine. The waiter (the
 * planner before it sends an order, or the operator's query whether a change is in force) decides
 * from the heartbeats that it has received and from the list of instances.
 * Properties:
 *   P_NEVER_BACK           a view never goes back to an older version of an object
 *   P_IN_FORCE             once a change is reported as in force, no fresh view lacks it
 *   P_NO_WORK_AFTER_ORDER  once the order is sent to a reserved engine, no request is sent to it
 * See docs/MODEL.md.
 */
#define INSTANCES 3
#define MAX_IN_FLIGHT 2
#define FRESH_TICKS 2 /* after these ticks an unconfirmed view is no longer fresh */
/* After these ticks a partitioned instance is considered dead, and it considers the others dead. */
#define DEAD_TICKS 1

#ifdef NO_WAIT_FOR_FRESHNESS
#define GONE_TICKS DEAD_TICKS
#else
#define GONE_TICKS FRESH_TICKS
#endif

#define versionOf(i) (head[i] > reserved[i] -> head[i] : reserved[i])

/* The store. Querying it is always optional, so the runs include those in which it is down. */
byte lastVersion = 1;
byte storeHead = 1;
byte storeReserved = 0;

/* The instances. */
byte head[INSTANCES];
byte reserved[INSTANCES];
byte age[INSTANCES]; /* ticks since the last confirmation of the view */
bool isPartitioned[INSTANCES];
byte partitionedTicks[INSTANCES];
bool isListed[INSTANCES];
byte partitionsLeft = 1, restartsLeft = 1;

/* A reply of the store and one of a peer, in flight to each instance. */
bool hasStoreReply[INSTANCES];
byte storeReplyHead[INSTANCES], storeReplyReserved[INSTANCES], storeReplyAge[INSTANCES];
bool hasPeerReply[INSTANCES];
byte peerReplyHead[INSTANCES], peerReplyReserved[INSTANCES], peerReplyAge[INSTANCES];

byte inFlight = 0; /* number of replies */

/* The versions in the heartbeats that the waiter has received. */
byte acknowledged[INSTANCES];

#ifdef P_NO_WORK_AFTER_ORDER
byte sender = 0; /* instance with a request in flight to the engine, + 1; one request at a time */
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
bool isDone = false; /* the order was sent, or the change was reported as in force */

#define canReach(i, j) (!isPartitioned[i] && !isPartitioned[j])
#define knowsNewer(i, j) (canReach(i, j) && versionOf(j) > versionOf(i))
#define reachedCount(i) (1 + canReach(i, (i + 1) % INSTANCES) + canReach(i, (i + 2) % INSTANCES))
/* A partitioned instance assumes that it has a majority until it considers the others dead. */
#define assumesAllAlive(i) (isPartitioned[i] && partitionedTicks[i] < DEAD_TICKS)
#define knowsAnyNewer(i) (knowsNewer(i, (i + 1) % INSTANCES) || knowsNewer(i, (i + 2) % INSTANCES))
#define hasMajority(i) \
    (assumesAllAlive(i) || (reachedCount(i) > INSTANCES / 2 && !knowsAnyNewer(i)))

#ifdef NO_FRESHNESS
#define isFresh(i) (head[i] > 0)
#else
#define isFresh(i) (head[i] > 0 && (age[i] < FRESH_TICKS || hasMajority(i)))
#endif

/* isAppliedEverywhere of freshness.cpp: waits for all listed instances and for all others that are
 * not known to be gone. */
#define isGone(i) (!isListed[i] && isPartitioned[i] && partitionedTicks[i] >= GONE_TICKS)
#define hasApplied(i) (acknowledged[i] >= awaitedVersion)
#ifdef NO_ACKNOWLEDGEMENT_OF_ALL
#define isAppliedEverywhere (hasApplied(0) + hasApplied(1) + hasApplied(2) > INSTANCES / 2)
#else
#define hasAppliedOrIsGone(i) (hasApplied(i) || isGone(i))
#define isAppliedEverywhere \
    (hasAppliedOrIsGone(0) && hasAppliedOrIsGone(1) && hasAppliedOrIsGone(2))
#endif

inline clearStoreReply()
{
    inFlight = inFlight - hasStoreReply[me];
    hasStoreReply[me] = false;
    storeReplyHead[me] = 0;
    storeReplyReserved[me] = 0;
    storeReplyAge[me] = 0
}

inline clearPeerReply()
{
    inFlight = inFlight - hasPeerReply[me];
    hasPeerReply[me] = false;
    peerReplyHead[me] = 0;
    peerReplyReserved[me] = 0;
    peerReplyAge[me] = 0
}

/* watched_sync::applyUpdate */
inline applyView(newHead, newReserved, newAge)
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

#define mayQueryPeer(i, j) \
    (canReach(i, j) && !hasPeerReply[i] && inFlight < MAX_IN_FLIGHT && head[j] > 0)

inline queryPeer(j)
{
    inFlight++;
    hasPeerReply[me] = true;
    peerReplyHead[me] = head[j];
    peerReplyReserved[me] = reserved[j];
    peerReplyAge[me] = age[j];
#ifndef NO_EARLY_NEWS_OF_LIFE
    /* Assumption: the waiter learns of a new incarnation before that incarnation gets a view from
     * a peer. */
    if
    :: head[me] == 0 -> acknowledged[me] = 0
    :: else -> skip
    fi
#endif
}

proctype instance(byte me)
{
    byte oldHead = 0, oldReserved = 0;
end:
    do
    :: d_step { !isPartitioned[me] && !hasStoreReply[me] && inFlight < MAX_IN_FLIGHT ->
        inFlight++;
        hasStoreReply[me] = true;
        storeReplyHead[me] = storeHead;
        storeReplyReserved[me] = storeReserved }
    :: d_step { hasStoreReply[me] ->
        applyView(storeReplyHead[me], storeReplyReserved[me], storeReplyAge[me]);
        clearStoreReply() }
    :: d_step { mayQueryPeer(me, (me + 1) % INSTANCES) ->
        queryPeer((me + 1) % INSTANCES) }
    :: d_step { mayQueryPeer(me, (me + 2) % INSTANCES) ->
        queryPeer((me + 2) % INSTANCES) }
    :: d_step { hasPeerReply[me] ->
        applyView(peerReplyHead[me], peerReplyReserved[me], peerReplyAge[me]);
        clearPeerReply() }
    /* A heartbeat arrives. */
    :: d_step { !isPartitioned[me] && acknowledged[me] != versionOf(me) && mayAcknowledge(me) ->
        acknowledged[me] = versionOf(me) }
    :: d_step { me < 2 && restartsLeft > 0 ->
        restartsLeft--;
        head[me] = 0;
        reserved[me] = 0;
        age[me] = FRESH_TICKS;
        dropRequestOf(me);
        clearStoreReply();
        clearPeerReply() }
    /* Instances are symmetric. To reduce the state space, the one that is partitioned is number
     * 0, and only 0 and 1 may restart. */
    :: d_step { me == 0 && partitionsLeft > 0 -> partitionsLeft--; isPartitioned[me] = true }
    :: d_step { isPartitioned[me] ->
        isPartitioned[me] = false;
        partitionedTicks[me] = 0;
        isListed[me] = true }
    :: d_step { isPartitioned[me] && isListed[me] -> isListed[me] = false }
#ifdef P_NO_WORK_AFTER_ORDER
    /* A request is routed by the view and sent at any later time. */
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

active proctype waiter()
{
end:
    d_step { awaitedVersion > 0 && isAppliedEverywhere -> isDone = true }
}

inline tick(i)
{
    if
    :: age[i] < FRESH_TICKS -> age[i]++
    :: else -> skip
    fi;
    if
    :: isPartitioned[i] && partitionedTicks[i] < FRESH_TICKS -> partitionedTicks[i]++
    :: else -> skip
    fi;
    /* Assumption: a routed request is sent within the time for which a view stays fresh. */
    if
    :: partitionedTicks[i] == FRESH_TICKS -> dropRequestOf(i)
    :: else -> skip
    fi;
    if
    :: hasStoreReply[i] && storeReplyAge[i] < FRESH_TICKS -> storeReplyAge[i]++
    :: else -> skip
    fi;
    if
    :: hasPeerReply[i] && peerReplyAge[i] < FRESH_TICKS -> peerReplyAge[i]++
    :: else -> skip
    fi
}

#ifndef P_NEVER_BACK
active proctype time()
{
end:
    do
    :: d_step { true ->
        tick(0);
        tick(1);
        tick(2) }
    od
}
#endif

init {
    atomic {
        head[0] = 1; head[1] = 1; head[2] = 1;
        acknowledged[0] = 1; acknowledged[1] = 1; acknowledged[2] = 1;
        isListed[0] = true; isListed[1] = true; isListed[2] = true;
        run instance(0);
        run instance(1);
        run instance(2)
    }
}
