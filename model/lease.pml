/*
 * Jobs that are not kept: two runs of one task never overlap.
 *
 * Two entries, agents with one endpoint each, one task. Any process may die or
 * stand still at any moment (an action that is possible need not happen), and
 * frames, echoes and orders may arrive late. Time is a small counter. What the
 * protocol takes from time is kept: an agent's authority for an entry ends S
 * after the stamp that the entry echoed; a hold lasts H on the endpoint; a
 * caller sends again no sooner than R after its entry died, with R > S + H.
 * A stop by a live agent is one step. An endpoint may start again under its id;
 * an order reaches the life that it is meant for, or none, as the agent orders
 * only on connections that have shown this life.
 */

#ifndef S
#define S 1
#endif
#ifndef H
#define H 1
#endif
#ifndef R
#define R (S + H + 1)   /* the bound, and one for the time that a stop takes */
#endif
#ifndef MAX_TIME
#define MAX_TIME 5
#endif
#ifndef MAX_LATE
#define MAX_LATE 1      /* orders to endpoints that get no answer */
#endif
#ifndef MAX_DEATHS
#define MAX_DEATHS 1    /* of agents' processes */
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 0  /* of endpoints, under the id that they had */
#endif

#ifndef NE
#define NE 2            /* entries: the first one has the job; the second one gets it when it is sent again */
#endif
#define NA 2            /* agents, each with one endpoint */
#define NOBODY 255
#ifdef OWN_AGENTS        /* each entry orders at an agent of its own; the second one's echoes reach both */
#define MAY_ORDER(a, e) ((a) == (e))
#define MAY_HEAR(a, e) ((a) <= (e))
#else
#define MAY_ORDER(a, e) true
#define MAY_HEAR(a, e) true
#endif
#ifdef PROMPT_FRAMES     /* frames arrive at once or not at all */
#define LAST_HEARD(a, e) stampHeard[PAIR(a, e)]
#else
#define LAST_HEARD(a, e) heardAt[PAIR(a, e)]
#endif
#ifdef NO_LIFE_CHECK
#define IS_OTHER_LIFE(a) false
#else
#define IS_OTHER_LIFE(a) unknownLife[a]
#endif
#define PAIR(a, e) ((a) * NE + (e))

byte now = 1;

/* Endpoints. */
bool runs[NA];
byte runOwner[NA];
byte until[NA];         /* what runs lapses once this time has passed */
byte fence[NA];         /* highest token seen */
bool unknownLife[NA];   /* it has started again, and its agent still takes it for the life before */

/* An order to start that its agent sent and that got no answer; it may still be carried out. */
bool late[NA];
byte lateOwner[NA], lateUntil[NA], lateToken[NA];
bool repeated[NA];      /* its run has been ordered once more, with the same number, and that was answered */

/* Agents. */
bool up[NA];
bool joined[NA];        /* what an earlier process left is known to have ended */
byte token[NA];
byte authority[NA * NE];

/* The latest stamp of the agent that the entry has read, and when it did. */
byte stampHeard[NA * NE], heardAt[NA * NE];
bool ordered[NA * NE];  /* an order is under way from the entry to the agent */
byte orderEcho[NA * NE];/* the latest stamp when it left: on one stream no later echo overtakes it */

/* Entries. */
bool alive[NE];
byte owner;             /* whose job it is; NOBODY while its caller waits to send it again */
byte diedAt;
byte sentTo[NE];        /* the agent that has the entry's order, or NOBODY */
byte deaths, lates, restarts;

inline begin(a, e) {
  assert(!runs[0] && !runs[1]);
  runs[a] = true;
  runOwner[a] = e
}

/* The life that the agent knows is over, and with it all that it was ordered to run. */
inline learnLife(a) {
  unknownLife[a] = false;
  if :: sentTo[0] == a && !ordered[PAIR(a, 0)] -> sentTo[0] = NOBODY :: else fi;
  if :: sentTo[NE - 1] == a && !ordered[PAIR(a, NE - 1)] -> sentTo[NE - 1] = NOBODY :: else fi
}

/* Every run whose owner has no authority any more is stopped. */
inline lapse(a) {
  if
  :: runs[a] && authority[PAIR(a, runOwner[a])] < now -> runs[a] = false
  :: else
  fi
}

inline renew(a, e, stamp) {
#ifdef NO_ECHO_STAMP
  if :: stamp > 0 -> authority[PAIR(a, e)] = now + S :: else fi
#else
  if :: stamp > 0 && stamp + S > authority[PAIR(a, e)] -> authority[PAIR(a, e)] = stamp + S :: else fi
#endif
}

