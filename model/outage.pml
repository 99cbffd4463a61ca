/*
 * The answer "not run" while the table is unavailable: an entry gives it for a
 * submission that it cannot look up in the table. Entries join, stop gracefully,
 * die, and start again at their old address; any of them may be unable to read the
 * rows or to reach another one at any moment.
 *
 * Time is abstracted as in submission.pml. One consequence of a time limit is
 * modelled: when an entry serves because its row has been present for the stale
 * time, the view of every entry that has not read the rows since then is too old
 * to be relied on.
 */

#ifndef N
#define N 3             /* entries; the first one answers the lookup */
#endif
#ifndef MAX_ENDS
#define MAX_ENDS 2      /* entries that stop or die */
#endif

#define BIT(e) (1 << (e))
#define PAIR(e, o) ((e) * N + (o))

#define ABSENT 0
#define PRESENT 1
#define ENDED 2

/* Rows of the table. */
byte row[N], rowIncarnation[N];
bool isRowReplaced[N];
byte rowReadBy[N];      /* entries that have read the rows since this one was written, as a mask */
bool isClaimed;

/* Processes. */
bool isUp[N], isServing[N], hasRunJob[N], isAnnounced[N];
byte incarnation[N];

/* What a process knows about the others. */
byte known[N];       /* entries that are not known to have ended, as a mask */
byte knownIncarnation[N * N];
bool isViewFresh[N]; /* the last read is less than the stale time ago */
bool hasSeenEnd[N];

bool wasRunAnywhere;
bool isLookupDone;      /* the lookup is answered; later steps do not matter */
byte endCount;

inline readRows(e, o) {
  for (o : 0 .. N - 1) {
    if
    :: o == e -> if :: row[e] != ABSENT && rowIncarnation[e] != incarnation[e] -> hasSeenEnd[e] = true :: else fi
    :: o != e && row[o] == PRESENT ->
       if
       :: (known[e] & BIT(o)) && knownIncarnation[PAIR(e, o)] != rowIncarnation[o] -> hasSeenEnd[e] = true
       :: !(known[e] & BIT(o)) && isRowReplaced[o] -> hasSeenEnd[e] = true
       :: else
       fi;
       known[e] = known[e] | BIT(o);
       knownIncarnation[PAIR(e, o)] = rowIncarnation[o]
    :: o != e && row[o] == ENDED ->
       hasSeenEnd[e] = true;
       known[e] = known[e] & ~BIT(o)
    :: else
    fi;
    rowReadBy[o] = rowReadBy[o] | BIT(e)
  };
  isViewFresh[e] = true;
  o = 0
}

