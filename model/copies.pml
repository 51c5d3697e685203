/* The store comes back from an older copy of itself, up to twice. It holds one runner's entry, which
 * the runner turns to "leaving" once, and takes other changes beside it. One instance follows the
 * store and tells another one; what it told may arrive at any later time, or never.
 *
 * Property P_CURRENT: an instance that has just heard what the store holds, and takes itself to be up
 * to date, knows of the leaving if the store does.
 * Property P_NEVER_BACK: an instance that has known of the leaving goes on knowing it.
 * Property P_STARTED: the second instance starts anew once, whenever, without its memory. The first
 * one, if it knows of the leaving in a later epoch, writes so into the store, and a copy may lose that
 * as well. Who has listed the runners and read that mark, in either order, knows of the leaving, and
 * goes on knowing it.
 * See docs/MODEL.md.
 */
#ifdef P_STARTED
#define MOST 4 /* changes within one epoch */
#else
#define MOST 5
#endif

byte epoch = 0;
byte revision = 1;
byte leftAt = 0;       /* revision of the runner's word; 0: it doesn't stand there */
bool hasLeft = false;  /* the runner has said it, in whatever epoch */

bool isCopied = false;
byte copyRevision = 0;
byte copyLeftAt = 0;

#ifdef P_STARTED
bool isMarked = false;     /* the mark stands in the store */
bool isMarkCopied = false;
bool isStarted = false;    /* instance 1 has started anew */
bool hasReadMark = false;  /* and has read the mark since */
#endif

/* The two instances: 0 follows the store and tells, 1 is told and asks where it has to. */
byte knownEpoch[2];
byte knownRevision[2];
bool knowsLeft[2];
bool isListed[2];

/* What was told last and is still on its way. */
bool isTold = false;
byte toldEpoch = 0;
byte toldSince = 0;
byte toldRevision = 0;
bool toldLeft = false;

byte heardSince = 0; /* what came after it in the epoch, instance 0 tells again, */
bool heardLeft = false; /* the runner's word among it */

inline changeStore()
{
    if
    :: revision < MOST -> revision++ /* something else */
    :: revision < MOST && leftAt == 0 -> /* the runner's word, or its word written again */
        revision++;
        leftAt = revision;
        hasLeft = true
    :: isCopied = true;
        copyRevision = revision;
        copyLeftAt = leftAt;
#ifdef P_STARTED
        isMarkCopied = isMarked
#endif
    :: isCopied && epoch < 2 ->
        epoch++;
        revision = copyRevision;
        leftAt = copyLeftAt;
#ifdef P_STARTED
        isMarked = isMarkCopied
#endif
    fi
}

inline check(i)
{
#ifdef P_CURRENT
    assert(knownRevision[i] != revision || leftAt == 0 || knowsLeft[i])
#endif
    skip
}

inline list(i)
{
#ifdef NO_MEMORY
    knowsLeft[i] = (leftAt > 0);
#else
    /* Within an epoch the store is believed; its copy is not, against what was known. */
    knowsLeft[i] = (leftAt > 0) || (isListed[i] && knowsLeft[i]);
#endif
#if defined(P_STARTED) && !defined(NO_EARLY_MARKS)
    knowsLeft[i] = knowsLeft[i] || (i == 1 && !isListed[1] && hasReadMark);
#endif
    knownEpoch[i] = epoch;
    knownRevision[i] = revision;
    isListed[i] = true;
    if
    :: i == 0 ->
        heardSince = revision;
        heardLeft = false
    :: else
    fi
}

inline ask(i)
{
    if
    :: !isListed[i] || knownRevision[i] > revision -> list(i)
#ifndef NO_EPOCH
    :: isListed[i] && knownRevision[i] <= revision && knownEpoch[i] != epoch -> list(i)
#endif
    :: else ->
        heardLeft = (i == 0 -> heardLeft || leftAt > knownRevision[i] : heardLeft);
        knowsLeft[i] = knowsLeft[i] || leftAt > knownRevision[i];
        knownRevision[i] = revision
    fi;
    check(i)
}

inline tell()
{
    isTold = true;
    toldEpoch = knownEpoch[0];
    toldSince = heardSince;
    toldRevision = knownRevision[0];
    toldLeft = heardLeft
}

/* Where news don't join what is known, the store is asked: a step of its own. */
inline hear()
{
    isTold = false;
    if
#ifdef NO_EPOCH
    :: (toldSince <= knownRevision[1] && toldRevision >= knownRevision[1]) ->
#else
    :: (toldEpoch == knownEpoch[1] && toldSince <= knownRevision[1] && toldRevision >= knownRevision[1]) ->
#endif
        knowsLeft[1] = knowsLeft[1] || toldLeft;
        knownRevision[1] = toldRevision;
#ifdef P_CURRENT
        assert(knownRevision[1] != revision || knownEpoch[1] != epoch || leftAt == 0 || knowsLeft[1])
#endif
    :: else
    fi
}

#ifdef P_NEVER_BACK
bool knew[2];
#endif

#ifdef P_STARTED
inline startAnew()
{
    isStarted = true;
    isListed[1] = false;
    knowsLeft[1] = false;
    knownEpoch[1] = 0;
    knownRevision[1] = 0;
    hasReadMark = false
}

inline readMark()
{
    hasReadMark = true;
#ifndef NO_MARKS
    knowsLeft[1] = knowsLeft[1] || isListed[1]
#endif
}
#endif

active proctype world()
{
    do
    :: atomic {
        if
        :: true -> changeStore()
        :: true -> ask(0)
        :: true -> ask(1)
        :: isListed[0] -> tell()
        :: isTold && isListed[1] -> hear()
#ifdef P_STARTED
        :: !isStarted -> startAnew()
        :: isListed[0] && knowsLeft[0] && knownEpoch[0] > 0 -> isMarked = true
        :: isStarted && isMarked -> readMark()
#endif
        fi;
#ifdef P_STARTED
        assert(!hasReadMark || !isListed[1] || knowsLeft[1]);
#endif
#ifdef P_NEVER_BACK
        assert(!knew[0] || knowsLeft[0]);
        assert(!knew[1] || knowsLeft[1]);
        knew[0] = knowsLeft[0];
        knew[1] = knowsLeft[1]
#endif
    }
    od
}
