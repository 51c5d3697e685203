/* The report of one window: instances that count differently, a store that loses answers and
 * carries writes out late, a platform that gets reports late and more than once.
 *
 * Each instance may at any time read the note, write one under the condition that nobody has
 * written since, and send what it has noted; it may stop between two steps and begin anew, which
 * stands for its end, a freeze, and the loss of the duty alike. That two holders are apart in time
 * is not needed for this property, and not modelled: the lease's own tests show it.
 * Property: P_ONE_REPORT, the platform never takes two reports of the window that differ.
 */
#define INSTANCES 2
#define MAXWRITES 3

byte note = 0;     /* counts that stand in the store, as the number of who counted; 0: none */
byte version = 0;  /* of the note */
byte taken = 0;    /* the first report that the platform took */
bool differs = false;

/* A write of each instance that is on its way, and what it was made of. */
bool lateIs[INSTANCES];
byte lateNote[INSTANCES];
byte lateVersion[INSTANCES];

/* A report of each instance that is on its way. */
byte sentNote[INSTANCES];

inline writeNow(value, seen, done)
{
#ifdef NO_CONDITIONAL_WRITE
    done = version < MAXWRITES;
#else
    done = seen == version && version < MAXWRITES;
#endif
    if
    :: done -> note = value; version++
    :: else -> skip
    fi
}

inline arrive(value)
{
    if
    :: taken == 0 -> taken = value
    :: taken != 0 && taken != value -> differs = true
    :: else -> skip
    fi
}

proctype instance(byte me)
{
    byte seenNote;
    byte seenVersion;
    byte mine;
    bool done;

begin:
    atomic { seenNote = note; seenVersion = version; done = false; mine = 0 };
    if
    :: seenNote != 0 -> mine = seenNote
    :: else -> mine = me + 1
    fi;
#ifdef NO_NOTE_FIRST
    sentNote[me] = mine;
#endif
    if
    :: atomic { !lateIs[me] -> lateIs[me] = true; lateNote[me] = mine;
                lateVersion[me] = seenVersion };
       goto begin                     /* no answer: it is carried out later, or never */
    :: atomic { writeNow(mine, seenVersion, done) }
    :: goto begin
    fi;
    if
    :: !done -> goto begin
    :: done -> goto begin             /* its answer is lost, or the instance ends */
    :: done -> sentNote[me] = mine
    fi;
    goto begin
}

/* What is on its way arrives at any time; reports more than once. */
proctype network()
{
    byte i;
    bool done;
    do
    :: i = 0;
       do
       :: i < INSTANCES - 1 -> i++
       :: break
       od;
       if
       :: atomic { lateIs[i] -> writeNow(lateNote[i], lateVersion[i], done); lateIs[i] = false;
                   lateNote[i] = 0; lateVersion[i] = 0; done = false }
       :: atomic { sentNote[i] != 0 -> arrive(sentNote[i]) }
       :: atomic { sentNote[i] != 0 -> sentNote[i] = 0 }
       :: else -> skip
       fi;
       i = 0;
#ifdef P_ONE_REPORT
       assert(!differs)
#endif
    od
}

init
{
    atomic {
        byte i = 0;
        do
        :: i < INSTANCES -> run instance(i); i++
        :: else -> break
        od;
        run network()
    }
}
