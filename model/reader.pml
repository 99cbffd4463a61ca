/*
 * A process that follows the operator's rows while the store is unreliable: reads
 * show the rows as they were at any earlier moment, with the newest version or an
 * old one; watches report nothing although changes were made; the history is dropped.
 * One row is only ever written (the configuration), another one is written and
 * removed (a zone's). The process reports a list of both, with a version, to an
 * agent; another process, whose reads are exact, reports to the same agent.
 * docs/MODEL.md maps the steps to functions.
 */

#ifndef MAX_VERSION
#define MAX_VERSION 5
#endif
#ifndef MAX_MISSED_WATCHES
#define MAX_MISSED_WATCHES 2
#endif
#ifndef MAX_DROPS
#define MAX_DROPS 1
#endif

/* The store: its version, and the versions of the rows at each; 0 where the zone's row was not present. */
byte storeVersion = 1;
byte configAt[MAX_VERSION + 1], zoneAt[MAX_VERSION + 1];
byte removedAt;    /* version of the last removal of the zone's row */
byte historyFloor; /* changes up to this version are dropped from the history */
byte missedWatchCount, dropCount;

/* What the process knows: the highest versions that it has seen, and whether the zone's row was removed at its version. */
byte configVersion, zoneVersion;
bool isZoneRemoved;
byte completeUpTo;   /* all changes up to this version are known */
byte watchedFrom;    /* changes after this version are watched; 0 before a read */
bool isUnconfirmed;
byte highestInForce; /* the highest configuration that was in force */

/* What the agent has. There are two list versions for each version of the store; the even one is exact. */
byte listVersion, listConfig;
bool listHasZone;

#define IS_ZONE_PRESENT (zoneVersion > 0 && !isZoneRemoved)
#define EXACT_VERSION(v) (2 * (v) + 2)

/* Reports a list that may be stale: its version is no higher than the newest row of the list or than the version up to which all changes are known. */
inline reportStale(reportedVersion) {
#ifdef NO_CLAIM_OF_ITS_OWN
  staleVersion = EXACT_VERSION(reportedVersion);
#else
  staleVersion = configVersion;
  if
  :: IS_ZONE_PRESENT && zoneVersion > staleVersion -> staleVersion = zoneVersion
  :: else
  fi;
#ifndef NO_GAP_CLAIM
  if
  :: completeUpTo < staleVersion -> staleVersion = completeUpTo
  :: else
  fi;
#endif
  staleVersion = 2 * staleVersion + 1;
#endif
  reportList(staleVersion, configVersion, IS_ZONE_PRESENT);
  staleVersion = 0
}

/* The agent adopts a list if its version is higher. One that replaces an exact list must have no older row. */
inline reportList(newVersion, newConfig, newHasZone) {
  if
  :: newVersion > listVersion ->
     if
     :: listVersion >= 4 && listVersion % 2 == 0 ->
        /* Each row is as it was at the version of the exact list or later. */
        assert(newConfig >= configAt[(listVersion - 2) / 2]);
        v = (listVersion - 2) / 2;
        do
        :: v <= storeVersion && (zoneAt[v] != 0) != newHasZone -> v++
        :: else -> break
        od;
        assert(v <= storeVersion);
        v = 0
     :: else
     fi;
     listVersion = newVersion;
     listConfig = newConfig;
     listHasZone = newHasZone
  :: else
  fi
}

inline applyConfig(version) {
  if
#ifdef NO_NEWER_ONLY
  :: version != configVersion && version > 0 -> configVersion = version
#else
  :: version > configVersion -> configVersion = version
#endif
  :: else
  fi;
  assert(configVersion >= highestInForce);
  highestInForce = configVersion
}

inline applyZone(version) {
  if
  :: version > zoneVersion -> zoneVersion = version; isZoneRemoved = false
  :: else
  fi
}

