/*
 * One submission at two entries and two agents.
 *
 * Time is abstracted: whatever depends on a time limit may happen at any moment,
 * early or late. So a live owner may be considered lost at any time, which covers
 * an owner that is suspended and resumes.
 *
 * Each guard of the protocol can be removed with -DNO_<GUARD>; the check then
 * requires a counterexample. docs/MODEL.md maps the steps to functions.
 */

#ifndef NT
#define NT 1            /* tasks */
#endif
#define NE 2            /* entries */
#ifndef NA
#define NA 2            /* agents */
#endif

/* Bounds on the number of events; a search is exhaustive within them. */
#ifndef MAX_NONCE
#define MAX_NONCE 3     /* attempted claims and takeovers */
#endif
#ifndef MAX_LOST_ACKS
#define MAX_LOST_ACKS 1 /* lost acknowledgements or delayed writes */
#endif
#ifndef MAX_CUTS
#define MAX_CUTS 1      /* broken connections */
#endif
#ifndef MAX_DEATHS
#define MAX_DEATHS 1    /* entries that die */
#endif
#ifndef MAX_AGENT_DEATHS
#define MAX_AGENT_DEATHS 1
#endif
#ifndef MAX_FORGETS
#define MAX_FORGETS 1   /* times that an agent forgets, at the end of its retention time */
#endif

#define COMPLETE 1
#define FAILED 2

#define QUEUED 0
#define SENT 1
#define DONE 2
#define UNKNOWN 3

#if NT > 1
#define ANY_QUEUED (taskState[0] == QUEUED || taskState[1] == QUEUED)
#define ALL_QUEUED (taskState[0] == QUEUED && taskState[1] == QUEUED)
#define ALL_DONE (taskState[0] == DONE && taskState[1] == DONE)
#else
#define ANY_QUEUED (taskState[0] == QUEUED)
#define ALL_QUEUED (taskState[0] == QUEUED)
#define ALL_DONE (taskState[0] == DONE)
#endif

mtype = { START, COLLECT, RESULT, NOT_STARTED, TAKEN_OVER, COLLECTED };

/* The claim row. */
byte rowNonce, rowOwner, rowVersion, rowAnswer;

/* A write that reaches the table late, by entry. */
bool isWriteDelayed[NE];
byte delayedNonce[NE], delayedVersion[NE];

byte nextNonce = 1;
bool isReleased[MAX_NONCE + 1];     /* given up before anything was started */
bool notRunReported[MAX_NONCE + 1]; /* "not run" was reported to a caller for this claim */
bool isDead[NE];

/* Frames in flight: type, task, nonce of the claim (only for the assertions). */
chan toAgent0 = [2] of { mtype, byte, byte };
chan toAgent1 = [2] of { mtype, byte, byte };
chan toAgent2 = [2] of { mtype, byte, byte };
chan toAgent3 = [2] of { mtype, byte, byte };
/* type, task or mask of the running tasks, mask of the tasks that are done. */
chan toEntry0 = [4] of { mtype, byte, byte };
chan toEntry1 = [4] of { mtype, byte, byte };
chan toEntry2 = [4] of { mtype, byte, byte };
chan toEntry3 = [4] of { mtype, byte, byte };
chan toAgent[NE * NA];
chan toEntry[NE * NA];

#define LINK(e, a) ((e) * NA + (a))
/* A session of a new agent process reports the new incarnation before it reports its tasks. */
#define IS_RESUME_READABLE(a) (isResumePending[LINK(e, a)] && !isNewIncarnation[LINK(e, a)])

/* What the next session of a pair reports before anything else is sent on it. */
bool isResumePending[NE * NA];    /* a resume has not been read yet */
byte agentTasks[NE * NA];         /* tasks that the agent has, as a mask */
bool isNewIncarnation[NE * NA];   /* the agent's process is a new one, and the entry does not know yet */
bool isResumeWindowOver[NE * NA]; /* the resume window is over, and the agent may have forgotten its tasks */
bool isInFlightStale[NE * NA];    /* starts in flight carry a timestamp that is too old */

/* What an agent remembers. */
byte startedTasks[NA];  /* tasks started, as a mask */
byte finishedTasks[NA]; /* tasks finished, as a mask */
bool isRevoked[NA];
byte collector[NA];     /* entry + 1 */
byte starter[NA];       /* entry + 1 that sent the starts */

