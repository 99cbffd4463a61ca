/*
 * The configuration: two operators race at two entries, acknowledgements get
 * lost, writes are held up, entries restart. One record; versions are small
 * numbers. docs/MODEL.md maps the steps to functions.
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
byte history[MAX_VERSION + 2];    /* operation that was accepted at a version */

/* A transaction held up on its way, by entry. */
bool late[NE];
byte lateHead[NE], lateRecord[NE], lateOp[NE];

/* What an entry has in force, and the highest that it ever had. */
byte inForce[NE], highest[NE];
byte acceptedTold;                /* highest version that an operator was told is accepted */
bool refusedTold[NE + 1];         /* operation that was told to have lost */
byte lostAcks, restarts;

#ifndef NO_HISTORY_CHECK
#define KNOWN_ACCEPTED (inDoubt != 0 && history[inDoubt] == op)
#else
#define KNOWN_ACCEPTED false
#endif

/* Head, record and history in one transaction, on the versions that were read. */
inline apply(seenHead, seenRecord, op) {
#ifndef NO_HEAD_CONDITION
  if
  :: head == seenHead && recordVersion == seenRecord ->
#else
  if
  :: recordVersion == seenRecord ->
#endif
     head = seenHead + 1;
     recordVersion = seenHead + 1;
     recordOp = op;
     assert(!refusedTold[op]);
     assert(history[seenHead + 1] == 0);
     history[seenHead + 1] = op
  :: else
  fi
}

/* An operator is told that a rival's change came first: nothing of this one may have taken effect, nor ever will. */
inline tellRefused(op) {
  refusedTold[op] = true;
  byte v;
  for (v : 1 .. MAX_VERSION + 1) { assert(history[v] != op) }
  v = 0
}

/* Some other record changes, and so does the head. */
proctype Others() {
  do
  :: atomic { head < MAX_VERSION - 1 -> head++; history[head] = 9 }
  :: break
  od
}

proctype Network() {
  byte e;
  do
  :: atomic {
       late[0] || late[1] ->
       if :: late[0] -> e = 0 :: late[1] -> e = 1 fi;
       late[e] = false;
       apply(lateHead[e], lateRecord[e], lateOp[e]);
       e = 0
     }
  od
}

/* An operator puts one change through an entry, made from the version that the operator saw. */
proctype Put(byte e) {
  byte op = e + 1, base, seenHead, seenRecord, seenOp, inDoubt;

  base = recordVersion;

again:
  atomic { seenHead = head; seenRecord = recordVersion; seenOp = recordOp };
  if
  :: seenOp == op -> goto accepted
  :: seenOp != op && KNOWN_ACCEPTED -> goto accepted
  :: seenOp != op && seenRecord != base && !KNOWN_ACCEPTED -> atomic { tellRefused(op); goto end }
  :: else
  fi;
  if
  :: seenHead >= MAX_VERSION -> goto end
  :: else
  fi;
  if
  :: atomic {
       if
       :: head == seenHead && recordVersion == seenRecord -> apply(seenHead, seenRecord, op); goto accepted
       :: else -> goto again
       fi
     }
  :: atomic { lostAcks < MAX_LOST_ACKS -> lostAcks++; apply(seenHead, seenRecord, op); inDoubt = seenHead + 1; goto again }
  :: atomic {
       !late[e] && lostAcks < MAX_LOST_ACKS -> lostAcks++;
       late[e] = true; lateHead[e] = seenHead; lateRecord[e] = seenRecord; lateOp[e] = op; inDoubt = seenHead + 1; goto again
     }
  fi;

accepted:
  atomic {
    if
    :: recordOp == op && recordVersion > acceptedTold -> acceptedTold = recordVersion
    :: else
    fi;
    /* An operation that was accepted is told so, and never that it lost. */
    assert(!refusedTold[op])
  };
end:
  atomic { base = 0; seenHead = 0; seenRecord = 0; seenOp = 0; inDoubt = 0 }
}

/* An entry's watch: it reads the head, then the changes, in two steps that others may come between. */
proctype Watch(byte e) {
  byte seen;
  do
  :: atomic { seen = head };
     /* The changes up to the head that was read are applied, higher versions only. */
     atomic {
       if
       :: seen > inForce[e] -> inForce[e] = seen
#ifdef NO_HIGHER_ONLY
       :: seen <= inForce[e] -> inForce[e] = seen
#else
       :: else
#endif
       fi;
       assert(inForce[e] >= highest[e]);
       highest[e] = inForce[e];
       seen = 0
     }
  /* The process restarts and serves only after it has read the whole configuration. */
  :: atomic {
       restarts < MAX_RESTARTS -> restarts++;
#ifdef NO_READ_BEFORE_READY
       inForce[e] = 0;
#else
       inForce[e] = head;
#endif
       assert(inForce[e] >= highest[e]);
       highest[e] = inForce[e]
     }
  od
}

/* A peer tells of a version; the watch reads again, at the same time as a pass of its own. */
proctype Told(byte e) {
  do
  :: atomic { head > inForce[e] -> inForce[e] = head; highest[e] = inForce[e] }
  od
}

init {
  atomic {
    run Others(); run Network();
    run Put(0); run Put(1);
    run Watch(0); run Told(0); run Watch(1)
  }
}

/* What was accepted never reverts. */
#define NEVER_REVERTS (recordVersion >= acceptedTold && head >= recordVersion)
active proctype Monitor() {
end_monitor:
  atomic { !NEVER_REVERTS -> assert(false) }
}