/* Marks the zone's row as removed; the row that is known must not be present in the store any more. */
inline removeZone() {
  assert(zoneAt[storeVersion] != zoneVersion);
  isZoneRemoved = true
}

/* A process whose knowledge is not marked as unconfirmed knows all rows as they were at the version from which it watches, or later. */
inline checkConfirmed() {
  if
  :: !isUnconfirmed && watchedFrom > 0 ->
     v = watchedFrom;
     do
     :: v <= storeVersion && !(configVersion == configAt[v] && zoneAt[v] == (IS_ZONE_PRESENT -> zoneVersion : 0)) -> v++
     :: else -> break
     od;
     assert(v <= storeVersion);
     v = 0
  :: else
  fi
}

proctype Operator() {
  do
  :: atomic {
       storeVersion < MAX_VERSION -> storeVersion++;
       configAt[storeVersion] = storeVersion; zoneAt[storeVersion] = zoneAt[storeVersion - 1]
     }
  :: atomic {
       storeVersion < MAX_VERSION -> storeVersion++;
       configAt[storeVersion] = configAt[storeVersion - 1];
       if
       :: zoneAt[storeVersion - 1] == 0 -> zoneAt[storeVersion] = storeVersion
       :: zoneAt[storeVersion - 1] != 0 -> zoneAt[storeVersion] = storeVersion
       :: zoneAt[storeVersion - 1] != 0 -> zoneAt[storeVersion] = 0; removedAt = storeVersion
       fi
     }
  /* A change in another table. */
  :: atomic { storeVersion < MAX_VERSION -> storeVersion++; configAt[storeVersion] = configAt[storeVersion - 1]; zoneAt[storeVersion] = zoneAt[storeVersion - 1] }
  :: atomic { dropCount < MAX_DROPS -> dropCount++; historyFloor = storeVersion }
  od
}

