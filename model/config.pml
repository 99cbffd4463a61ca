/*
 * Changes of the configuration: two operators change one record concurrently
 * through two entries. Acknowledgements are lost, writes are delayed, and entries
 * restart. Versions are small numbers. docs/MODEL.md maps the steps to functions.
 */

#define NE 2
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#ifndef MAX_LOST_ACKS
#define MAX_LOST_ACKS 2
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 1
#endif

/* The table: head, the record with the operation that wrote it, and the history. */
byte head, recordVersion, recordOp;
byte history[MAX_VERSION + 2]; /* the operation that was accepted at a version */

/* A transaction that reaches the table late, by entry. */
bool isWriteDelayed[NE];
byte delayedHead[NE], delayedRecord[NE], delayedOp[NE];

/* The version in force at an entry, and the highest one that ever was. */
byte inForce[NE], highestInForce[NE];
byte acceptedReported;        /* the highest version that was reported to an operator as accepted */
bool refusalReported[NE + 1]; /* operations that were reported as refused because of another change */
byte lostAckCount, restartCount;

#ifndef NO_HISTORY_CHECK
#define KNOWN_ACCEPTED (inDoubtVersion != 0 && history[inDoubtVersion] == op)
#else
#define KNOWN_ACCEPTED false
#endif

/* Writes head, record and history in one transaction, on condition of the versions that were read. */
inline apply(readHead, readRecord, op) {
#ifndef NO_HEAD_CONDITION
  if
  :: head == readHead && recordVersion == readRecord ->
#else
  if
  :: recordVersion == readRecord ->
#endif
     head = readHead + 1;
     recordVersion = readHead + 1;
     recordOp = op;
     assert(!refusalReported[op]);
     assert(history[readHead + 1] == 0);
     history[readHead + 1] = op
  :: else
  fi
}

/* Reports to an operator that another change came first: this one must not have taken effect and must never do so. */
inline reportRefused(op) {
  refusalReported[op] = true;
  byte v;
  for (v : 1 .. MAX_VERSION + 1) { assert(history[v] != op) }
  v = 0
}

/* Other records change, which moves the head. */
proctype OtherChanges() {
  do
  :: atomic { head < MAX_VERSION - 1 -> head++; history[head] = 9 }
  :: break
  od
}

proctype Network() {
  byte e;
  do
  :: atomic {
       isWriteDelayed[0] || isWriteDelayed[1] ->
       if :: isWriteDelayed[0] -> e = 0 :: isWriteDelayed[1] -> e = 1 fi;
       isWriteDelayed[e] = false;
       apply(delayedHead[e], delayedRecord[e], delayedOp[e]);
       e = 0
     }
  od
}

/* An operator submits one change through an entry, based on the version that the operator has read. */
proctype Put(byte e) {
  byte op = e + 1, base, readHead, readRecord, readOp, inDoubtVersion;

  base = recordVersion;

again:
  atomic { readHead = head; readRecord = recordVersion; readOp = recordOp };
  if
  :: readOp == op -> goto accepted
  :: readOp != op && KNOWN_ACCEPTED -> goto accepted
  :: readOp != op && readRecord != base && !KNOWN_ACCEPTED -> atomic { reportRefused(op); goto end }
  :: else
  fi;
  if
  :: readHead >= MAX_VERSION -> goto end
  :: else
  fi;
  if
  :: atomic {
       if
       :: head == readHead && recordVersion == readRecord -> apply(readHead, readRecord, op); goto accepted
       :: else -> goto again
       fi
     }
  :: atomic { lostAckCount < MAX_LOST_ACKS -> lostAckCount++; apply(readHead, readRecord, op); inDoubtVersion = readHead + 1; goto again }
  :: atomic {
       !isWriteDelayed[e] && lostAckCount < MAX_LOST_ACKS -> lostAckCount++;
       isWriteDelayed[e] = true; delayedHead[e] = readHead; delayedRecord[e] = readRecord; delayedOp[e] = op; inDoubtVersion = readHead + 1; goto again
     }
  fi;

accepted:
  atomic {
    if
    :: recordOp == op && recordVersion > acceptedReported -> acceptedReported = recordVersion
    :: else
    fi;
    /* An accepted operation is reported as accepted and never as refused. */
    assert(!refusalReported[op])
  };
end:
  atomic { base = 0; readHead = 0; readRecord = 0; readOp = 0; inDoubtVersion = 0 }
}

/* An entry's watch: it reads the head and then the changes, in two steps; other processes may act in between. */
proctype Watch(byte e) {
  byte headVersion;
  do
  :: atomic { headVersion = head };
     /* The changes up to the head that was read are applied, higher versions only. */
     atomic {
       if
       :: headVersion > inForce[e] -> inForce[e] = headVersion
#ifdef NO_HIGHER_ONLY
       :: headVersion <= inForce[e] -> inForce[e] = headVersion
#else
       :: else
#endif
       fi;
       assert(inForce[e] >= highestInForce[e]);
       highestInForce[e] = inForce[e];
       headVersion = 0
     }
  /* The process restarts; it serves only after it has read the whole configuration. */
  :: atomic {
       restartCount < MAX_RESTARTS -> restartCount++;
#ifdef NO_READ_BEFORE_READY
       inForce[e] = 0;
#else
       inForce[e] = head;
#endif
       assert(inForce[e] >= highestInForce[e]);
       highestInForce[e] = inForce[e]
     }
  od
}

/* A peer reports a new version; the entry reads it, concurrently with its own watch. */
proctype Notified(byte e) {
  do
  :: atomic { head > inForce[e] -> inForce[e] = head; highestInForce[e] = inForce[e] }
  od
}

init {
  atomic {
    run OtherChanges(); run Network();
    run Put(0); run Put(1);
    run Watch(0); run Notified(0); run Watch(1)
  }
}

/* An accepted change never reverts. */
#define NEVER_REVERTS (recordVersion >= acceptedReported && head >= recordVersion)
active proctype Monitor() {
end_monitor:
  atomic { !NEVER_REVERTS -> assert(false) }
}
