/*
 * Configuration documents between entries and the agents that keep them: the
 * store brings new versions to one entry, the other one cannot read it; frames
 * wait between being asked for and leaving, and entries restart. A document is
 * the number of the version that it truly holds. docs/MODEL.md maps the steps
 * to functions.
 */

#define NE 2
/* One keeper that both entries know is enough for what is checked: documents mix at it. */
#define NA 1
#ifndef MAX_VERSION
#define MAX_VERSION 3
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 1
#endif

byte store, restarts;

/* An entry's document in force, as it truly is, and the highest of its process. */
byte inForce[NE], highest[NE];
/* What an agent holds: the version that it was told, and the document. */
byte heldVersion[NA], heldDocument[NA];

/* A frame that was asked for, with the document of that moment; by entry and agent. */
#define AT(e, a) ((e) * NA + (a))
bool dueToAgent[NE * NA], dueToEntry[NE * NA];
byte askedToAgent[NE * NA], askedToEntry[NE * NA];
/* A frame on its way: version and document; 0 for none. */
byte versionToAgent[NE * NA], documentToAgent[NE * NA];
byte versionToEntry[NE * NA], documentToEntry[NE * NA];

/* The document that leaves: that of the moment, or, without the guard, the one asked for. */
#ifdef NO_FILLED_AS_IT_LEAVES
#define LEAVING(asked, now) (asked)
#else
#define LEAVING(asked, now) (now)
#endif

/* What comes from a peer is taken if it is newer. */
#ifdef NO_NEWER_ONLY
#define IS_TAKEN(version, own) (true)
#else
#define IS_TAKEN(version, own) ((version) > (own))
#endif

inline take (e, document) {
  inForce[e] = document;
  assert(inForce[e] >= highest[e]);
  highest[e] = inForce[e]
}

active proctype operator () {
  do
  :: store < MAX_VERSION -> store++
  :: else -> break
  od
}

proctype entry (byte e) {
  byte a;
  do
  /* ConfigSource: the first entry reads the store. */
  :: atomic { e == 0 && store > inForce[e] -> take(e, store) }
  /* ConfigExchange.sendToNext */
  :: atomic { inForce[e] > 0 -> select(a : 0 .. NA - 1); if :: !dueToAgent[AT(e, a)] -> dueToAgent[AT(e, a)] = true; askedToAgent[AT(e, a)] = inForce[e] :: else fi }
  /* ConfigExchange.askNext, and HostSessions.onConfig at once: the agent owes its document. */
  :: atomic { select(a : 0 .. NA - 1); if :: !dueToEntry[AT(e, a)] && heldVersion[a] > inForce[e] -> dueToEntry[AT(e, a)] = true; askedToEntry[AT(e, a)] = heldDocument[a] :: else fi }
  /* ConfigExchange.stamp */
  :: atomic { select(a : 0 .. NA - 1); if :: dueToAgent[AT(e, a)] && versionToAgent[AT(e, a)] == 0 -> dueToAgent[AT(e, a)] = false; versionToAgent[AT(e, a)] = inForce[e]; documentToAgent[AT(e, a)] = LEAVING(askedToAgent[AT(e, a)], inForce[e]) :: else fi }
  /* ConfigExchange.onFrame */
  :: atomic { select(a : 0 .. NA - 1); if
       :: versionToEntry[AT(e, a)] > 0 && IS_TAKEN(versionToEntry[AT(e, a)], inForce[e]) -> take(e, documentToEntry[AT(e, a)]); versionToEntry[AT(e, a)] = 0
       :: versionToEntry[AT(e, a)] > 0 && !IS_TAKEN(versionToEntry[AT(e, a)], inForce[e]) -> versionToEntry[AT(e, a)] = 0
       :: else fi }
  /* The process ends with its sessions; another one begins. */
  :: atomic { restarts < MAX_RESTARTS -> restarts++; inForce[e] = 0; highest[e] = 0;
       for (a : 0 .. NA - 1) { dueToAgent[AT(e, a)] = false; dueToEntry[AT(e, a)] = false; versionToAgent[AT(e, a)] = 0; versionToEntry[AT(e, a)] = 0 };
       a = 0 }
  od
}

proctype agent (byte a) {
  byte e;
  do
  /* HostSessions.onConfig */
  :: atomic { select(e : 0 .. NE - 1); if :: versionToAgent[AT(e, a)] > 0 ->
       if :: versionToAgent[AT(e, a)] > heldVersion[a] -> heldVersion[a] = versionToAgent[AT(e, a)]; heldDocument[a] = documentToAgent[AT(e, a)] :: else fi;
       versionToAgent[AT(e, a)] = 0;
       /* An entry that was given this document would take it for the version it is told. */
       assert(heldDocument[a] == heldVersion[a]) :: else fi }
  /* HostSessions.stamp */
  :: atomic { select(e : 0 .. NE - 1); if :: dueToEntry[AT(e, a)] && versionToEntry[AT(e, a)] == 0 -> dueToEntry[AT(e, a)] = false;
       versionToEntry[AT(e, a)] = heldVersion[a]; documentToEntry[AT(e, a)] = LEAVING(askedToEntry[AT(e, a)], heldDocument[a]) :: else fi }
  od
}

init { atomic { run entry(0); run entry(1); run agent(0) } }