/* What ran at the endpoints, and what was reported to callers. */
byte startCount[NT];
bool isDone[NT];
byte reportedAnswer;
bool isTakeoverAnswered; /* a takeover was answered; its collect reached the agents of wasReached */
bool wasReached[NA];
bool isAgent0Used;
bool isDeadlineOver;     /* the deadline of the first owner's job has passed */

byte cutCount, entryDeathCount, agentDeathCount, forgetCount, lostAckCount;

#define BIT(t) (1 << (t))

inline reportFinal(answer) {
  assert(reportedAnswer == 0 || reportedAnswer == answer);
  reportedAnswer = answer;
  if
  :: answer == COMPLETE ->
     byte task;
     for (task : 0 .. NT - 1) { assert(isDone[task]) }
  :: else
  fi
}

inline reportNotRun(nonce) {
  notRunReported[nonce] = true
}

inline startTask(t, nonce, a) {
  startCount[t]++;
  assert(startCount[t] <= 1);
  assert(!notRunReported[nonce]);
  assert(!(isTakeoverAnswered && wasReached[a]));
  startedTasks[a] = startedTasks[a] | BIT(t)
}

/* Drops the frames of a pair whose connection is broken. */
inline dropFrames(link) {
  do
  :: nempty(toEntry[link]) -> toEntry[link]?_, _, _
  :: empty(toEntry[link]) -> break
  od;
#ifndef NO_SESSION_FENCE
  do
  :: nempty(toAgent[link]) -> toAgent[link]?_, _, _
  :: empty(toAgent[link]) -> break
  od
#endif
}

/* The agent opens a new session: it reports its tasks and sends its results again. */
inline openSession(e, a, t) {
  isResumePending[LINK(e, a)] = true;
  agentTasks[LINK(e, a)] = startedTasks[a];
  for (t : 0 .. NT - 1) {
    if
    :: (finishedTasks[a] & BIT(t)) && (collector[a] == 0 || collector[a] == e + 1) -> toEntry[LINK(e, a)]!RESULT, t, 0
    :: (startedTasks[a] & BIT(t)) && collector[a] != 0 && collector[a] != e + 1 -> toEntry[LINK(e, a)]!TAKEN_OVER, t, 0
    :: else
    fi
  }
}

proctype Network() {
  byte e, a, t;
  do
  /* A connection breaks and is opened again. */
  :: cutCount < MAX_CUTS -> atomic {
       cutCount++;
       if :: e = 0 :: e = 1 fi;
       a = 0;
#if NA > 1
       if :: a = 0 :: a = 1 fi;
#endif
#ifdef ONE_ENTRY
       e = 0;
#endif
       dropFrames(LINK(e, a));
       openSession(e, a, t);
       e = 0; a = 0; t = 0
     }
  /* A delayed write reaches the table. */
  :: isWriteDelayed[0] || isWriteDelayed[1] -> atomic {
       if :: isWriteDelayed[0] -> e = 0 :: isWriteDelayed[1] -> e = 1 fi;
       isWriteDelayed[e] = false;
       if
       :: rowVersion == delayedVersion[e] && rowAnswer == 0 ->
          rowVersion++; rowNonce = delayedNonce[e]; rowOwner = e + 1
       :: else
       fi;
       e = 0
     }
  od
}

