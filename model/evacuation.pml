/*
 * Evacuations of one zone: the operator's row is written, removed and written
 * again; entries read the store by changes or in full, or cannot read it; they
 * and agents pass the list on; both restart and forget. One agent stands in the
 * zone, one outside it. docs/MODEL.md maps the steps to functions.
 */

#define NE 2
#define NA 2
#ifndef MAX_VERSION
#define MAX_VERSION 2
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 1
#endif

/* The store: its version, and whether the zone was evacuated at each. */
byte storeVersion;
bool isEvacuatedAt[MAX_VERSION + 1];

/* What a process has: the version of its list, and the list. 0 for nothing. */
byte entryVersion[NE], agentVersion[NA];
bool entryList[NE], agentList[NA];

/* A frame on its way from an entry to an agent: the list, if any, and a start with what its entry knew. */
bool isFrameOut[NE * NA], hasList[NE * NA], hasStart[NE * NA], frameList[NE * NA];
byte frameVersion[NE * NA], placedBy[NE * NA];
/* The version that the agent has by now, as its entry believes on this session. */
byte believed[NE * NA];

byte restarts;

inline check(version, list) { assert(list == isEvacuatedAt[version]) }

/* Nobody goes back to older news. */
inline take(version, list, myVersion, myList) {
  if
#ifdef NO_NEWER_ONLY
  :: version != myVersion ->
#else
  :: version > myVersion ->
#endif
     assert(version > myVersion);
     myVersion = version;
     myList = list;
     check(myVersion, myList)
  :: else
  fi
}

proctype Operator() {
  do
  :: atomic {
       storeVersion < MAX_VERSION -> storeVersion++;
       isEvacuatedAt[storeVersion] = !isEvacuatedAt[storeVersion - 1]
     }
  :: atomic { storeVersion < MAX_VERSION -> storeVersion++; isEvacuatedAt[storeVersion] = isEvacuatedAt[storeVersion - 1] }
  :: break
  od
}

/* Entry 1 may never read the store: it is turned away. */
proctype Entry(byte e) {
  byte a, l, seen;
  bool seenList;
  do
  /* A read is answered as of its version, and read later. */
  :: atomic { storeVersion > 0 -> seen = storeVersion; seenList = isEvacuatedAt[seen] };
#ifdef NO_VERSION_OF_ITS_OWN
     /* The list is told with the version that is newest when the answer is read. */
     atomic { seen = storeVersion; take(seen, seenList, entryVersion[e], entryList[e]); seen = 0; seenList = false }
#else
     atomic { take(seen, seenList, entryVersion[e], entryList[e]); seen = 0; seenList = false }
#endif
  /* A frame leaves; with a start only if the entry's list allows one in the zone (agent 0). */
  :: atomic {
       if :: a = 0 :: a = 1 fi;
       l = e * NA + a;
       if
       :: !isFrameOut[l] ->
          isFrameOut[l] = true;
          if
#ifndef NO_LIST_WITH_STARTS
          :: believed[l] < entryVersion[e] ->
             hasList[l] = true; frameVersion[l] = entryVersion[e]; frameList[l] = entryList[e]; believed[l] = entryVersion[e]
#endif
          :: else
          fi;
          if
          :: a == 0 && !entryList[e] -> hasStart[l] = true; placedBy[l] = entryVersion[e]
          :: true
          fi
       :: else
       fi;
       a = 0; l = 0
     }
  :: atomic {
       restarts < MAX_RESTARTS -> restarts++;
       entryVersion[e] = 0; entryList[e] = false;
       for (a : 0 .. NA - 1) {
         l = e * NA + a;
         isFrameOut[l] = false; hasList[l] = false; hasStart[l] = false; frameVersion[l] = 0; frameList[l] = false; placedBy[l] = 0;
         believed[l] = 0
       }
       a = 0; l = 0
     }
  od
}

proctype Agent(byte a) {
  byte e, l;
  do
  /* A frame is read: its list first, then its start. */
  :: atomic {
       if :: e = 0 :: e = 1 fi;
       l = e * NA + a;
       if
       :: isFrameOut[l] ->
          if
          :: hasList[l] -> take(frameVersion[l], frameList[l], agentVersion[a], agentList[a])
          :: else
          fi;
          if
#ifdef NO_OWN_CHECK
          :: hasStart[l] ->
#else
          :: hasStart[l] && !agentList[a] ->
#endif
             /* A start begins: the agent knows at least what its entry knew, and nothing it knows forbids it. */
             assert(agentVersion[a] >= placedBy[l]);
             assert(!isEvacuatedAt[agentVersion[a]])
          :: else
          fi;
          isFrameOut[l] = false; hasList[l] = false; hasStart[l] = false; frameVersion[l] = 0; frameList[l] = false; placedBy[l] = 0
       :: else
       fi;
       e = 0; l = 0
     }
  /* A frame of the agent tells its list to an entry. */
  :: atomic {
       if :: e = 0 :: e = 1 fi;
       if
       :: agentVersion[a] > 0 -> take(agentVersion[a], agentList[a], entryVersion[e], entryList[e])
       :: else
       fi;
       e = 0
     }
  /* Its process restarts: its sessions end, and nothing on its way arrives. */
  :: atomic {
       restarts < MAX_RESTARTS -> restarts++;
       agentVersion[a] = 0; agentList[a] = false;
       for (e : 0 .. NE - 1) {
         l = e * NA + a;
         isFrameOut[l] = false; hasList[l] = false; hasStart[l] = false; frameVersion[l] = 0; frameList[l] = false; placedBy[l] = 0;
#ifndef NO_FORGET_WITH_SESSION
         believed[l] = 0
#endif
       }
       e = 0; l = 0
     }
  od
}

init {
  atomic {
    run Operator();
    run Entry(0); run Entry(1);
    run Agent(0); run Agent(1)
  }
}
