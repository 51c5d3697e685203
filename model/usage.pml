/* The usage report of one window: instances whose counts differ, a store that may lose replies and
 * delay writes, and a platform that may receive reports late and more than once.
 *
 * At any time an instance may read the checkpoint, write one on the condition that it has not been
 * written since, and send the report that is in the checkpoint. It may stop between two steps and
 * start again, which covers its end, a freeze and the loss of the duty. The property does not need
 * the terms of two lease holders to be disjoint, so this is not modelled; the tests of the lease
 * check it.
 * Property P_ONE_REPORT: the platform never accepts two different reports of the window.
 */
#define INSTANCES 2
#define MAXWRITES 3

byte checkpoint = 0;     /* in the store: the counts, as 1 + the instance that counted; 0: none */
byte version = 0;        /* of the checkpoint */
byte acceptedReport = 0; /* the first report that the platform accepted; 0: none */
bool hasConflict = false;

/* A delayed write of each instance: its checkpoint and the version that it expects. */
bool isWriteDelayed[INSTANCES];
byte delayedCheckpoint[INSTANCES];
byte delayedVersion[INSTANCES];

/* A report of each instance in flight; 0: none. */
byte sentReport[INSTANCES];

inline tryWrite(value, expectedVersion, isWritten)
{
#ifdef NO_CONDITIONAL_WRITE
    isWritten = version < MAXWRITES;
#else
    isWritten = expectedVersion == version && version < MAXWRITES;
#endif
    if
    :: isWritten -> checkpoint = value; version++
    :: else -> skip
    fi
}

inline receiveReport(value)
{
    if
    :: acceptedReport == 0 -> acceptedReport = value
    :: acceptedReport != 0 && acceptedReport != value -> hasConflict = true
    :: else -> skip
    fi
}

proctype instance(byte me)
{
    byte readCheckpoint;
    byte readVersion;
    byte ownCheckpoint;
    bool isWritten;

restart:
    atomic { readCheckpoint = checkpoint; readVersion = version; isWritten = false;
             ownCheckpoint = 0 };
    if
    :: readCheckpoint != 0 -> ownCheckpoint = readCheckpoint
    :: else -> ownCheckpoint = me + 1
    fi;
#ifdef NO_NOTE_FIRST
    sentReport[me] = ownCheckpoint;
#endif
    if
    :: atomic { !isWriteDelayed[me] -> isWriteDelayed[me] = true;
                delayedCheckpoint[me] = ownCheckpoint;
                delayedVersion[me] = readVersion };
       goto restart                     /* no reply: it takes effect later, or never */
    :: atomic { tryWrite(ownCheckpoint, readVersion, isWritten) }
    :: goto restart
    fi;
    if
    :: !isWritten -> goto restart
    :: isWritten -> goto restart             /* the reply is lost, or the instance ends */
    :: isWritten -> sentReport[me] = ownCheckpoint
    fi;
    goto restart
}

/* Delayed writes and reports arrive at any time, reports possibly more than once. */
proctype network()
{
    byte i;
    bool isWritten;
    do
    :: i = 0;
       do
       :: i < INSTANCES - 1 -> i++
       :: break
       od;
       if
       :: atomic { isWriteDelayed[i] ->
                   tryWrite(delayedCheckpoint[i], delayedVersion[i], isWritten);
                   isWriteDelayed[i] = false;
                   delayedCheckpoint[i] = 0; delayedVersion[i] = 0; isWritten = false }
       :: atomic { sentReport[i] != 0 -> receiveReport(sentReport[i]) }
       :: atomic { sentReport[i] != 0 -> sentReport[i] = 0 }
       :: else -> skip
       fi;
       i = 0;
#ifdef P_ONE_REPORT
       assert(!hasConflict)
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