proctype Entry(byte e) {
  byte o, announcedTo;
  bool hasRow, hasReadSinceRow;

start:
  atomic {
    isUp[e] = true; incarnation[e]++; known[e] = 0; isViewFresh[e] = false; hasSeenEnd[e] = false;
    isServing[e] = false; hasRunJob[e] = false; isAnnounced[e] = false;
    announcedTo = 0; hasRow = false; hasReadSinceRow = false
  };
  do
  :: isLookupDone -> break
  :: atomic { /* writes its own row */
       !hasRow ->
       isRowReplaced[e] = (row[e] != ABSENT);
       if :: row[e] != ABSENT -> hasSeenEnd[e] = true :: else fi;
       row[e] = PRESENT; rowIncarnation[e] = incarnation[e]; rowReadBy[e] = 0; hasRow = true
     }
  :: atomic {
       !isLookupDone ->
       readRows(e, o);
#ifdef NO_READ_AFTER_ROW
       hasReadSinceRow = true
#else
       hasReadSinceRow = hasRow
#endif
     }
  :: atomic { /* announces itself to another entry */
       hasRow && !isServing[e] && (known[e] & ~announcedTo) != 0 ->
       if
       :: o = 0
       :: o = 1
#if N > 2
       :: o = 2
#endif
       fi;
       if
       :: (known[e] & ~announcedTo & BIT(o)) && isUp[o] ->
          if
          :: (known[o] & BIT(e)) && knownIncarnation[PAIR(o, e)] != incarnation[e] -> hasSeenEnd[o] = true
          :: !(known[o] & BIT(e)) && isRowReplaced[e] -> hasSeenEnd[o] = true
          :: else
          fi;
          known[o] = known[o] | BIT(e);
          knownIncarnation[PAIR(o, e)] = incarnation[e];
          if :: incarnation[o] == knownIncarnation[PAIR(e, o)] -> announcedTo = announcedTo | BIT(o) :: else fi
       :: else
       fi;
       o = 0
     }
#ifdef NO_ANNOUNCEMENT
  :: atomic { hasRow && !isServing[e] -> isServing[e] = true; isAnnounced[e] = true }
#else
  :: atomic { hasRow && hasReadSinceRow && !isServing[e] && (known[e] & ~announcedTo) == 0 -> isServing[e] = true; isAnnounced[e] = true }
  :: atomic { /* its row has been present for the stale time */
       hasRow && hasReadSinceRow && !isServing[e] ->
#ifndef NO_FRESH_VIEW
       for (o : 0 .. N - 1) {
         if :: o != e && !(rowReadBy[e] & BIT(o)) -> isViewFresh[o] = false :: else fi
       };
       o = 0;
#endif
       isServing[e] = true; isAnnounced[e] = true
     }
#endif
  :: atomic { isServing[e] && !isClaimed -> isClaimed = true; hasRunJob[e] = true; wasRunAnywhere = true }
  :: atomic { /* a graceful stop, recorded in its row if the table can be written */
       endCount < MAX_ENDS -> endCount++; isUp[e] = false;
       if
       :: hasRow -> row[e] = ENDED
       :: true
       fi;
       break
     }
  :: atomic { endCount < MAX_ENDS -> endCount++; isUp[e] = false; break }
  od;
  if
  :: !isLookupDone -> goto start
  :: true
  fi
}

/* One lookup at the first entry, at any time, with one step for each other entry. */
proctype Lookup() {
  byte asked, o, toAsk, askedIncarnation;
  byte requestedIncarnation[N];
  bool isNotRun, isViewReliable;

#ifndef NO_END_SEEN
#define HAS_SEEN_NO_END(e) !hasSeenEnd[e]
#else
#define HAS_SEEN_NO_END(e) true
#endif
#ifndef NO_ANNOUNCED_ONLY
#define IS_ANNOUNCED(e) isAnnounced[e]
#else
#define IS_ANNOUNCED(e) true
#endif
#define IS_VIEW_RELIABLE(e) (isViewFresh[e] && HAS_SEEN_NO_END(e) && IS_ANNOUNCED(e))

  atomic {
    isUp[asked] && wasRunAnywhere ->
    askedIncarnation = incarnation[asked]; toAsk = known[asked]; isNotRun = !hasRunJob[asked]; isViewReliable = IS_VIEW_RELIABLE(asked);
    for (o : 0 .. N - 1) { requestedIncarnation[o] = knownIncarnation[PAIR(asked, o)] };
    o = 0
  };
  do
  :: atomic {
       o < N ->
       if
#ifdef NO_INCARNATION
       :: toAsk & BIT(o) -> isNotRun = isNotRun && isUp[o] && !hasRunJob[o]
#else
       :: toAsk & BIT(o) -> isNotRun = isNotRun && isUp[o] && incarnation[o] == requestedIncarnation[o] && !hasRunJob[o]
#endif
       :: else
       fi;
       o++
     }
  :: o == N -> break
  od;
  atomic {
#ifdef NO_VIEW_WITH_LIST
    /* The view is checked later than the list of entries was taken from it. */
    isViewReliable = IS_VIEW_RELIABLE(asked);
#endif
    isNotRun = isNotRun && isViewReliable && isUp[asked] && incarnation[asked] == askedIncarnation;
    assert(!isNotRun);
    isLookupDone = true
  }
}

init {
  atomic {
    run Entry(0);
    run Entry(1);
#if N > 2
    run Entry(2);
#endif
    run Lookup()
  }
}
