/* Store rollback: the store is restored from an older snapshot, up to twice. It holds the entry of
 * one runner, which sets it to "leaving" once, and takes unrelated changes. Instance 0 is the
 * relay: it reads the store and sends updates to instance 1. An update may arrive at any later
 * time, or never.
 *
 * Properties:
 *   P_CURRENT     an instance that has just received the store's state, and considers itself up to
 *                 date, knows that the runner is leaving if the store does
 *   P_NEVER_BACK  an instance that has known that the runner is leaving keeps this knowledge
 *   P_STARTED     Instance 1 restarts once, at any time, and loses its memory. If instance 0 knows
 *                 that the runner is leaving in a later epoch, it writes a mark into the store; a
 *                 rollback may lose the mark too. An instance that has listed the runners and read
 *                 the mark, in either order, knows that the runner is leaving, and keeps this
 *                 knowledge.
 * See docs/MODEL.md.
 */
#ifdef P_STARTED
#define MAX_REVISION 4 /* within one epoch */
#else
#define MAX_REVISION 5
#endif

byte epoch = 0;
byte revision = 1;
byte leavingRevision = 0;         /* revision of the "leaving" entry; 0: not in the store */
bool hasAnnouncedLeaving = false; /* the runner has written it, in any epoch */

bool hasSnapshot = false;
byte snapshotRevision = 0;
byte snapshotLeavingRevision = 0;

#ifdef P_STARTED
bool isMarkStored = false; /* the mark is in the store */
bool isMarkInSnapshot = false;
bool hasRestarted = false; /* instance 1 has restarted */
bool hasReadMark = false;  /* and it has read the mark since then */
#endif

/* State of the instances: 0 is the relay, 1 receives updates and reads the store if necessary. */
byte knownEpoch[2];
byte knownRevision[2];
bool knowsLeaving[2];
bool hasListed[2];

/* The last update sent, while it is in flight. */
bool isUpdateInFlight = false;
byte updateEpoch = 0;
byte updateSince = 0;
byte updateRevision = 0;
bool updateHasLeaving = false;

/* Instance 0 sends all changes of the epoch after this revision in each update. */
byte relayedSince = 0;
bool relayedLeaving = false; /* the "leaving" entry is among these changes */

inline changeStore()
{
    if
    :: revision < MAX_REVISION -> revision++ /* an unrelated change */
    /* The runner writes "leaving", for the first time or again after a rollback. */
    :: revision < MAX_REVISION && leavingRevision == 0 ->
        revision++;
        leavingRevision = revision;
        hasAnnouncedLeaving = true
    :: hasSnapshot = true;
        snapshotRevision = revision;
        snapshotLeavingRevision = leavingRevision;
#ifdef P_STARTED
        isMarkInSnapshot = isMarkStored
#endif
    :: hasSnapshot && epoch < 2 ->
        epoch++;
        revision = snapshotRevision;
        leavingRevision = snapshotLeavingRevision;
#ifdef P_STARTED
        isMarkStored = isMarkInSnapshot
#endif
    fi
}

inline checkCurrent(i)
{
#ifdef P_CURRENT
    assert(knownRevision[i] != revision || leavingRevision == 0 || knowsLeaving[i])
#endif
    skip
}

inline listEntries(i)
{
#ifdef NO_MEMORY
    knowsLeaving[i] = (leavingRevision > 0);
#else
    /* Within an epoch the store's list is authoritative. After a rollback it does not override
     * what was known before. */
    knowsLeaving[i] = (leavingRevision > 0) || (hasListed[i] && knowsLeaving[i]);
#endif
#if defined(P_STARTED) && !defined(NO_EARLY_MARKS)
    knowsLeaving[i] = knowsLeaving[i] || (i == 1 && !hasListed[1] && hasReadMark);
#endif
    knownEpoch[i] = epoch;
    knownRevision[i] = revision;
    hasListed[i] = true;
    if
    :: i == 0 ->
        relayedSince = revision;
        relayedLeaving = false
    :: else
    fi
}

inline readStore(i)
{
    if
    :: !hasListed[i] || knownRevision[i] > revision -> listEntries(i)
#ifndef NO_EPOCH
    :: hasListed[i] && knownRevision[i] <= revision && knownEpoch[i] != epoch -> listEntries(i)
#endif
    :: else ->
        relayedLeaving = (i == 0 -> relayedLeaving || leavingRevision > knownRevision[i]
                                 : relayedLeaving);
        knowsLeaving[i] = knowsLeaving[i] || leavingRevision > knownRevision[i];
        knownRevision[i] = revision
    fi;
    checkCurrent(i)
}

inline sendUpdate()
{
    isUpdateInFlight = true;
    updateEpoch = knownEpoch[0];
    updateSince = relayedSince;
    updateRevision = knownRevision[0];
    updateHasLeaving = relayedLeaving
}

/* An update that does not continue the known revision is dropped. Reading the store instead is a
 * separate step. */
inline receiveUpdate()
{
    isUpdateInFlight = false;
    if
#ifdef NO_EPOCH
    :: (updateSince <= knownRevision[1] && updateRevision >= knownRevision[1]) ->
#else
    :: (updateEpoch == knownEpoch[1] && updateSince <= knownRevision[1] &&
        updateRevision >= knownRevision[1]) ->
#endif
        knowsLeaving[1] = knowsLeaving[1] || updateHasLeaving;
        knownRevision[1] = updateRevision;
#ifdef P_CURRENT
        assert(knownRevision[1] != revision || knownEpoch[1] != epoch || leavingRevision == 0 ||
               knowsLeaving[1])
#endif
    :: else
    fi
}

#ifdef P_NEVER_BACK
bool knewLeaving[2];
#endif

#ifdef P_STARTED
inline restart()
{
    hasRestarted = true;
    hasListed[1] = false;
    knowsLeaving[1] = false;
    knownEpoch[1] = 0;
    knownRevision[1] = 0;
    hasReadMark = false
}

inline readMark()
{
    hasReadMark = true;
#ifndef NO_MARKS
    knowsLeaving[1] = knowsLeaving[1] || hasListed[1]
#endif
}
#endif

active proctype system()
{
    do
    :: atomic {
        if
        :: true -> changeStore()
        :: true -> readStore(0)
        :: true -> readStore(1)
        :: hasListed[0] -> sendUpdate()
        :: isUpdateInFlight && hasListed[1] -> receiveUpdate()
#ifdef P_STARTED
        :: !hasRestarted -> restart()
        :: hasListed[0] && knowsLeaving[0] && knownEpoch[0] > 0 -> isMarkStored = true
        :: hasRestarted && isMarkStored -> readMark()
#endif
        fi;
#ifdef P_STARTED
        assert(!hasReadMark || !hasListed[1] || knowsLeaving[1]);
#endif
#ifdef P_NEVER_BACK
        assert(!knewLeaving[0] || knowsLeaving[0]);
        assert(!knewLeaving[1] || knowsLeaving[1]);
        knewLeaving[0] = knowsLeaving[0];
        knewLeaving[1] = knowsLeaving[1]
#endif
    }
    od
}
