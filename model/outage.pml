/*
 * "Not run" while the table is away: an entry says it of a submission that it
 * cannot look up. Entries join, end gracefully, die, and start again at their
 * old address; any of them may be unable to read the rows or to reach another
 * one at any moment.
 *
 * Time is abstracted as in submission.pml. What the protocol takes from a time
 * limit is kept: when an entry serves because its row has stood for the stale
 * time, every entry that has not read the rows since then has a view too old
 * to be believed.
 */

#ifndef N
#define N 3             /* entries; the first one is asked */
#endif
#ifndef MAX_ENDS
#define MAX_ENDS 2      /* entries that end, in either way */
#endif

#define BIT(e) (1 << (e))
#define PAIR(e, o) ((e) * N + (o))

#define NONE 0
#define STANDS 1
#define ENDED 2

/* Rows of the table. */
byte row[N], rowInc[N];
bool rowReplaced[N];
byte readSince[N];      /* entries that have read the rows since this one stood, as a mask */
bool claimed;

/* Processes. */
bool up[N], serving[N], ran[N], announced[N];
byte inc[N];

/* What a process knows of the others. */
byte known[N];          /* those not known to have ended, as a mask */
byte knownInc[N * N];
bool fresh[N];          /* the last read is younger than the stale time */
bool endSeen[N];

bool everRan;
bool isOver;            /* the lookup is answered; what comes after does not matter */
byte ends;

inline readRows(e, o) {
  for (o : 0 .. N - 1) {
    if
    :: o == e -> if :: row[e] != NONE && rowInc[e] != inc[e] -> endSeen[e] = true :: else fi
    :: o != e && row[o] == STANDS ->
       if
       :: (known[e] & BIT(o)) && knownInc[PAIR(e, o)] != rowInc[o] -> endSeen[e] = true
       :: !(known[e] & BIT(o)) && rowReplaced[o] -> endSeen[e] = true
       :: else
       fi;
       known[e] = known[e] | BIT(o);
       knownInc[PAIR(e, o)] = rowInc[o]
    :: o != e && row[o] == ENDED ->
       endSeen[e] = true;
       known[e] = known[e] & ~BIT(o)
    :: else
    fi;
    readSince[o] = readSince[o] | BIT(e)
  };
  fresh[e] = true;
  o = 0
}

proctype Entry(byte e) {
  byte o, told;
  bool entered, readAfter;

start:
  atomic {
    up[e] = true; inc[e]++; known[e] = 0; fresh[e] = false; endSeen[e] = false;
    serving[e] = false; ran[e] = false; announced[e] = false;
    told = 0; entered = false; readAfter = false
  };
  do
  :: isOver -> break
  :: atomic { /* the own row */
       !entered ->
       rowReplaced[e] = (row[e] != NONE);
       if :: row[e] != NONE -> endSeen[e] = true :: else fi;
       row[e] = STANDS; rowInc[e] = inc[e]; readSince[e] = 0; entered = true
     }
  :: atomic {
       !isOver ->
       readRows(e, o);
#ifdef NO_READ_AFTER_ROW
       readAfter = true
#else
       readAfter = entered
#endif
     }
  :: atomic { /* tells another entry of itself */
       entered && !serving[e] && (known[e] & ~told) != 0 ->
       if
       :: o = 0
       :: o = 1
#if N > 2
       :: o = 2
#endif
       fi;
       if
       :: (known[e] & ~told & BIT(o)) && up[o] ->
          if
          :: (known[o] & BIT(e)) && knownInc[PAIR(o, e)] != inc[e] -> endSeen[o] = true
          :: !(known[o] & BIT(e)) && rowReplaced[e] -> endSeen[o] = true
          :: else
          fi;
          known[o] = known[o] | BIT(e);
          knownInc[PAIR(o, e)] = inc[e];
          if :: inc[o] == knownInc[PAIR(e, o)] -> told = told | BIT(o) :: else fi
       :: else
       fi;
       o = 0
     }
#ifdef NO_ANNOUNCEMENT
  :: atomic { entered && !serving[e] -> serving[e] = true; announced[e] = true }
#else
  :: atomic { entered && readAfter && !serving[e] && (known[e] & ~told) == 0 -> serving[e] = true; announced[e] = true }
  :: atomic { /* its row has stood for the stale time */
       entered && readAfter && !serving[e] ->
#ifndef NO_FRESH_VIEW
       for (o : 0 .. N - 1) {
         if :: o != e && !(readSince[e] & BIT(o)) -> fresh[o] = false :: else fi
       };
       o = 0;
#endif
       serving[e] = true; announced[e] = true
     }
#endif
  :: atomic { serving[e] && !claimed -> claimed = true; ran[e] = true; everRan = true }
  :: atomic { /* a graceful stop; its row shows it, if the table can be written */
       ends < MAX_ENDS -> ends++; up[e] = false;
       if
       :: entered -> row[e] = ENDED
       :: true
       fi;
       break
     }
  :: atomic { ends < MAX_ENDS -> ends++; up[e] = false; break }
  od;
  if
  :: !isOver -> goto start
  :: true
  fi
}

/* One lookup at any entry, at any time, in as many steps as there are others. */
proctype Lookup() {
  byte y, o, mask, yInc;
  byte askedInc[N];
  bool sure, viewSure;

#ifndef NO_END_SEEN
#define NO_END(e) !endSeen[e]
#else
#define NO_END(e) true
#endif
#ifndef NO_ANNOUNCED_ONLY
#define IS_ANNOUNCED(e) announced[e]
#else
#define IS_ANNOUNCED(e) true
#endif
#define VIEW_SURE(e) (fresh[e] && NO_END(e) && IS_ANNOUNCED(e))

  atomic {
    up[y] && everRan ->
    yInc = inc[y]; mask = known[y]; sure = !ran[y]; viewSure = VIEW_SURE(y);
    for (o : 0 .. N - 1) { askedInc[o] = knownInc[PAIR(y, o)] };
    o = 0
  };
  do
  :: atomic {
       o < N ->
       if
#ifdef NO_INCARNATION
       :: mask & BIT(o) -> sure = sure && up[o] && !ran[o]
#else
       :: mask & BIT(o) -> sure = sure && up[o] && inc[o] == askedInc[o] && !ran[o]
#endif
       :: else
       fi;
       o++
     }
  :: o == N -> break
  od;
  atomic {
#ifdef NO_VIEW_WITH_LIST
    /* The view is judged later than the list of entries was taken from it. */
    viewSure = VIEW_SURE(y);
#endif
    sure = sure && viewSure && up[y] && inc[y] == yInc;
    assert(!sure);
    isOver = true
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
