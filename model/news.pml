/* Updates from the store: a relay watches the store and sends updates to another instance, the
 * receiver. Time passes in ticks. The store takes up to two changes. It may stop answering the
 * relay at any time and for any duration, the relay may freeze at any time, and any datagram may be
 * lost.
 *
 * Property P_IN_TIME: the receiver, which can always reach the store, knows each change at most
 * BOUND ticks after the store took it. See docs/MODEL.md.
 */
#define BOUND 6
/* How long a confirmation is valid: BOUND, minus one tick for a call and one to notice that it has
 * expired. */
#define TRUST_TICKS 4
#define MAX_AGE 8 /* older ages count as this one */

#define increaseAge(age) age = (age < MAX_AGE -> age + 1 : MAX_AGE)

byte revision = 0;
byte firstAge = 0;  /* ticks since the store took the first change */
byte secondAge = 0; /* ticks since it took the second change */

/* The relay. */
bool isStoreSilent = false; /* the store accepts the relay's watch but does not answer */
bool isRelayFrozen = false;
byte relayRevision = 0;
byte relaySince = 0; /* its updates contain all changes after this revision */
byte relayAge = 0;   /* of the store's last confirmation to it */

/* The receiver. */
byte knownRevision = 0;
byte age = 0; /* of the last confirmation that it knows of */
bool knowsFirst = false;
bool knowsSecond = false;
bool needsRead = false;
bool isReading = false;

inline advanceTime()
{
    if
    :: revision >= 1 -> increaseAge(firstAge)
    :: else
    fi;
    if
    :: revision >= 2 -> increaseAge(secondAge)
    :: else
    fi;
    increaseAge(age);
#ifdef NO_CLOCK_THAT_COUNTS_ON
    if
    :: !isRelayFrozen -> increaseAge(relayAge)
    :: else
    fi
#else
    increaseAge(relayAge)
#endif
}

inline changeStore()
{
    if
    :: revision < 2 -> revision++
    :: true
    fi;
    if
    :: isStoreSilent = true
    :: isStoreSilent = false
    fi;
    if
    :: isRelayFrozen = true
    :: isRelayFrozen = false
    fi
}

/* A watch returns a change immediately; it confirms that there is none only when it ends. The
 * relay's updates may or may not include the change before the last one. */
inline watchStore()
{
    if
    :: !isRelayFrozen && !isStoreSilent && relayRevision < revision ->
        if
        :: relaySince = relayRevision
        :: relaySince = revision
        :: true
        fi;
        relayRevision = revision;
        relayAge = 0
    :: !isRelayFrozen && !isStoreSilent && relayRevision == revision -> relayAge = 0
    :: true
    fi
}

inline applyChanges(since, upTo)
{
    knowsFirst = knowsFirst || (since < 1 && upTo >= 1);
    knowsSecond = knowsSecond || (since < 2 && upTo >= 2);
    knownRevision = upTo
}

inline receiveUpdate()
{
    if
#ifdef NO_HOLE_CHECK
    :: relayRevision >= knownRevision ->
#else
    :: relayRevision >= knownRevision && relaySince > knownRevision -> needsRead = true
    :: relayRevision >= knownRevision && relaySince <= knownRevision ->
#endif
        applyChanges(relaySince, relayRevision);
#ifdef NO_AGE
        age = 0
#else
        age = (relayAge < age -> relayAge : age)
#endif
    :: relayRevision < knownRevision
    fi
}

inline sendUpdate()
{
    if
    :: !isRelayFrozen -> receiveUpdate()
    :: true /* the datagram is lost, or the relay is frozen */
    fi
}

/* The receiver's own call to the store is answered within a tick. */
inline readStore()
{
    if
    :: isReading ->
        applyChanges(0, revision);
        age = 0;
        isReading = false
    :: !isReading && (needsRead || age >= TRUST_TICKS) ->
        isReading = true;
        needsRead = false
    :: else
    fi
}

active proctype time()
{
    do
    :: atomic {
        advanceTime();
        changeStore();
        watchStore();
        sendUpdate();
        readStore();
#ifdef P_IN_TIME
        assert(firstAge <= BOUND || knowsFirst);
        assert(secondAge <= BOUND || knowsSecond)
#endif
    }
    od
}