/* The endpoint carries an order to start out. */
inline accept(a, e, ends, mark) {
  if
#ifndef NO_FENCE
  :: mark < fence[a] -> skip
#endif
#ifndef NO_LATE_CHECK
  :: ends < now -> skip
#endif
  :: else ->
     if :: mark > fence[a] -> fence[a] = mark :: else fi;
     if :: ends > until[a] -> until[a] = ends :: else fi;
     begin(a, e)
  fi
}

/* What was not held on lapses, on the endpoints' own clocks. */
inline passTime() {
  now++;
  if :: runs[0] && until[0] < now -> runs[0] = false :: else fi;
  if :: runs[1] && until[1] < now -> runs[1] = false :: else fi
}

init {
  byte i, a, e;
  atomic {
    for (i : 0 .. NA - 1) { up[i] = true; joined[i] = true; token[i] = 1; fence[i] = 1 }
    for (i : 0 .. NE - 1) { alive[i] = true; sentTo[i] = NOBODY }
    owner = 0
  }
  do
  :: now == MAX_TIME -> break
  :: now < MAX_TIME ->
     atomic {
     /* One step of one pair, or of the world. */
     if :: a = 0 :: a = 1 fi;
     if :: e = 0 :: e = NE - 1 fi;
     if
     /* A frame arrives at the entry, at once or late. */
#ifdef PROMPT_FRAMES
     :: up[a] && alive[e] && MAY_HEAR(a, e) && stampHeard[PAIR(a, e)] < now -> stampHeard[PAIR(a, e)] = now
#else
     :: up[a] && alive[e] && stampHeard[PAIR(a, e)] < now -> stampHeard[PAIR(a, e)] = now; heardAt[PAIR(a, e)] = now
     :: up[a] && alive[e] && stampHeard[PAIR(a, e)] + 1 < now -> stampHeard[PAIR(a, e)] = now - 1; heardAt[PAIR(a, e)] = now
#endif
     /* An echo arrives at the agent, also after its entry died. An older one than the latest would renew less. */
     :: up[a] && stampHeard[PAIR(a, e)] > 0 ->
        lapse(a);
#ifndef NO_ORDERED_STREAM
        if
        :: ordered[PAIR(a, e)] -> renew(a, e, orderEcho[PAIR(a, e)])
        :: else -> renew(a, e, stampHeard[PAIR(a, e)])
        fi
#else
        renew(a, e, stampHeard[PAIR(a, e)])
#endif
     /* The entry orders a start, if none of its orders can run. */
     :: alive[e] && owner == e && MAY_ORDER(a, e) && sentTo[e] == NOBODY && stampHeard[PAIR(a, e)] > 0 ->
        sentTo[e] = a;
        ordered[PAIR(a, e)] = true;
        orderEcho[PAIR(a, e)] = stampHeard[PAIR(a, e)]
     /* The order arrives, whenever. */
     :: up[a] && ordered[PAIR(a, e)] ->
        ordered[PAIR(a, e)] = false;
        orderEcho[PAIR(a, e)] = 0;
        if
#ifndef NO_START_CHECK
        :: authority[PAIR(a, e)] < now || !joined[a] -> if :: sentTo[e] == a -> sentTo[e] = NOBODY :: else fi
        :: authority[PAIR(a, e)] >= now && joined[a] ->
#else
        :: true ->
#endif
           if
           :: IS_OTHER_LIFE(a) -> /* its connection shows another life: nothing is ordered there */
              learnLife(a);
              if :: sentTo[e] == a -> sentTo[e] = NOBODY :: else fi
           :: !IS_OTHER_LIFE(a) && (runs[a] || late[a]) -> /* an earlier order is not over: refused, and sent again after a pause */
              if :: sentTo[e] == a -> sentTo[e] = NOBODY :: else fi
           :: !IS_OTHER_LIFE(a) && !runs[a] && !late[a] -> accept(a, e, now + H, token[a])
           :: !IS_OTHER_LIFE(a) && !runs[a] && !late[a] && lates < MAX_LATE -> /* no answer */
              late[a] = true;
              lates++;
              lateOwner[a] = e;
              lateUntil[a] = now + H;
              lateToken[a] = token[a];
              repeated[a] = false
           fi
        fi
     /* The agent is gone for all that the entry knows: by time, nothing of it runs. */
     :: alive[e] && sentTo[e] == a &&
#ifndef NO_PROOF_BY_TIME
        now > LAST_HEARD(a, e) + S + H &&
#endif
        true ->
        sentTo[e] = NOBODY
     /* The agent holds on what runs; what has no authority is stopped first. */
     :: up[a] && joined[a] && !IS_OTHER_LIFE(a) && (authority[PAIR(a, 0)] >= now || authority[PAIR(a, NE - 1)] >= now) ->
#ifndef NO_LAPSE_BEFORE_HOLD
        lapse(a);
#endif
        if :: now + H > until[a] -> until[a] = now + H :: else fi
     /* An order that was not answered is carried out late. */
     :: late[a] ->
        late[a] = false;
        if
#ifndef NO_RUN_NUMBER
        :: !runs[a] && !repeated[a] ->
#else
        :: !runs[a] ->
#endif
           accept(a, lateOwner[a], lateUntil[a], lateToken[a])
        :: else /* a run of that number is there, or has ended there */
        fi
     /* The agent orders the same run once more, and gets an answer. */
     :: up[a] && joined[a] && late[a] && !repeated[a] && sentTo[lateOwner[a]] == a && !ordered[PAIR(a, lateOwner[a])] &&
        !runs[a] && token[a] == lateToken[a] &&
#ifndef NO_REPEAT_CHECK
        authority[PAIR(a, lateOwner[a])] >= now &&
#endif
        true ->
        repeated[a] = true;
        accept(a, lateOwner[a], now + H, token[a])
     /* A look shows that this run is over. */
     :: up[a] && joined[a] && late[a] && repeated[a] && !runs[a] && sentTo[lateOwner[a]] == a && !ordered[PAIR(a, lateOwner[a])] ->
        sentTo[lateOwner[a]] = NOBODY
     /* The agent makes sure by a stop that it never will be, and says that nothing ran. */
     :: up[a] && late[a] && !runs[a] && !repeated[a] && sentTo[lateOwner[a]] == a && !ordered[PAIR(a, lateOwner[a])] ->
#ifndef NO_STOP_PROOF
        late[a] = false;
#endif
        sentTo[lateOwner[a]] = NOBODY
     /* The run ends, and its entry hears of it: the job is over. */
     :: up[a] && runs[a] -> runs[a] = false
     /* The agent dies; its next process first makes sure that nothing runs. */
     :: up[a] && deaths < MAX_DEATHS -> up[a] = false; joined[a] = false; deaths++;
        authority[PAIR(a, 0)] = 0; authority[PAIR(a, NE - 1)] = 0
     :: !up[a] -> up[a] = true; token[a]++;
        ordered[PAIR(a, 0)] = false; ordered[PAIR(a, NE - 1)] = false;
        orderEcho[PAIR(a, 0)] = 0; orderEcho[PAIR(a, NE - 1)] = 0;
        stampHeard[PAIR(a, 0)] = 0; stampHeard[PAIR(a, NE - 1)] = 0
     :: up[a] && !joined[a] ->
        joined[a] = true;
        unknownLife[a] = false;
        fence[a] = token[a];
#ifndef NO_JOIN
        runs[a] = false;
#endif
        /* Entries that hear from the new process know that nothing of the old one runs. */
        if :: sentTo[0] == a && !ordered[PAIR(a, 0)] -> sentTo[0] = NOBODY :: else fi;
        if :: sentTo[NE - 1] == a && !ordered[PAIR(a, NE - 1)] -> sentTo[NE - 1] = NOBODY :: else fi
     /* The endpoint crashes and starts again under its id: nothing runs, no token was seen. */
     :: restarts < MAX_RESTARTS && !unknownLife[a] ->
        restarts++;
        runs[a] = false;
        late[a] = false;
        until[a] = 0;
        fence[a] = 0;
        unknownLife[a] = true
     /* A heartbeat or a new connection shows the agent the new life. */
     :: up[a] && joined[a] && unknownLife[a] -> learnLife(a); fence[a] = token[a]
     /* The first entry dies; its caller sends the job again, to the other one. */
     :: alive[0] && NE > 1 -> alive[0] = false; diedAt = now; owner = NOBODY
     :: !alive[0] && owner == NOBODY &&
#ifndef NO_RESEND_GAP
        now >= diedAt + R &&
#endif
        true -> owner = NE - 1
     :: passTime()
     fi;
     a = 0;
     e = 0
     }
  od
}
