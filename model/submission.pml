/*
 * One submission at two entries and two agents.
 *
 * Time is abstracted: whatever depends on a time limit may happen at any
 * moment, as early or late as it likes. So a live owner may be taken for lost
 * at any time, which covers an owner that is paused and wakes.
 *
 * Each guard of the protocol can be removed with -DNO_<GUARD>; the check then
 * demands a counter-example. docs/MODEL.md maps the steps to functions.
 */

#ifndef NT
#define NT 1            /* tasks */
#endif
#define NE 2            /* entries */
#ifndef NA
#define NA 2            /* agents */
#endif

/* Budgets of what may happen; a run is exhaustive within them. */
#ifndef MAX_NONCE
#define MAX_NONCE 3     /* claims and takeovers tried */
#endif
#ifndef MAX_LOST_ACKS
#define MAX_LOST_ACKS 1 /* acknowledgements lost or writes held up */
#endif
#ifndef MAX_CUTS
#define MAX_CUTS 1      /* connections broken */
#endif
#ifndef MAX_DEATHS
#define MAX_DEATHS 1    /* entries that die */
#endif
#ifndef MAX_AGENT_DEATHS
#define MAX_AGENT_DEATHS 1
#endif
#ifndef MAX_FORGETS
#define MAX_FORGETS 1   /* agents whose memory's time is over */
#endif

#define COMPLETE 1
#define FAILED 2

#define QUEUED 0
#define SENT 1
#define DONE 2
#define UNKNOWN 3

#if NT > 1
#define ANY_QUEUED (state[0] == QUEUED || state[1] == QUEUED)
#define ALL_QUEUED (state[0] == QUEUED && state[1] == QUEUED)
#define ALL_DONE (state[0] == DONE && state[1] == DONE)
#else
#define ANY_QUEUED (state[0] == QUEUED)
#define ALL_QUEUED (state[0] == QUEUED)
#define ALL_DONE (state[0] == DONE)
#endif

mtype = { START, COLLECT, RESULT, NOT_STARTED, TAKEN_OVER, COLLECTED };

/* The claim row. */
byte rowNonce, rowOwner, rowVersion, rowAnswer;

/* A write that was held up on its way to the table, by entry. */
bool late[NE];
byte lateNonce[NE], lateVersion[NE];

byte nextNonce = 1;
bool released[MAX_NONCE + 1];     /* given up before anything started */
bool saidNotRun[MAX_NONCE + 1];   /* a caller was told "not run" of this claim */
bool dead[NE];

/* Frames in flight: type, task, nonce of the claim (for the check only). */
chan toAgent0 = [2] of { mtype, byte, byte };
chan toAgent1 = [2] of { mtype, byte, byte };
chan toAgent2 = [2] of { mtype, byte, byte };
chan toAgent3 = [2] of { mtype, byte, byte };
/* type, task or mask of tasks running, mask of tasks done. */
chan toEntry0 = [4] of { mtype, byte, byte };
chan toEntry1 = [4] of { mtype, byte, byte };
chan toEntry2 = [4] of { mtype, byte, byte };
chan toEntry3 = [4] of { mtype, byte, byte };
chan toAgent[NE * NA];
chan toEntry[NE * NA];

#define LINK(e, a) ((e) * NA + (a))
/* A session of a new process says so before it says what it holds. */
#define RESUMED(a) (resumed[LINK(e, a)] && !lost[LINK(e, a)])

/* What the next session of a pair says, before anything else is sent on it. */
bool resumed[NE * NA];   /* a resume waits to be read */
byte held[NE * NA];      /* tasks that the agent holds, as a mask */
bool lost[NE * NA];      /* the agent's process is a new one */
bool expired[NE * NA];   /* the agent may have forgotten: the resume window is over */
bool stale[NE * NA];     /* starts in flight carry a stamp that is too old */

/* An agent's memory. */
byte begun[NA];          /* tasks started, as a mask */
byte ended[NA];          /* tasks finished, as a mask */
bool revoked[NA];
byte collector[NA];      /* entry + 1 */
byte origin[NA];         /* entry + 1 that sent the starts */

/* What the endpoints saw, and what callers were told. */
byte starts[NT];
bool done[NT];
byte toldFinal;
bool answeredTakeover;   /* a takeover was answered that reached agent ... */
bool reached[NA];
bool usedAgent0;
bool overdue;             /* the deadline of the first owner's job is over */