proctype Agent(byte a) {
  byte e, t, nonce, link;
  do
  :: atomic {
       if :: e = 0; link = LINK(0, a) :: e = 1; link = LINK(1, a) fi;
       nempty(toAgent[link]) ->
       if
       :: toAgent[link]?START, t, nonce ->
          if
          :: isRevoked[a] ->
             if
             :: collector[a] != 0 && collector[a] != e + 1 -> toEntry[link]!TAKEN_OVER, t, 0
             :: else -> toEntry[link]!NOT_STARTED, t, 0
             fi
#ifndef NO_STAMP_CHECK
          :: !isRevoked[a] && isInFlightStale[link] -> toEntry[link]!NOT_STARTED, t, 0
          :: !isRevoked[a] && !isInFlightStale[link] ->
#else
          :: !isRevoked[a] ->
#endif
             if
             :: startedTasks[a] & BIT(t)
             :: else -> starter[a] = e + 1; startTask(t, nonce, a)
             fi
          fi
       :: toAgent[link]?COLLECT, t, nonce ->
#ifndef NO_COLLECT_REVOKES
          isRevoked[a] = true;
#endif
          collector[a] = e + 1;
          wasReached[a] = true;
          toEntry[link]!COLLECTED, startedTasks[a] & ~finishedTasks[a], finishedTasks[a];
          if
          :: starter[a] != 0 && starter[a] != e + 1 && len(toEntry[LINK(starter[a] - 1, a)]) < 4 ->
             toEntry[LINK(starter[a] - 1, a)]!TAKEN_OVER, 0, 0
          :: else
          fi
       fi;
       if :: len(toAgent[link]) == 0 -> isInFlightStale[link] = false :: else fi;
       t = 0; nonce = 0; link = 0; e = 0
     }
  /* A task ends. */
  :: atomic {
       (startedTasks[a] & ~finishedTasks[a]) != 0 ->
       if
       :: (startedTasks[a] & ~finishedTasks[a]) & 1 -> t = 0
#if NT > 1
       :: (startedTasks[a] & ~finishedTasks[a]) & 2 -> t = 1
#endif
       fi;
       finishedTasks[a] = finishedTasks[a] | BIT(t);
       isDone[t] = true;
       e = (collector[a] != 0 -> collector[a] - 1 : starter[a] - 1);
       if :: len(toEntry[LINK(e, a)]) < 4 -> toEntry[LINK(e, a)]!RESULT, t, 0 :: else fi;
       t = 0; e = 0
     }
  /* The agent's retention time is over: all that is in flight by then is stale, and no resume window is open. */
  :: atomic {
       forgetCount < MAX_FORGETS && startedTasks[a] == finishedTasks[a] && (startedTasks[a] != 0 || isRevoked[a]) ->
       forgetCount++;
#ifndef NO_KEEP_REVOKES
       /* A revoke is kept until the claim's deadline; the first owner starts nothing after that. */
       if :: isRevoked[a] -> isDeadlineOver = true :: else fi;
#endif
       startedTasks[a] = 0; finishedTasks[a] = 0; isRevoked[a] = false; collector[a] = 0; starter[a] = 0;
       for (e : 0 .. NE - 1) {
         isResumeWindowOver[LINK(e, a)] = true;
         if :: len(toAgent[LINK(e, a)]) > 0 -> isInFlightStale[LINK(e, a)] = true :: else fi
       }
       e = 0
     }
  /* The process dies; a new process without its memory replaces it. */
  :: atomic {
       agentDeathCount < MAX_AGENT_DEATHS ->
       agentDeathCount++;
       startedTasks[a] = 0; finishedTasks[a] = 0; isRevoked[a] = false; collector[a] = 0; starter[a] = 0; wasReached[a] = false;
       for (e : 0 .. NE - 1) {
         dropFrames(LINK(e, a));
#ifdef NO_INCARNATION
         isResumePending[LINK(e, a)] = true; agentTasks[LINK(e, a)] = 0
#else
         isNewIncarnation[LINK(e, a)] = true
#endif
       }
       e = 0
     }
  od
}