proctype Process() {
  byte shownVersion, reportedVersion, v, staleVersion; /* the moment that an answer shows, and the version that it reports */
  bool isZoneMissing;                                  /* the answer to a failed condition did not show the zone's row */
  bool isConditionMet, showsConfig, showsZone;

  do
  /* A read: answered as of any earlier moment, with the version of that moment or the newest one. */
  :: watchedFrom == 0 ->
     atomic {
       shownVersion = 1;
       do
       :: shownVersion < storeVersion -> shownVersion++
       :: break
       od;
       if
       :: reportedVersion = storeVersion
       :: reportedVersion = shownVersion
       fi
     };
     atomic {
       applyConfig(configAt[shownVersion]);
       applyZone(zoneAt[shownVersion]);
#ifdef NO_PROOF_OF_REMOVAL
       if
       :: zoneAt[shownVersion] == 0 && IS_ZONE_PRESENT -> removeZone()
       :: else
       fi;
#endif
       watchedFrom = reportedVersion;
#ifndef NO_DOUBT_OF_READS
       isUnconfirmed = true;
#endif
       /* The moment that the answer shows is no earlier than its newest row; a row that it lacks may have been removed by then. */
       if
#ifdef NO_MISSING_CHECK
       :: true ->
#else
       :: !IS_ZONE_PRESENT || zoneAt[shownVersion] > 0 ->
#endif
          if
          :: configAt[shownVersion] > completeUpTo -> completeUpTo = configAt[shownVersion]
          :: else
          fi;
          if
          :: zoneAt[shownVersion] > completeUpTo -> completeUpTo = zoneAt[shownVersion]
          :: else
          fi
       :: else
       fi;
       reportStale(reportedVersion);
       checkConfirmed();
       shownVersion = 0; reportedVersion = 0
     }
  /* Confirmation by conditions: they are compared at one moment, and the answer is processed later. */
  :: isUnconfirmed ->
#ifdef NO_CONDITIONS
     /* Confirms by another read instead. */
     atomic {
       shownVersion = 1;
       do
       :: shownVersion < storeVersion -> shownVersion++
       :: break
       od
     };
     atomic {
       applyConfig(configAt[shownVersion]);
       applyZone(zoneAt[shownVersion]);
       isUnconfirmed = false;
       checkConfirmed();
       shownVersion = 0
     }
#else
     atomic {
       shownVersion = storeVersion;
       isConditionMet = (configAt[storeVersion] == configVersion && zoneAt[storeVersion] == ((IS_ZONE_PRESENT && !isZoneMissing) -> zoneVersion : 0));
       /* The store's documentation does not say whether an answer also shows rows that are as expected. */
       if
       :: showsConfig = true; showsZone = (zoneAt[storeVersion] != 0)
       :: showsConfig = (configAt[storeVersion] != configVersion); showsZone = (zoneAt[storeVersion] != 0 && zoneAt[storeVersion] != ((IS_ZONE_PRESENT && !isZoneMissing) -> zoneVersion : 0))
       fi
     };
     atomic {
       if
       :: isConditionMet ->
          if
          :: isZoneMissing && IS_ZONE_PRESENT -> removeZone()
          :: else
          fi;
          isZoneMissing = false;
          isUnconfirmed = false;
          assert(IS_ZONE_PRESENT == (zoneAt[shownVersion] != 0));
          completeUpTo = shownVersion;
          reportList(EXACT_VERSION(shownVersion), configVersion, IS_ZONE_PRESENT);
          checkConfirmed()
       :: else ->
          if
          :: showsConfig -> applyConfig(configAt[shownVersion])
          :: else
          fi;
          if
          :: showsZone -> applyZone(zoneAt[shownVersion]); isZoneMissing = false
          :: !showsZone && IS_ZONE_PRESENT ->
#ifdef NO_SECOND_CONDITION
             removeZone()
#else
             isZoneMissing = true
#endif
          :: else
          fi
       fi;
       isConditionMet = false; showsConfig = false; showsZone = false; shownVersion = 0
     }
#endif
  /* A watch: it reports what changed, or nothing, or that the history was dropped. */
  :: watchedFrom > 0 ->
     atomic {
       if
       :: watchedFrom < historyFloor -> watchedFrom = 0; isUnconfirmed = true
       :: watchedFrom >= historyFloor && missedWatchCount < MAX_MISSED_WATCHES && storeVersion > watchedFrom ->
          missedWatchCount++;
          watchedFrom = storeVersion;
#ifndef NO_DOUBT_OF_SILENCE
          isUnconfirmed = true;
#endif
          checkConfirmed()
       :: watchedFrom >= historyFloor ->
          shownVersion = watchedFrom;
          watchedFrom = storeVersion;
          if
          :: configAt[storeVersion] > shownVersion -> applyConfig(configAt[storeVersion])
          :: else
          fi;
          if
          :: zoneAt[storeVersion] > shownVersion -> applyZone(zoneAt[storeVersion])
          :: zoneAt[storeVersion] == 0 && removedAt > shownVersion && removedAt > zoneVersion -> zoneVersion = removedAt; isZoneRemoved = true
          :: else
          fi;
          isZoneMissing = false;
          if
          :: shownVersion < storeVersion && !isUnconfirmed -> completeUpTo = storeVersion; reportList(EXACT_VERSION(storeVersion), configVersion, IS_ZONE_PRESENT)
          :: shownVersion < storeVersion && isUnconfirmed -> reportStale(storeVersion)
          :: else
          fi;
          checkConfirmed();
          shownVersion = 0
       fi
     }
  od
}

/* Another process, whose reads are exact, reports to the agent. */
proctype ExactReader() {
  byte v;
  do
  :: atomic { EXACT_VERSION(storeVersion) > listVersion -> reportList(EXACT_VERSION(storeVersion), configAt[storeVersion], (zoneAt[storeVersion] != 0)) }
  od
}

init {
  atomic {
    configAt[1] = 1;
    run Operator(); run Process(); run ExactReader()
  }
}
