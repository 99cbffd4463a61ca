/*
 * Evacuation of one zone: the operator's row is written, removed and written
 * again. Entries read the store by changes or in full, or cannot read it; entries
 * and agents forward the list to each other; both restart and lose their state.
 * Agent 0 is in the zone, agent 1 is not. docs/MODEL.md maps the steps to functions.
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

/* The list that a process has, and its version; 0 for none. */
byte entryVersion[NE], agentVersion[NA];
bool entryList[NE], agentList[NA];

/* A frame in transit from an entry to an agent: a list, if any, and a start, if any, with the version of the list by which it was placed. */
bool isFrameInTransit[NE * NA], frameHasList[NE * NA], frameHasStart[NE * NA], frameList[NE * NA];
byte frameVersion[NE * NA], placementVersion[NE * NA];
/* The version that the agent has, as far as the entry knows from this session. */
byte knownAgentVersion[NE * NA];

byte restartCount;

inline checkList(version, list) { assert(list == isEvacuatedAt[version]) }

/* A list is adopted only if it is newer. */
inline update(version, list, ownVersion, ownList) {
  if
#ifdef NO_NEWER_ONLY
  :: version != ownVersion ->
#else
  :: version > ownVersion ->
#endif
     assert(version > ownVersion);
     ownVersion = version;
     ownList = list;
     checkList(ownVersion, ownList)
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

/* Entry 1 may never read the store, because the store rejects its reads. */
proctype Entry(byte e) {
  byte a, link, readVersion;
  bool readList;
  do
  /* A read is answered as of its version; the answer is processed later. */
  :: atomic { storeVersion > 0 -> readVersion = storeVersion; readList = isEvacuatedAt[readVersion] };
#ifdef NO_VERSION_OF_ITS_OWN
     /* The list gets the version that is newest when the answer is processed. */
     atomic { readVersion = storeVersion; update(readVersion, readList, entryVersion[e], entryList[e]); readVersion = 0; readList = false }
#else
     atomic { update(readVersion, readList, entryVersion[e], entryList[e]); readVersion = 0; readList = false }
#endif
  /* A frame is sent; it has a start only if the entry's list allows one in the zone (agent 0). */
  :: atomic {
       if :: a = 0 :: a = 1 fi;
       link = e * NA + a;
       if
       :: !isFrameInTransit[link] ->
          isFrameInTransit[link] = true;
          if
#ifndef NO_LIST_WITH_STARTS
          :: knownAgentVersion[link] < entryVersion[e] ->
             frameHasList[link] = true; frameVersion[link] = entryVersion[e]; frameList[link] = entryList[e]; knownAgentVersion[link] = entryVersion[e]
#endif
          :: else
          fi;
          if
          :: a == 0 && !entryList[e] -> frameHasStart[link] = true; placementVersion[link] = entryVersion[e]
          :: true
          fi
       :: else
       fi;
       a = 0; link = 0
     }
  :: atomic {
       restartCount < MAX_RESTARTS -> restartCount++;
       entryVersion[e] = 0; entryList[e] = false;
       for (a : 0 .. NA - 1) {
         link = e * NA + a;
         isFrameInTransit[link] = false; frameHasList[link] = false; frameHasStart[link] = false; frameVersion[link] = 0; frameList[link] = false; placementVersion[link] = 0;
         knownAgentVersion[link] = 0
       }
       a = 0; link = 0
     }
  od
}

proctype Agent(byte a) {
  byte e, link;
  do
  /* A frame is processed: first its list, then its start. */
  :: atomic {
       if :: e = 0 :: e = 1 fi;
       link = e * NA + a;
       if
       :: isFrameInTransit[link] ->
          if
          :: frameHasList[link] -> update(frameVersion[link], frameList[link], agentVersion[a], agentList[a])
          :: else
          fi;
          if
#ifdef NO_OWN_CHECK
          :: frameHasStart[link] ->
#else
          :: frameHasStart[link] && !agentList[a] ->
#endif
             /* A start begins: the agent's list is at least as new as the one of the entry that sent it, and does not forbid the start. */
             assert(agentVersion[a] >= placementVersion[link]);
             assert(!isEvacuatedAt[agentVersion[a]])
          :: else
          fi;
          isFrameInTransit[link] = false; frameHasList[link] = false; frameHasStart[link] = false; frameVersion[link] = 0; frameList[link] = false; placementVersion[link] = 0
       :: else
       fi;
       e = 0; link = 0
     }
  /* A frame of the agent brings its list to an entry. */
  :: atomic {
       if :: e = 0 :: e = 1 fi;
       if
       :: agentVersion[a] > 0 -> update(agentVersion[a], agentList[a], entryVersion[e], entryList[e])
       :: else
       fi;
       e = 0
     }
  /* The process restarts: its sessions end, and frames in transit are lost. */
  :: atomic {
       restartCount < MAX_RESTARTS -> restartCount++;
       agentVersion[a] = 0; agentList[a] = false;
       for (e : 0 .. NE - 1) {
         link = e * NA + a;
         isFrameInTransit[link] = false; frameHasList[link] = false; frameHasStart[link] = false; frameVersion[link] = 0; frameList[link] = false; placementVersion[link] = 0;
#ifndef NO_FORGET_WITH_SESSION
         knownAgentVersion[link] = 0
#endif
       }
       e = 0; link = 0
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