proctype Entry(byte e) {
  byte nonce, version, answer; /* of the claim that this entry owns or follows */
  byte seenNonce, seenOwner, seenVersion;
  byte taskState[NT];
  byte sentTo[NT];             /* the agent that a task was sent to */
  byte a, t, taskMask, doneMask;
  byte collectsPending;        /* agents that have not answered a collect, as a mask */
  bool mayStart;               /* the job's tasks may be started */
  bool hasAskedToCollect;      /* a collect was sent to the agents */
  bool inDoubt;
  byte submissionCount;

idle:
  /* The caller submits here, for the first time or again. */
  if
  :: atomic {
       nextNonce <= MAX_NONCE && submissionCount < 2 ->
       submissionCount++; nonce = nextNonce; nextNonce++; inDoubt = false; version = 0; mayStart = true
     }
  :: atomic { submissionCount < 2 -> submissionCount++; goto follow }
  :: goto end
  fi;

claim:
  /* Inserts or takes over the claim, on condition of the version that was read; the nonce identifies the claim. */
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
       lostAckCount < MAX_LOST_ACKS -> lostAckCount++;
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
  :: atomic { /* the write is delayed */
       !isWriteDelayed[e] && lostAckCount < MAX_LOST_ACKS -> lostAckCount++;
       isWriteDelayed[e] = true; delayedNonce[e] = nonce; delayedVersion[e] = version; inDoubt = true;
#ifdef NO_WAIT_FOR_OUTCOME
       goto own
#else
       goto claim
#endif
     }
  :: atomic { /* the time limit for the claim has passed */
       mayStart ->
       isReleased[nonce] = inDoubt;
       reportNotRun(nonce);
#ifdef NO_RELEASE
       goto own
#else
       goto idle
#endif
     }
  :: !mayStart -> goto idle             /* a takeover that is given up reports nothing about what ran */
  :: entryDeathCount < MAX_DEATHS -> entryDeathCount++; isDead[e] = true; goto end
  fi;

follow:
  atomic { seenNonce = rowNonce; seenOwner = rowOwner; seenVersion = rowVersion; answer = rowAnswer };
  if
  :: seenOwner == 0 -> goto idle
  :: answer != 0 -> atomic { reportFinal(answer); goto end }
  :: else
  fi;
  if
  :: nextNonce > MAX_NONCE -> goto end
  :: atomic { /* the owner reports that it started nothing and never will */
       nextNonce <= MAX_NONCE && isReleased[seenNonce] && !isDead[seenOwner - 1] ->
       nonce = nextNonce; nextNonce++; version = seenVersion; mayStart = true; inDoubt = false; goto claim
     }
  :: atomic { /* the owner is lost or considered lost */
       nextNonce <= MAX_NONCE && !isReleased[seenNonce] ->
       nonce = nextNonce; nextNonce++; version = seenVersion; inDoubt = false;
#ifdef NO_COLLECT_ONLY
       mayStart = true;
#else
       mayStart = false;
#endif
       goto claim
     }
  :: rowVersion != seenVersion -> goto follow
  :: goto end                        /* the caller goes away */
  fi;

own:
  atomic {
    seenNonce = 0; seenOwner = 0; seenVersion = 0; version = 0; inDoubt = false; answer = 0;
    hasAskedToCollect = false; collectsPending = 0;
    for (t : 0 .. NT - 1) { taskState[t] = (mayStart -> QUEUED : UNKNOWN); sentTo[t] = 0 }
    t = 0
  }

work:
  do
  /* A start goes to any agent whose session is open and resumed. */
  :: atomic {
       mayStart && !isDeadlineOver && ANY_QUEUED ->
       if
       :: taskState[0] == QUEUED -> t = 0
#if NT > 1
       :: taskState[1] == QUEUED -> t = 1
#endif
       fi;
       /* Agents are interchangeable: the first start goes to agent 0. */
       a = 0;
#if NA > 1
       if :: a = 0 :: isAgent0Used -> a = 1 fi;
#endif
       isAgent0Used = true;
       if
       :: !isResumePending[LINK(e, a)] && !isNewIncarnation[LINK(e, a)] && len(toAgent[LINK(e, a)]) < 2 ->
          toAgent[LINK(e, a)]!START, t, nonce;
          isResumeWindowOver[LINK(e, a)] = false;
          taskState[t] = SENT; sentTo[t] = a
       :: else
       fi;
       t = 0; a = 0
     }
  /* A takeover sends a collect to every agent that it reaches. */
  :: atomic {
       !mayStart && !hasAskedToCollect ->
       hasAskedToCollect = true;
       for (a : 0 .. NA - 1) {
         if
         :: len(toAgent[LINK(e, a)]) < 2 && !isNewIncarnation[LINK(e, a)] -> toAgent[LINK(e, a)]!COLLECT, 0, nonce; collectsPending = collectsPending | BIT(a)
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
       :: toEntry[LINK(e, a)]?RESULT, t, taskMask ->
          if
          :: (taskState[t] == SENT && sentTo[t] == a) || taskState[t] == UNKNOWN -> taskState[t] = DONE
          :: else
          fi;
          t = 0; taskMask = 0; a = 0
       :: toEntry[LINK(e, a)]?NOT_STARTED, t, taskMask ->
          if
          :: taskState[t] == SENT && sentTo[t] == a && mayStart -> taskState[t] = QUEUED
          :: else
          fi;
          t = 0; taskMask = 0; a = 0
       :: toEntry[LINK(e, a)]?TAKEN_OVER, t, taskMask ->
          t = 0; taskMask = 0; a = 0;
          if
          :: rowNonce != nonce -> goto follow
          :: else
          fi
       :: toEntry[LINK(e, a)]?COLLECTED, taskMask, doneMask ->
          collectsPending = collectsPending & ~BIT(a);
          for (t : 0 .. NT - 1) {
            if
            :: !mayStart && taskState[t] == UNKNOWN && (doneMask & BIT(t)) -> taskState[t] = DONE
            :: !mayStart && taskState[t] == UNKNOWN && (taskMask & BIT(t)) -> taskState[t] = SENT; sentTo[t] = a
            :: else
            fi
          }
          t = 0; taskMask = 0; doneMask = 0; a = 0
       fi
     }
  /* A session resumed: a task that the agent does not report was never accepted. */
  :: atomic {
#if NA > 1
       IS_RESUME_READABLE(0) || IS_RESUME_READABLE(1) ->
       if :: IS_RESUME_READABLE(0) -> a = 0 :: IS_RESUME_READABLE(1) -> a = 1 fi;
#else
       IS_RESUME_READABLE(0) ->
#endif
       isResumePending[LINK(e, a)] = false;
       doneMask = 0;
       for (t : 0 .. NT - 1) {
         if
#ifndef NO_HELD_CHECK
         :: taskState[t] == SENT && sentTo[t] == a && !(agentTasks[LINK(e, a)] & BIT(t)) ->
#else
         :: taskState[t] == SENT && sentTo[t] == a ->
#endif
            if
#ifndef NO_RESUME_WINDOW
            :: isResumeWindowOver[LINK(e, a)] -> doneMask = 1
            :: !isResumeWindowOver[LINK(e, a)] && mayStart -> taskState[t] = QUEUED
            :: !isResumeWindowOver[LINK(e, a)] && !mayStart -> doneMask = 1
#else
            :: mayStart -> taskState[t] = QUEUED
            :: !mayStart -> doneMask = 1
#endif
            fi
         :: else
         fi
       };
       t = 0; a = 0;
       if :: doneMask -> doneMask = 0; answer = FAILED; goto finish :: else fi
     }
  /* A new process of the agent: the tasks of the old one are lost. */
  :: atomic {
#if NA > 1
       isNewIncarnation[LINK(e, 0)] || isNewIncarnation[LINK(e, 1)] ->
       if :: isNewIncarnation[LINK(e, 0)] -> a = 0 :: isNewIncarnation[LINK(e, 1)] -> a = 1 fi;
#else
       isNewIncarnation[LINK(e, 0)] ->
#endif
       isNewIncarnation[LINK(e, a)] = false;
       collectsPending = collectsPending & ~BIT(a);
       doneMask = 0;
       for (t : 0 .. NT - 1) {
         if :: taskState[t] == SENT && sentTo[t] == a -> doneMask = 1 :: else fi
       };
       t = 0; a = 0;
       if :: doneMask -> doneMask = 0; answer = FAILED; goto finish :: else fi
     }
  /* All tasks are done. */
  :: ALL_DONE -> answer = COMPLETE; goto finish
#ifdef NO_WHOLE_ANSWER
  :: taskState[0] == DONE -> answer = COMPLETE; goto finish
#endif
  /* The deadline, a cancellation, a failed task, or a collect that leaves a task unknown. */
  :: atomic {
       mayStart && ALL_QUEUED -> reportNotRun(nonce); answer = FAILED; goto finish
     }
  :: answer = FAILED; goto finish
  :: entryDeathCount < MAX_DEATHS -> entryDeathCount++; isDead[e] = true; goto end
  od;

finish:
  /* The final state is committed before it is reported; the write is repeated until its outcome is known. */
#ifdef NO_COMMIT_BEFORE_TELLING
  atomic { reportFinal(answer); if :: !mayStart -> isTakeoverAnswered = true :: else fi; goto end };
#endif
  if
  :: atomic {
       if
       :: rowNonce == nonce && rowAnswer == 0 ->
          rowVersion++; rowAnswer = answer;
          reportFinal(answer);
          if :: !mayStart -> isTakeoverAnswered = true :: else fi;
          goto end
       :: rowNonce == nonce && rowAnswer == answer -> reportFinal(answer); goto end
       :: else -> goto follow
       fi
     }
  :: atomic { /* the acknowledgement is lost */
       lostAckCount < MAX_LOST_ACKS -> lostAckCount++;
       if :: rowNonce == nonce && rowAnswer == 0 -> rowVersion++; rowAnswer = answer :: else fi;
       goto finish
     }
  :: entryDeathCount < MAX_DEATHS -> entryDeathCount++; isDead[e] = true; goto end
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