byte cuts, deaths, agentDeaths, forgets, lostAcks;

#define BIT(t) (1 << (t))

inline tellFinal(answer) {
  assert(toldFinal == 0 || toldFinal == answer);
  toldFinal = answer;
  if
  :: answer == COMPLETE ->
     byte k;
     for (k : 0 .. NT - 1) { assert(done[k]) }
  :: else
  fi
}

inline tellNotRun(nonce) {
  saidNotRun[nonce] = true
}

inline beginTask(t, nonce, a) {
  starts[t]++;
  assert(starts[t] <= 1);
  assert(!saidNotRun[nonce]);
  assert(!(answeredTakeover && reached[a]));
  begun[a] = begun[a] | BIT(t)
}

/* Empties the frames of a pair: its connection is gone. */
inline drain(l) {
  do
  :: nempty(toEntry[l]) -> toEntry[l]?_, _, _
  :: empty(toEntry[l]) -> break
  od;
#ifndef NO_SESSION_FENCE
  do
  :: nempty(toAgent[l]) -> toAgent[l]?_, _, _
  :: empty(toAgent[l]) -> break
  od
#endif
}

/* The agent opens a new session: it says what it holds and repeats its results. */
inline resume(e, a, t) {
  resumed[LINK(e, a)] = true;
  held[LINK(e, a)] = begun[a];
  for (t : 0 .. NT - 1) {
    if
    :: (ended[a] & BIT(t)) && (collector[a] == 0 || collector[a] == e + 1) -> toEntry[LINK(e, a)]!RESULT, t, 0
    :: (begun[a] & BIT(t)) && collector[a] != 0 && collector[a] != e + 1 -> toEntry[LINK(e, a)]!TAKEN_OVER, t, 0
    :: else
    fi
  }
}

proctype Network() {
  byte e, a, t;
  do
  /* A connection breaks and is made again. */
  :: cuts < MAX_CUTS -> atomic {
       cuts++;
       if :: e = 0 :: e = 1 fi;
       a = 0;
#if NA > 1
       if :: a = 0 :: a = 1 fi;
#endif
#ifdef ONE_ENTRY
       e = 0;
#endif
       drain(LINK(e, a));
       resume(e, a, t);
       e = 0; a = 0; t = 0
     }
  /* A write that was held up lands. */
  :: late[0] || late[1] -> atomic {
       if :: late[0] -> e = 0 :: late[1] -> e = 1 fi;
       late[e] = false;
       if
       :: rowVersion == lateVersion[e] && rowAnswer == 0 ->
          rowVersion++; rowNonce = lateNonce[e]; rowOwner = e + 1
       :: else
       fi;
       e = 0
     }
  od
}

