/*
 * Exchange of configuration documents between entries and replicas (agents that
 * store a copy): one entry reads new versions from the store, the other one cannot.
 * A frame that is due is sent some time later, and entries restart. A document is
 * represented by the number of the version whose contents it has. docs/MODEL.md
 * maps the steps to functions.
 */

#define NE 2
/* One replica shared by both entries is enough: it is where documents and versions of different entries can be mixed up. */
#define NA 1
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 1
#endif

byte storeVersion, restartCount;

/* An entry's document in force, and the highest one that was in force in this process. */
byte inForce[NE], highestInForce[NE];
/* An agent's copy: the version that was reported to it, and the document. */
byte replicaVersion[NA], replicaDocument[NA];

/* A frame that is due, with the document at the time when it became due; by entry and agent. */
#define PAIR(e, a) ((e) * NA + (a))
bool isFrameToAgentDue[NE * NA], isFrameToEntryDue[NE * NA];
byte documentWhenDueToAgent[NE * NA], documentWhenDueToEntry[NE * NA];
/* A frame in transit: version and document; 0 for none. */
byte versionToAgent[NE * NA], documentToAgent[NE * NA];
byte versionToEntry[NE * NA], documentToEntry[NE * NA];

/* The document that is sent: the current one or, without the guard, the one at the time when the frame became due. */
#ifdef NO_FILLED_AS_IT_LEAVES
#define SENT_DOCUMENT(whenDue, current) (whenDue)
#else
#define SENT_DOCUMENT(whenDue, current) (current)
#endif

/* A document from a peer is adopted if it is newer. */
#ifdef NO_NEWER_ONLY
#define IS_ADOPTED(version, own) (true)
#else
#define IS_ADOPTED(version, own) ((version) > (own))
#endif

inline adopt (e, document) {
  inForce[e] = document;
  assert(inForce[e] >= highestInForce[e]);
  highestInForce[e] = inForce[e]
}

active proctype operator () {
  do
  :: storeVersion < MAX_VERSION -> storeVersion++
  :: else -> break
  od
}

proctype entry (byte e) {
  byte a;
  do
  /* ConfigSource: the first entry reads the store. */
  :: atomic { e == 0 && storeVersion > inForce[e] -> adopt(e, storeVersion) }
  /* ConfigExchange.sendToNextReplica */
  :: atomic { inForce[e] > 0 -> select(a : 0 .. NA - 1); if :: !isFrameToAgentDue[PAIR(e, a)] -> isFrameToAgentDue[PAIR(e, a)] = true; documentWhenDueToAgent[PAIR(e, a)] = inForce[e] :: else fi }
  /* ConfigExchange.requestFromNext, and HostSessions.onConfig at once: the agent's document is due. */
  :: atomic { select(a : 0 .. NA - 1); if :: !isFrameToEntryDue[PAIR(e, a)] && replicaVersion[a] > inForce[e] -> isFrameToEntryDue[PAIR(e, a)] = true; documentWhenDueToEntry[PAIR(e, a)] = replicaDocument[a] :: else fi }
  /* ConfigExchange.fillFrame */
  :: atomic { select(a : 0 .. NA - 1); if :: isFrameToAgentDue[PAIR(e, a)] && versionToAgent[PAIR(e, a)] == 0 -> isFrameToAgentDue[PAIR(e, a)] = false; versionToAgent[PAIR(e, a)] = inForce[e]; documentToAgent[PAIR(e, a)] = SENT_DOCUMENT(documentWhenDueToAgent[PAIR(e, a)], inForce[e]) :: else fi }
  /* ConfigExchange.onFrame */
  :: atomic { select(a : 0 .. NA - 1); if
       :: versionToEntry[PAIR(e, a)] > 0 && IS_ADOPTED(versionToEntry[PAIR(e, a)], inForce[e]) -> adopt(e, documentToEntry[PAIR(e, a)]); versionToEntry[PAIR(e, a)] = 0
       :: versionToEntry[PAIR(e, a)] > 0 && !IS_ADOPTED(versionToEntry[PAIR(e, a)], inForce[e]) -> versionToEntry[PAIR(e, a)] = 0
       :: else fi }
  /* The process and its sessions end; a new process starts. */
  :: atomic { restartCount < MAX_RESTARTS -> restartCount++; inForce[e] = 0; highestInForce[e] = 0;
       for (a : 0 .. NA - 1) { isFrameToAgentDue[PAIR(e, a)] = false; isFrameToEntryDue[PAIR(e, a)] = false; versionToAgent[PAIR(e, a)] = 0; versionToEntry[PAIR(e, a)] = 0 };
       a = 0 }
  od
}

proctype agent (byte a) {
  byte e;
  do
  /* HostSessions.onConfig */
  :: atomic { select(e : 0 .. NE - 1); if :: versionToAgent[PAIR(e, a)] > 0 ->
       if :: versionToAgent[PAIR(e, a)] > replicaVersion[a] -> replicaVersion[a] = versionToAgent[PAIR(e, a)]; replicaDocument[a] = documentToAgent[PAIR(e, a)] :: else fi;
       versionToAgent[PAIR(e, a)] = 0;
       /* An entry that received this document would treat it as the version reported with it. */
       assert(replicaDocument[a] == replicaVersion[a]) :: else fi }
  /* HostSessions.fillFrame */
  :: atomic { select(e : 0 .. NE - 1); if :: isFrameToEntryDue[PAIR(e, a)] && versionToEntry[PAIR(e, a)] == 0 -> isFrameToEntryDue[PAIR(e, a)] = false;
       versionToEntry[PAIR(e, a)] = replicaVersion[a]; documentToEntry[PAIR(e, a)] = SENT_DOCUMENT(documentWhenDueToEntry[PAIR(e, a)], replicaDocument[a]) :: else fi }
  od
}

init { atomic { run entry(0); run entry(1); run agent(0) } }
