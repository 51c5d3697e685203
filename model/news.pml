/* News of the store: one instance follows it and tells another one, in ticks of time. The store takes
 * up to two changes; to the instance that tells it may be silent at any time and for as long as it
 * likes, that instance may freeze at any time, and any datagram may be lost.
 *
 * Property P_IN_TIME: the other one, which reaches the store all the while, knows each change at the
 * latest BOUND ticks after the store took it. See docs/MODEL.md.
 */
#define BOUND 6
#define TRUST 4 /* ticks for which a confirmation counts: BOUND less one call, and one tick to notice */
#define CAP 8   /* ages are not told apart beyond it */

#define older(age) age = (age < CAP -> age + 1 : CAP)

byte revision = 0;
byte firstAge = 0;  /* since the store took the first change */
byte secondAge = 0;

/* The instance that tells. */
bool isSilent = false; /* the store takes its watch and does not answer */
bool isFrozen = false;
byte tellerKnows = 0;
byte tellerSince = 0; /* it repeats what came after this revision */
byte tellerAge = 0;   /* of its last confirmation */

/* The other one. */
byte knows = 0;
byte age = 0;
bool hasFirst = false;
bool hasSecond = false;
bool mustAsk = false;
bool isAsking = false;

inline passTime()
{
    if
    :: revision >= 1 -> older(firstAge)
    :: else
    fi;
    if
    :: revision >= 2 -> older(secondAge)
    :: else
    fi;
    older(age);
#ifdef NO_CLOCK_THAT_COUNTS_ON
    if
    :: !isFrozen -> older(tellerAge)
    :: else
    fi
#else
    older(tellerAge)
#endif
}

inline changeStore()
{
    if
    :: revision < 2 -> revision++
    :: true
    fi;
    if
    :: isSilent = true
    :: isSilent = false
    fi;
    if
    :: isFrozen = true
    :: isFrozen = false
    fi
}

/* A change is heard at once; that there is none, only at the end of a watch. What it tells again may
 * go back to the change before, or not. */
inline follow()
{
    if
    :: !isFrozen && !isSilent && tellerKnows < revision ->
        if
        :: tellerSince = tellerKnows
        :: tellerSince = revision
        :: true
        fi;
        tellerKnows = revision;
        tellerAge = 0
    :: !isFrozen && !isSilent && tellerKnows == revision -> tellerAge = 0
    :: true
    fi
}

inline take(since, upTo)
{
    hasFirst = hasFirst || (since < 1 && upTo >= 1);
    hasSecond = hasSecond || (since < 2 && upTo >= 2);
    knows = upTo
}

inline hear()
{
    if
#ifdef NO_HOLE_CHECK
    :: tellerKnows >= knows ->
#else
    :: tellerKnows >= knows && tellerSince > knows -> mustAsk = true
    :: tellerKnows >= knows && tellerSince <= knows ->
#endif
        take(tellerSince, tellerKnows);
#ifdef NO_AGE
        age = 0
#else
        age = (tellerAge < age -> tellerAge : age)
#endif
    :: tellerKnows < knows
    fi
}

inline tell()
{
    if
    :: !isFrozen -> hear()
    :: true /* lost, or frozen */
    fi
}

/* An own call is answered within a tick. */
inline ask()
{
    if
    :: isAsking ->
        take(0, revision);
        age = 0;
        isAsking = false
    :: !isAsking && (mustAsk || age >= TRUST) ->
        isAsking = true;
        mustAsk = false
    :: else
    fi
}

active proctype time()
{
    do
    :: atomic {
        passTime();
        changeStore();
        follow();
        tell();
        ask();
#ifdef P_IN_TIME
        assert(firstAge <= BOUND || hasFirst);
        assert(secondAge <= BOUND || hasSecond)
#endif
    }
    od
}