proctype Agent(byte a) {
  byte e, t, nonce, l;
  do
  :: atomic {
       if :: e = 0; l = LINK(0, a) :: e = 1; l = LINK(1, a) fi;
       nempty(toAgent[l]) ->
       if
       :: toAgent[l]?START, t, nonce ->
          if
          :: revoked[a] ->
             if
             :: collector[a] != 0 && collector[a] != e + 1 -> toEntry[l]!TAKEN_OVER, t, 0
             :: else -> toEntry[l]!NOT_STARTED, t, 0
             fi
#ifndef NO_STAMP_CHECK
          :: !revoked[a] && stale[l] -> toEntry[l]!NOT_STARTED, t, 0
          :: !revoked[a] && !stale[l] ->
#else
          :: !revoked[a] ->
#endif
             if
             :: begun[a] & BIT(t)
             :: else -> origin[a] = e + 1; beginTask(t, nonce, a)
             fi
          fi
       :: toAgent[l]?COLLECT, t, nonce ->
#ifndef NO_COLLECT_REVOKES
          revoked[a] = true;
#endif
          collector[a] = e + 1;
          reached[a] = true;
          toEntry[l]!COLLECTED, begun[a] & ~ended[a], ended[a];
          if
          :: origin[a] != 0 && origin[a] != e + 1 && len(toEntry[LINK(origin[a] - 1, a)]) < 4 ->
             toEntry[LINK(origin[a] - 1, a)]!TAKEN_OVER, 0, 0
          :: else
          fi
       fi;
       if :: len(toAgent[l]) == 0 -> stale[l] = false :: else fi;
       t = 0; nonce = 0; l = 0; e = 0
     }
  /* A task ends. */
  :: atomic {
       (begun[a] & ~ended[a]) != 0 ->
       if
       :: (begun[a] & ~ended[a]) & 1 -> t = 0
#if NT > 1
       :: (begun[a] & ~ended[a]) & 2 -> t = 1
#endif
       fi;
       ended[a] = ended[a] | BIT(t);
       done[t] = true;
       e = (collector[a] != 0 -> collector[a] - 1 : origin[a] - 1);
       if :: len(toEntry[LINK(e, a)]) < 4 -> toEntry[LINK(e, a)]!RESULT, t, 0 :: else fi;
       t = 0; e = 0
     }
  /* The memory's time is over: all that was in flight then is stale, and no resume window is open. */
  :: atomic {
       forgets < MAX_FORGETS && begun[a] == ended[a] && (begun[a] != 0 || revoked[a]) ->
       forgets++;
#ifndef NO_KEEP_REVOKES
       /* A revoke is kept for as long as the claim's deadline: its first owner starts nothing after that. */
       if :: revoked[a] -> overdue = true :: else fi;
#endif
       begun[a] = 0; ended[a] = 0; revoked[a] = false; collector[a] = 0; origin[a] = 0;
       for (e : 0 .. NE - 1) {
         expired[LINK(e, a)] = true;
         if :: len(toAgent[LINK(e, a)]) > 0 -> stale[LINK(e, a)] = true :: else fi
       }
       e = 0
     }
  /* The process dies; another one takes its place and remembers nothing. */
  :: atomic {
       agentDeaths < MAX_AGENT_DEATHS ->
       agentDeaths++;
       begun[a] = 0; ended[a] = 0; revoked[a] = false; collector[a] = 0; origin[a] = 0; reached[a] = false;
       for (e : 0 .. NE - 1) {
         drain(LINK(e, a));
#ifdef NO_INCARNATION
         resumed[LINK(e, a)] = true; held[LINK(e, a)] = 0
#else
         lost[LINK(e, a)] = true
#endif
       }
       e = 0
     }
  od
}

proctype Entry(byte e) {
  byte nonce, version, answer;     /* of the claim that this entry holds or follows */
  byte seenNonce, seenOwner, seenVersion;
  byte state[NT];
  byte at[NT];                     /* agent that a task was sent to */
  byte a, t, mask, endMask;
  byte waiting;                    /* agents that have not answered a collect, as a mask */
  bool fresh;                      /* the job's tasks may be started */
  bool asked;                      /* agents were asked to collect */
  bool inDoubt;
  byte tries;

idle:
  /* The caller submits here, for the first time or again. */
  if
  :: atomic {
       nextNonce <= MAX_NONCE && tries < 2 ->
       tries++; nonce = nextNonce; nextNonce++; inDoubt = false; version = 0; fresh = true
     }
  :: atomic { tries < 2 -> tries++; goto follow }
  :: goto end
  fi;

claim:
  /* Insert or take over: conditional on the version seen, told apart by its nonce. */
  if
  :: atomic { /* the table answers */
       if
#ifdef NO_CONDITION
       :: rowNonce != nonce -> rowVersion++; rowNonce = nonce; rowOwner = e + 1; version = rowVersion; goto own
#else
       :: rowVersion == version && rowNonce != nonce -> rowVersion++; rowNonce = nonce; rowOwner = e + 1; version = rowVersion; goto own
#endif
       :: rowNonce == nonce && rowAnswer == 0 -> version = rowVersion; goto own
       :: else -> goto follow
       fi
     }
  :: atomic { /* the acknowledgement is lost */
       lostAcks < MAX_LOST_ACKS -> lostAcks++;
       if
       :: rowVersion == version && rowNonce != nonce -> rowVersion++; rowNonce = nonce; rowOwner = e + 1
       :: else
       fi;
       inDoubt = true;
#ifdef NO_WAIT_FOR_OUTCOME
       goto own
#else
       goto claim
#endif
     }
  :: atomic { /* the write is held up on its way */
       !late[e] && lostAcks < MAX_LOST_ACKS -> lostAcks++;
       late[e] = true; lateNonce[e] = nonce; lateVersion[e] = version; inDoubt = true;
#ifdef NO_WAIT_FOR_OUTCOME
       goto own
#else
       goto claim
#endif
     }
  :: atomic { /* the time for the claim is over */
       fresh ->
       released[nonce] = inDoubt;
       tellNotRun(nonce);
#ifdef NO_RELEASE
       goto own
#else
       goto idle
#endif
     }
  :: !fresh -> goto idle             /* a takeover that is given up says nothing of what ran */
  :: deaths < MAX_DEATHS -> deaths++; dead[e] = true; goto end
  fi;

follow:
  atomic { seenNonce = rowNonce; seenOwner = rowOwner; seenVersion = rowVersion; answer = rowAnswer };
  if
  :: seenOwner == 0 -> goto idle
  :: answer != 0 -> atomic { tellFinal(answer); goto end }
  :: else
  fi;
  if
  :: nextNonce > MAX_NONCE -> goto end
  :: atomic { /* the owner says that it never started, and never will */
       nextNonce <= MAX_NONCE && released[seenNonce] && !dead[seenOwner - 1] ->
       nonce = nextNonce; nextNonce++; version = seenVersion; fresh = true; inDoubt = false; goto claim
     }
  :: atomic { /* the owner is lost, or thought to be */
       nextNonce <= MAX_NONCE && !released[seenNonce] ->
       nonce = nextNonce; nextNonce++; version = seenVersion; inDoubt = false;
#ifdef NO_COLLECT_ONLY
       fresh = true;
#else
       fresh = false;
#endif
       goto claim
     }
  :: rowVersion != seenVersion -> goto follow
  :: goto end                        /* the caller goes away */
  fi;

own:
  atomic {
    seenNonce = 0; seenOwner = 0; seenVersion = 0; version = 0; inDoubt = false; answer = 0;
    asked = false; waiting = 0;
    for (t : 0 .. NT - 1) { state[t] = (fresh -> QUEUED : UNKNOWN); at[t] = 0 }
    t = 0
  }

work:
  do
  /* A start goes to any agent whose session is open and resumed. */
  :: atomic {
       fresh && !overdue && ANY_QUEUED ->
       if
       :: state[0] == QUEUED -> t = 0
#if NT > 1
       :: state[1] == QUEUED -> t = 1
#endif
       fi;
       /* Agents are alike: the first start goes to agent 0. */
       a = 0;
#if NA > 1
       if :: a = 0 :: usedAgent0 -> a = 1 fi;
#endif
       usedAgent0 = true;
       if
       :: !resumed[LINK(e, a)] && !lost[LINK(e, a)] && len(toAgent[LINK(e, a)]) < 2 ->
          toAgent[LINK(e, a)]!START, t, nonce;
          expired[LINK(e, a)] = false;
          state[t] = SENT; at[t] = a
       :: else
       fi;
       t = 0; a = 0
     }
  /* A takeover asks every agent that it reaches. */
  :: atomic {
       !fresh && !asked ->
       asked = true;
       for (a : 0 .. NA - 1) {
         if
         :: len(toAgent[LINK(e, a)]) < 2 && !lost[LINK(e, a)] -> toAgent[LINK(e, a)]!COLLECT, 0, nonce; waiting = waiting | BIT(a)
         :: true
         fi
       };
       a = 0
     }
  /* Frames from agents. */
  :: atomic {
#if NA > 1
       nempty(toEntry[LINK(e, 0)]) || nempty(toEntry[LINK(e, 1)]) ->
       if
       :: nempty(toEntry[LINK(e, 0)]) -> a = 0
       :: nempty(toEntry[LINK(e, 1)]) -> a = 1
       fi;
#else
       nempty(toEntry[LINK(e, 0)]) ->
#endif
       if
       :: toEntry[LINK(e, a)]?RESULT, t, mask ->
          if
          :: (state[t] == SENT && at[t] == a) || state[t] == UNKNOWN -> state[t] = DONE
          :: else
          fi;
          t = 0; mask = 0; a = 0
       :: toEntry[LINK(e, a)]?NOT_STARTED, t, mask ->
          if
          :: state[t] == SENT && at[t] == a && fresh -> state[t] = QUEUED
          :: else
          fi;
          t = 0; mask = 0; a = 0
       :: toEntry[LINK(e, a)]?TAKEN_OVER, t, mask ->
          t = 0; mask = 0; a = 0;
          if
          :: rowNonce != nonce -> goto follow
          :: else
          fi
       :: toEntry[LINK(e, a)]?COLLECTED, mask, endMask ->
          waiting = waiting & ~BIT(a);
          for (t : 0 .. NT - 1) {
            if
            :: !fresh && state[t] == UNKNOWN && (endMask & BIT(t)) -> state[t] = DONE
            :: !fresh && state[t] == UNKNOWN && (mask & BIT(t)) -> state[t] = SENT; at[t] = a
            :: else
            fi
          }
          t = 0; mask = 0; endMask = 0; a = 0
       fi
     }
  /* A session resumed: what the agent does not hold was never accepted. */
  :: atomic {
#if NA > 1
       RESUMED(0) || RESUMED(1) ->
       if :: RESUMED(0) -> a = 0 :: RESUMED(1) -> a = 1 fi;
#else
       RESUMED(0) ->
#endif
       resumed[LINK(e, a)] = false;
       endMask = 0;
       for (t : 0 .. NT - 1) {
         if
#ifndef NO_HELD_CHECK
         :: state[t] == SENT && at[t] == a && !(held[LINK(e, a)] & BIT(t)) ->
#else
         :: state[t] == SENT && at[t] == a ->
#endif
            if
#ifndef NO_RESUME_WINDOW
            :: expired[LINK(e, a)] -> endMask = 1
            :: !expired[LINK(e, a)] && fresh -> state[t] = QUEUED
            :: !expired[LINK(e, a)] && !fresh -> endMask = 1
#else
            :: fresh -> state[t] = QUEUED
            :: !fresh -> endMask = 1
#endif
            fi
         :: else
         fi
       };
       t = 0; a = 0;
       if :: endMask -> endMask = 0; answer = FAILED; goto finish :: else fi
     }
  /* Another process of the agent: what it held is lost. */
  :: atomic {
#if NA > 1
       lost[LINK(e, 0)] || lost[LINK(e, 1)] ->
       if :: lost[LINK(e, 0)] -> a = 0 :: lost[LINK(e, 1)] -> a = 1 fi;
#else
       lost[LINK(e, 0)] ->
#endif
       lost[LINK(e, a)] = false;
       waiting = waiting & ~BIT(a);
       endMask = 0;
       for (t : 0 .. NT - 1) {
         if :: state[t] == SENT && at[t] == a -> endMask = 1 :: else fi
       };
       t = 0; a = 0;
       if :: endMask -> endMask = 0; answer = FAILED; goto finish :: else fi
     }
  /* All tasks are done. */
  :: ALL_DONE -> answer = COMPLETE; goto finish
#ifdef NO_WHOLE_ANSWER
  :: state[0] == DONE -> answer = COMPLETE; goto finish
#endif
  /* The deadline, a cancellation, a failed task, or a collect that leaves a task unknown. */
  :: atomic {
       fresh && ALL_QUEUED -> tellNotRun(nonce); answer = FAILED; goto finish
     }
  :: answer = FAILED; goto finish
  :: deaths < MAX_DEATHS -> deaths++; dead[e] = true; goto end
  od;

finish:
  /* The final state is committed before it is told; the write is repeated until its outcome is known. */
#ifdef NO_COMMIT_BEFORE_TELLING
  atomic { tellFinal(answer); if :: !fresh -> answeredTakeover = true :: else fi; goto end };
#endif
  if
  :: atomic {
       if
       :: rowNonce == nonce && rowAnswer == 0 ->
          rowVersion++; rowAnswer = answer;
          tellFinal(answer);
          if :: !fresh -> answeredTakeover = true :: else fi;
          goto end
       :: rowNonce == nonce && rowAnswer == answer -> tellFinal(answer); goto end
       :: else -> goto follow
       fi
     }
  :: atomic { /* the acknowledgement is lost */
       lostAcks < MAX_LOST_ACKS -> lostAcks++;
       if :: rowNonce == nonce && rowAnswer == 0 -> rowVersion++; rowAnswer = answer :: else fi;
       goto finish
     }
  :: deaths < MAX_DEATHS -> deaths++; dead[e] = true; goto end
  fi;

end:
  atomic { nonce = 0; version = 0; answer = 0; seenNonce = 0; seenOwner = 0; seenVersion = 0 }
}

init {
  atomic {
    toAgent[0] = toAgent0; toAgent[1] = toAgent1;
    toEntry[0] = toEntry0; toEntry[1] = toEntry1;
#if NA > 1
    toAgent[2] = toAgent2; toAgent[3] = toAgent3;
    toEntry[2] = toEntry2; toEntry[3] = toEntry3;
    run Agent(1);
#endif
    run Network();
    run Agent(0);
#ifndef ONE_ENTRY
    run Entry(1);
#endif
    run Entry(0)
  }
}
