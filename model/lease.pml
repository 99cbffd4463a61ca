/*
 * Ephemeral jobs: two runs of one task never overlap.
 *
 * Two entries, agents with one endpoint each, one task. Any process may die or be
 * suspended at any moment (an action that is possible need not happen), and frames,
 * echoes and orders may arrive late. Time is a small counter. The protocol's
 * assumptions about time hold:
 *  - An agent's entry lease ends ENTRY_LEASE after the timestamp that the entry echoed.
 *  - A run lease lasts RUN_LEASE from its renewal, on the endpoint's clock.
 *  - A caller sends its job again no sooner than RESEND_DELAY after its entry
 *    died or its connection broke, and RESEND_DELAY > ENTRY_LEASE + RUN_LEASE.
 * A stop by a live agent is one step. An endpoint may start again under its id; an
 * order reaches the incarnation that it is meant for or none, as the agent sends
 * orders only on connections on which this incarnation was announced.
 *
 * With SUSPENSIONS, time may pass that the monotonic clocks of an agent, an entry or
 * both do not count; endpoints and callers count it. A caller may be cut off from a
 * suspended entry, which learns of it when it resumes. Agents and entries notice a
 * suspension before they act: the agent's entry leases are then unverified until a
 * later timestamp is echoed, and the entry ends its sessions. The time limit of an
 * unverified lease is not modelled, as no run is renewed while its lease is
 * unverified. Frames arrive at once or not at all; echoes arrive at any time.
 *
 * With SESSIONS, agents may begin further sessions with the first entry at any time: an
 * earlier session has broken then, whether or not the entry knows. What the entry sent
 * on it and has not arrived is lost; a broken session with none after it is one on which
 * nothing arrives any more. On a new session the agent lists what it has of the entry. The caller
 * may leave a living entry (its connection broke), which asks the agent to end the run
 * (revoke). With MAX_UNNOTICED, the entry learns up to so many ticks later that its
 * caller has left, and acts meanwhile as before.
 *
 * With LEAVES, an endpoint may announce that it ends, and ends at any time after that; its
 * next incarnation begins later, or registers from another address before. The agent
 * orders and renews nothing at an endpoint that leaves, and counts its runs as terminated
 * by the endpoint's list, by the next incarnation in its place, or by time. What the next
 * incarnation runs beside one that leaves is not modelled.
 */

#ifndef ENTRY_LEASE
#define ENTRY_LEASE 1
#endif
#ifndef RUN_LEASE
#define RUN_LEASE 1
#endif
#ifndef RESEND_DELAY
#define RESEND_DELAY (ENTRY_LEASE + RUN_LEASE + 1) /* the termination bound, and 1 for the time that a stop takes */
#endif
#ifndef MAX_TIME
#define MAX_TIME 5
#endif
#ifndef MAX_LATE
#define MAX_LATE 1      /* orders to endpoints that are not answered */
#endif
#ifndef MAX_DEATHS
#define MAX_DEATHS 1    /* of agent processes */
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 0  /* of endpoints, under the same id */
#endif

#ifndef MAX_LEAVES
#define MAX_LEAVES 1    /* of endpoints */
#endif

#ifndef MAX_SESSIONS
#define MAX_SESSIONS 2  /* that begin after the first one of each pair */
#endif
#ifndef MAX_UNNOTICED
#ifdef NO_PROMPT_LEAVE
#define MAX_UNNOTICED 1
#else
#define MAX_UNNOTICED 0 /* ticks before the entry learns that its caller has left */
#endif
#endif

#ifndef NE
#define NE 2            /* entries: the first one has the job; the second one receives it when it is sent again */
#endif
#define NA 2            /* agents, each with one endpoint */
#define NONE 255
#ifdef OWN_AGENTS        /* each entry sends orders to its own agent; the echoes of the second entry reach both agents */
#define MAY_ORDER(a, e) ((a) == (e))
#ifdef SUSPENSIONS       /* and only the first entry and its agent are suspended */
#define MAY_RECEIVE(a, e) ((a) == (e))
#define MAY_BE_SUSPENDED(a, e) ((a) == 0 && (e) == 0)
#elif defined(SESSIONS)  /* no earlier echo of the second entry changes what may happen once it has the job */
#define MAY_RECEIVE(a, e) ((a) == (e) && ((e) == 0 || jobOwner == (e)))
#else
#define MAY_RECEIVE(a, e) ((a) <= (e))
#endif
#else
#define MAY_ORDER(a, e) true
#define MAY_RECEIVE(a, e) true
#endif
#ifndef MAY_BE_SUSPENDED
#define MAY_BE_SUSPENDED(a, e) true
#endif
#ifdef PROMPT_FRAMES     /* frames arrive at once or not at all */
#define LAST_RECEIVED(a, e) stampReceived[PAIR(a, e)]
#else
#define LAST_RECEIVED(a, e) receivedAt[PAIR(a, e)]
#endif
#ifdef NO_LIFE_CHECK
#define IS_OTHER_INCARNATION(a) false
#else
#define IS_OTHER_INCARNATION(a) isIncarnationUnknown[a]
#endif
#define PAIR(a, e) ((a) * NE + (e))
#ifndef MAX_SUSPENSIONS
#define MAX_SUSPENSIONS 2
#endif
#ifdef SUSPENSIONS
#define AGENT_NOW(a) (now - agentUncountedTime[a])
#define ENTRY_NOW(e) (now - entryUncountedTime[e])
#define IS_UNVERIFIED(a, e) isUnverified[PAIR(a, e)]
#define HAS_SESSION_ENDED(a, e) isSessionEnded[PAIR(a, e)]
#else
#define AGENT_NOW(a) now
#define ENTRY_NOW(e) now
#define IS_UNVERIFIED(a, e) false
#define HAS_SESSION_ENDED(a, e) false
#endif
#ifdef SESSIONS
#define HAS_LEFT_UNNOTICED hasLeftUnnoticed
#define IS_LIST_DUE(a, e) ((e) == 0 && isListDue[a])
#define IS_REVOKE_NEXT(a, e) ((e) == 0 && isRevokeInTransit[a] && !isRevokeAfterOrder[a])
#define HAS_CALLER_TO_RESEND (jobOwner == NONE)
#else
#define HAS_LEFT_UNNOTICED false
#define IS_LIST_DUE(a, e) false
#define IS_REVOKE_NEXT(a, e) false
#define HAS_CALLER_TO_RESEND (!entryUp[0] && jobOwner == NONE)
#endif
#ifdef LEAVES
#define PRESENT 0       /* an endpoint that has not announced its end */
#define LEAVING 1       /* it has, and its run may be in progress */
#define ENDED 2         /* its next incarnation is not known yet */
#define IS_PRESENT(a) (endpointPhase[a] == PRESENT)
#else
#define IS_PRESENT(a) true
#endif
/* The entry has the job, or has not learned yet that its caller has left. */
#define WANTS_JOB(e) (jobOwner == (e) || ((e) == 0 && HAS_LEFT_UNNOTICED))

byte now = 1;

/* Endpoints. */
bool running[NA];
byte runOwner[NA];
byte runLeaseEnd[NA];          /* a run expires once this time has passed */
byte highestToken[NA];         /* orders with a lower token are rejected */
bool isIncarnationUnknown[NA]; /* it has started again, and its agent does not know the new incarnation yet */

#ifdef LEAVES
byte endpointPhase[NA];
byte leaveCount;
#endif

/* A start order of the agent that was not answered; it may still be carried out. */
bool isOrderLate[NA];
byte lateOwner[NA], lateLeaseEnd[NA], lateToken[NA];
bool isRepeated[NA];    /* its run was ordered again with the same run number, and that order was answered */

/* Agents. */
bool agentUp[NA];
bool hasJoined[NA];     /* runs of an earlier process are known to have ended */
byte agentToken[NA];
byte entryLeaseEnd[NA * NE];

/* The latest timestamp of the agent that the entry has received, and when it was received. */
byte stampReceived[NA * NE], receivedAt[NA * NE];
bool orderInTransit[NA * NE]; /* an order of the entry has not arrived at the agent yet */
byte orderEcho[NA * NE];/* the latest timestamp when the order was sent: on one stream no later echo overtakes it */

/* Entries. */
bool entryUp[NE]; /* false also once the first entry knows that its caller is cut off */
byte jobOwner;    /* the entry that has the job; NONE while its caller waits to send it again */
byte ownerLostAt;
byte sentTo[NE];  /* the agent that has the entry's order, or NONE */
byte deathCount, lateCount, restartCount;

#ifdef SUSPENSIONS
byte agentUncountedTime[NA], entryUncountedTime[NE];     /* time that their monotonic clocks have not counted */
bool isAgentCheckDue[NA], isEntryCheckDue[NE];           /* a suspension shows in the time of day, and they have not checked it yet */
bool isUnverified[NA * NE];                              /* the agent's lease for the entry may have expired unnoticed */
bool isStampOutdated[NA * NE], isOrderOutdated[NA * NE]; /* the timestamp that the entry has received, or has echoed with an order, is from before the suspension */
bool isSessionEnded[NA * NE];                            /* the entry has ended its session with the agent */
bool isCallerCutOff;                                     /* the first entry's caller is cut off, and the entry does not know yet */
byte suspensionCount;
#endif

#ifdef SESSIONS
/* Sessions of the agents with the first entry. */
byte sessionCount;
bool isListDue[NA];           /* the agent has begun a session, and the entry has not received its list yet */
bool isRunListed[NA];         /* that list contains the task */
bool isRevokeInTransit[NA];   /* a revoke has not arrived at the agent yet */
bool isRevokeAfterOrder[NA];  /* it was sent after the order that is in transit */
byte revokeEcho[NA];          /* the latest timestamp that was echoed before it on its session */
bool hasLeftUnnoticed;        /* the caller has left the first entry, which does not know yet */
#ifdef NO_OUTDATED_HELLO
bool isOldListDue[NA], isOldRunListed[NA]; /* the list of the session before the latest one */
#endif
#endif

inline startRun(a, e) {
  assert(!running[0] && !running[1]);
  running[a] = true;
  runOwner[a] = e
}

/* The incarnation that the agent knows has terminated, and with it all runs that were ordered there. */
inline learnIncarnation(a) {
  isIncarnationUnknown[a] = false;
  if :: sentTo[0] == a && !orderInTransit[PAIR(a, 0)] -> sentTo[0] = NONE :: else fi;
  if :: sentTo[NE - 1] == a && !orderInTransit[PAIR(a, NE - 1)] -> sentTo[NE - 1] = NONE :: else fi
}

#ifdef LEAVES
/* The runs at the agent's endpoint count as terminated. */
inline loseRuns(a) {
  if :: sentTo[0] == a && !orderInTransit[PAIR(a, 0)] -> sentTo[0] = NONE :: else fi;
  if :: sentTo[NE - 1] == a && !orderInTransit[PAIR(a, NE - 1)] -> sentTo[NE - 1] = NONE :: else fi
}
#endif

/* Stops a run whose entry lease has expired. */
inline expireRun(a) {
  if
  :: running[a] && entryLeaseEnd[PAIR(a, runOwner[a])] < AGENT_NOW(a) -> running[a] = false
  :: else
  fi
}

#ifdef SUSPENSIONS
/* The agent compares its clocks. After a suspension, earlier timestamps do not verify its leases, which are unverified. */
inline checkAgentClocks(a) {
  if
  :: isAgentCheckDue[a] ->
     isAgentCheckDue[a] = false;
#ifndef NO_AGENT_WATCH
     isUnverified[PAIR(a, 0)] = (entryLeaseEnd[PAIR(a, 0)] > 0);
     isUnverified[PAIR(a, NE - 1)] = (entryLeaseEnd[PAIR(a, NE - 1)] > 0);
#ifndef NO_LATER_STAMP
     isStampOutdated[PAIR(a, 0)] = true;
     isStampOutdated[PAIR(a, NE - 1)] = true;
     isOrderOutdated[PAIR(a, 0)] = orderInTransit[PAIR(a, 0)];
     isOrderOutdated[PAIR(a, NE - 1)] = orderInTransit[PAIR(a, NE - 1)]
#endif
#endif
  :: else
  fi
}

/* The entry ends the session; frames in transit on it may still arrive. */
inline endSession(a, e) {
  isSessionEnded[PAIR(a, e)] = true
}

inline noticeCutOff() {
  if :: isCallerCutOff -> isCallerCutOff = false; entryUp[0] = false :: else fi
}

/* The entry compares its clocks. It learns that its caller is cut off before a new session is open. */
inline checkEntryClocks(e) {
  if
  :: isEntryCheckDue[e] ->
     isEntryCheckDue[e] = false;
#ifndef NO_ENTRY_WATCH
     endSession(0, e);
     endSession(1, e);
     if :: e == 0 -> noticeCutOff() :: else fi
#endif
  :: else
  fi
}

/* The agent's side of the session has ended, and a new session begins. */
inline beginSession(a, e) {
  isSessionEnded[PAIR(a, e)] = false;
#ifndef NO_SESSION_CHECK
  if
  :: isUnverified[PAIR(a, e)] ->
     isUnverified[PAIR(a, e)] = false;
     entryLeaseEnd[PAIR(a, e)] = 0;
     expireRun(a)
  :: else
  fi
#endif
}

inline suspendAgent(a) { agentUncountedTime[a]++; isAgentCheckDue[a] = true }

/* The caller may be cut off during the suspension. */
inline suspendEntry(e) {
  entryUncountedTime[e]++;
  isEntryCheckDue[e] = true;
  if
  :: e == 0 && NE > 1 && entryUp[0] && jobOwner == 0 -> isCallerCutOff = true; jobOwner = NONE; ownerLostAt = now
  :: true
  fi
}
#endif

#ifdef SESSIONS
#ifdef NO_ECHO_AFTER_LIST
#define ECHOED_ON_SESSION(a) stampReceived[PAIR(a, 0)]
#else
#define ECHOED_ON_SESSION(a) (isListDue[a] -> 0 : stampReceived[PAIR(a, 0)])
#endif

/* The latest timestamp that an echo may carry which arrives now: on one session none overtakes an order or a revoke. */
inline findEcho(a, e) {
  if :: e == 0 -> echo = ECHOED_ON_SESSION(a) :: else -> echo = stampReceived[PAIR(a, e)] fi;
  if :: orderInTransit[PAIR(a, e)] && orderEcho[PAIR(a, e)] < echo -> echo = orderEcho[PAIR(a, e)] :: else fi;
#ifndef NO_REVOKE_ORDER
  if :: e == 0 && isRevokeInTransit[a] && revokeEcho[a] < echo -> echo = revokeEcho[a] :: else fi
#endif
}

inline sendRevoke(a, echoed) {
  isRevokeInTransit[a] = true;
  isRevokeAfterOrder[a] = orderInTransit[PAIR(a, 0)];
  revokeEcho[a] = echoed
}

inline dropRevoke(a) {
  isRevokeInTransit[a] = false;
  isRevokeAfterOrder[a] = false;
  revokeEcho[a] = 0
}

/* The agent lists what it has of the entry. What was sent on the earlier session arrives no more. */
inline beginListedSession(a) {
#ifdef NO_OUTDATED_HELLO
  isOldListDue[a] = isListDue[a];
  isOldRunListed[a] = isListDue[a] && isRunListed[a];
#endif
  isListDue[a] = true;
#ifdef NO_UNANSWERED_LISTED
  isRunListed[a] = (running[a] && runOwner[a] == 0);
#else
  isRunListed[a] = ((running[a] && runOwner[a] == 0) || (isOrderLate[a] && lateOwner[a] == 0));
#endif
  dropRevoke(a);
#ifdef NO_SESSION_FENCE
  if :: orderInTransit[PAIR(a, 0)] -> orderEcho[PAIR(a, 0)] = NONE :: else fi /* which limits no echo on the new session */
#else
  orderInTransit[PAIR(a, 0)] = false;
  orderEcho[PAIR(a, 0)] = 0
#endif
}

/* The entry compares the list with what it wants. A start that is not listed was never accepted. */
inline reconcile(a) {
  isListDue[a] = false;
#ifndef NO_RECONCILE
  if
  :: isRunListed[a] && !(WANTS_JOB(0) && sentTo[0] == a) && !isRevokeInTransit[a] ->
#ifdef NO_ECHO_AFTER_LIST
     sendRevoke(a, stampReceived[PAIR(a, 0)])
#else
     sendRevoke(a, 0)
#endif
  :: else
  fi;
#endif
  if :: !isRunListed[a] && sentTo[0] == a -> sentTo[0] = NONE :: else fi;
  isRunListed[a] = false
}

/* The entry learns that its caller has left, and asks the agent to end the run. */
inline noticeLeave() {
  hasLeftUnnoticed = false;
#ifndef NO_REVOKE
  if
  :: sentTo[0] != NONE ->
     if
     :: sendRevoke(sentTo[0], ECHOED_ON_SESSION(sentTo[0]))
     :: isListDue[sentTo[0]] /* sent on the earlier session, and lost */
     fi
  :: else
  fi
#endif
}
#endif

inline renewEntryLease(a, e, stamp) {
#ifdef NO_ECHO_STAMP
  if :: stamp > 0 -> entryLeaseEnd[PAIR(a, e)] = AGENT_NOW(a) + ENTRY_LEASE :: else fi
#else
  if :: stamp > 0 && stamp + ENTRY_LEASE > entryLeaseEnd[PAIR(a, e)] -> entryLeaseEnd[PAIR(a, e)] = stamp + ENTRY_LEASE :: else fi
#endif
}

/* The endpoint carries out a start order. */
inline acceptOrder(a, e, leaseEnd, orderToken) {
  if
#ifndef NO_FENCE
  :: orderToken < highestToken[a] -> skip
#endif
#ifndef NO_LATE_CHECK
  :: leaseEnd < now -> skip
#endif
  :: else ->
     if :: orderToken > highestToken[a] -> highestToken[a] = orderToken :: else fi;
     if :: leaseEnd > runLeaseEnd[a] -> runLeaseEnd[a] = leaseEnd :: else fi;
     startRun(a, e)
  fi
}

/* Runs whose leases were not renewed expire, on the endpoints' own clocks. */
inline advanceTime() {
#ifdef SESSIONS
  if :: hasLeftUnnoticed && now >= ownerLostAt + MAX_UNNOTICED -> noticeLeave() :: else fi;
#endif
  now++;
  if :: running[0] && runLeaseEnd[0] < now -> running[0] = false :: else fi;
  if :: running[1] && runLeaseEnd[1] < now -> running[1] = false :: else fi
}

init {
  byte i, a, e;
#ifdef SESSIONS
  byte echo;
#endif
  atomic {
    for (i : 0 .. NA - 1) { agentUp[i] = true; hasJoined[i] = true; agentToken[i] = 1; highestToken[i] = 1 }
    for (i : 0 .. NE - 1) { entryUp[i] = true; sentTo[i] = NONE }
    jobOwner = 0
  }
  do
  :: now == MAX_TIME -> break
  :: now < MAX_TIME ->
     atomic {
     /* One step of one pair of agent and entry, or of their environment. */
     if :: a = 0 :: a = 1 fi;
     if :: e = 0 :: e = NE - 1 fi;
     if
     /* A frame arrives at the entry, at once or late. */
#ifdef SUSPENSIONS
     :: agentUp[a] && entryUp[e] && MAY_RECEIVE(a, e) ->
        checkAgentClocks(a);
        checkEntryClocks(e);
        if
        :: !entryUp[e]
#ifndef NO_LOSS_BEFORE_FRAME
        :: entryUp[e] && sentTo[e] == a && ENTRY_NOW(e) > receivedAt[PAIR(a, e)] + ENTRY_LEASE + RUN_LEASE ->
           sentTo[e] = NONE;
           endSession(a, e)
#endif
        :: entryUp[e] ->
           if :: isSessionEnded[PAIR(a, e)] -> beginSession(a, e) :: else fi;
           stampReceived[PAIR(a, e)] = AGENT_NOW(a);
           receivedAt[PAIR(a, e)] = ENTRY_NOW(e);
           isStampOutdated[PAIR(a, e)] = false
        fi
#elif defined(PROMPT_FRAMES)
     :: agentUp[a] && entryUp[e] && MAY_RECEIVE(a, e) && !IS_LIST_DUE(a, e) && stampReceived[PAIR(a, e)] < now -> stampReceived[PAIR(a, e)] = now
#else
     :: agentUp[a] && entryUp[e] && MAY_RECEIVE(a, e) && !IS_LIST_DUE(a, e) && stampReceived[PAIR(a, e)] < now -> stampReceived[PAIR(a, e)] = now; receivedAt[PAIR(a, e)] = now
     :: agentUp[a] && entryUp[e] && MAY_RECEIVE(a, e) && !IS_LIST_DUE(a, e) && stampReceived[PAIR(a, e)] + 1 < now -> stampReceived[PAIR(a, e)] = now - 1; receivedAt[PAIR(a, e)] = now
#endif
     /* An echo arrives at the agent, also after its entry died. An echo older than the latest one would renew the lease for less time. */
#ifdef SUSPENSIONS
     :: agentUp[a] && stampReceived[PAIR(a, e)] > 0 ->
        checkAgentClocks(a);
        if
        :: (orderInTransit[PAIR(a, e)] && isOrderOutdated[PAIR(a, e)]) || (!orderInTransit[PAIR(a, e)] && isStampOutdated[PAIR(a, e)])
        :: else ->
           expireRun(a);
           isUnverified[PAIR(a, e)] = false;
           if
           :: orderInTransit[PAIR(a, e)] -> renewEntryLease(a, e, orderEcho[PAIR(a, e)])
           :: else -> renewEntryLease(a, e, stampReceived[PAIR(a, e)])
           fi
        fi
#elif defined(SESSIONS)
     :: agentUp[a] && stampReceived[PAIR(a, e)] > 0 ->
        expireRun(a);
        findEcho(a, e);
        renewEntryLease(a, e, echo);
        echo = 0
#else
     :: agentUp[a] && stampReceived[PAIR(a, e)] > 0 ->
        expireRun(a);
#ifndef NO_ORDERED_STREAM
        if
        :: orderInTransit[PAIR(a, e)] -> renewEntryLease(a, e, orderEcho[PAIR(a, e)])
        :: else -> renewEntryLease(a, e, stampReceived[PAIR(a, e)])
        fi
#else
        renewEntryLease(a, e, stampReceived[PAIR(a, e)])
#endif
#endif
     /* The entry orders a start if none of its earlier orders can run. */
     :: entryUp[e] && WANTS_JOB(e) && MAY_ORDER(a, e) && sentTo[e] == NONE && stampReceived[PAIR(a, e)] > 0 && !HAS_SESSION_ENDED(a, e) ->
#ifdef SUSPENSIONS
        checkEntryClocks(e);
        if
        :: entryUp[e] && !isSessionEnded[PAIR(a, e)] ->
           sentTo[e] = a;
           orderInTransit[PAIR(a, e)] = true;
           orderEcho[PAIR(a, e)] = stampReceived[PAIR(a, e)];
           isOrderOutdated[PAIR(a, e)] = isStampOutdated[PAIR(a, e)]
        :: else
        fi
#elif defined(SESSIONS)
        sentTo[e] = a;
        if
#ifndef NO_START_AFTER_LIST
        :: IS_LIST_DUE(a, e) /* sent on the earlier session, and lost */
#endif
        :: else ->
           orderInTransit[PAIR(a, e)] = true;
           if :: e == 0 -> orderEcho[PAIR(a, e)] = ECHOED_ON_SESSION(a) :: else -> orderEcho[PAIR(a, e)] = stampReceived[PAIR(a, e)] fi
        fi
#else
        sentTo[e] = a;
        orderInTransit[PAIR(a, e)] = true;
        orderEcho[PAIR(a, e)] = stampReceived[PAIR(a, e)]
#endif
     /* The order arrives, at any time. */
     :: agentUp[a] && orderInTransit[PAIR(a, e)] && !IS_REVOKE_NEXT(a, e) ->
#ifdef SUSPENSIONS
        checkAgentClocks(a);
        isOrderOutdated[PAIR(a, e)] = false;
#endif
        orderInTransit[PAIR(a, e)] = false;
        orderEcho[PAIR(a, e)] = 0;
        if
#ifndef NO_START_CHECK
        :: entryLeaseEnd[PAIR(a, e)] < AGENT_NOW(a) || IS_UNVERIFIED(a, e) || !hasJoined[a] || !IS_PRESENT(a) -> if :: sentTo[e] == a -> sentTo[e] = NONE :: else fi
        :: entryLeaseEnd[PAIR(a, e)] >= AGENT_NOW(a) && !IS_UNVERIFIED(a, e) && hasJoined[a] && IS_PRESENT(a) ->
#else
        :: true ->
#endif
           if
           :: IS_OTHER_INCARNATION(a) -> /* another incarnation was announced on its connection: nothing is ordered there */
              learnIncarnation(a);
              if :: sentTo[e] == a -> sentTo[e] = NONE :: else fi
           :: !IS_OTHER_INCARNATION(a) && (running[a] || isOrderLate[a]) -> /* an earlier order has not terminated: refused, and sent again after a delay */
              if :: sentTo[e] == a -> sentTo[e] = NONE :: else fi
           :: !IS_OTHER_INCARNATION(a) && !running[a] && !isOrderLate[a] -> acceptOrder(a, e, now + RUN_LEASE, agentToken[a])
           :: !IS_OTHER_INCARNATION(a) && !running[a] && !isOrderLate[a] && lateCount < MAX_LATE -> /* not answered */
              isOrderLate[a] = true;
              lateCount++;
              lateOwner[a] = e;
              lateLeaseEnd[a] = now + RUN_LEASE;
              lateToken[a] = agentToken[a];
              isRepeated[a] = false
           fi
        fi
     /* The agent is considered lost: enough time has passed that none of its runs can be left. */
     :: entryUp[e] && sentTo[e] == a &&
#ifndef NO_PROOF_BY_TIME
        ENTRY_NOW(e) > LAST_RECEIVED(a, e) + ENTRY_LEASE + RUN_LEASE &&
#endif
        true ->
#ifdef SUSPENSIONS
        endSession(a, e);
#endif
        sentTo[e] = NONE
     /* The agent renews the run lease by a poll; a run whose entry lease has expired is stopped first. */
     :: agentUp[a] && hasJoined[a] && IS_PRESENT(a) && !IS_OTHER_INCARNATION(a) && (entryLeaseEnd[PAIR(a, 0)] >= AGENT_NOW(a) || entryLeaseEnd[PAIR(a, NE - 1)] >= AGENT_NOW(a)) ->
#ifdef SUSPENSIONS
        checkAgentClocks(a);
#endif
#ifndef NO_LAPSE_BEFORE_HOLD
        expireRun(a);
#endif
        if
#ifndef NO_HOLD_CHECK
        :: running[a] && IS_UNVERIFIED(a, runOwner[a]) -> skip /* a poll without renewal */
#endif
        :: else -> if :: now + RUN_LEASE > runLeaseEnd[a] -> runLeaseEnd[a] = now + RUN_LEASE :: else fi
        fi
     /* An order that was not answered is carried out late. */
     :: isOrderLate[a] ->
        isOrderLate[a] = false;
        if
#ifndef NO_RUN_NUMBER
        :: !running[a] && !isRepeated[a] ->
#else
        :: !running[a] ->
#endif
           acceptOrder(a, lateOwner[a], lateLeaseEnd[a], lateToken[a])
        :: else /* a run with this number is there or has ended there */
        fi
     /* The agent orders the same run again, and the order is answered. */
     :: agentUp[a] && hasJoined[a] && IS_PRESENT(a) && isOrderLate[a] && !isRepeated[a] && sentTo[lateOwner[a]] == a && !orderInTransit[PAIR(a, lateOwner[a])] &&
        !running[a] && agentToken[a] == lateToken[a] &&
#ifndef NO_REPEAT_CHECK
        entryLeaseEnd[PAIR(a, lateOwner[a])] >= AGENT_NOW(a) &&
#endif
        true ->
#ifdef SUSPENSIONS
        checkAgentClocks(a);
        if
        :: IS_UNVERIFIED(a, lateOwner[a]) -> skip
        :: else ->
           isRepeated[a] = true;
           acceptOrder(a, lateOwner[a], now + RUN_LEASE, agentToken[a])
        fi
#else
        isRepeated[a] = true;
        acceptOrder(a, lateOwner[a], now + RUN_LEASE, agentToken[a])
#endif
     /* A poll shows that this run has terminated. */
     :: agentUp[a] && hasJoined[a] && isOrderLate[a] && isRepeated[a] && !running[a] && sentTo[lateOwner[a]] == a && !orderInTransit[PAIR(a, lateOwner[a])] ->
        sentTo[lateOwner[a]] = NONE
     /* The agent sends a stop, so that the order is never carried out, and reports that nothing ran. */
     :: agentUp[a] && isOrderLate[a] && !running[a] && !isRepeated[a] && sentTo[lateOwner[a]] == a && !orderInTransit[PAIR(a, lateOwner[a])] ->
#ifndef NO_STOP_PROOF
        isOrderLate[a] = false;
#endif
        sentTo[lateOwner[a]] = NONE
     /* The run ends, and its entry learns of it: the job is done. */
     :: agentUp[a] && running[a] -> running[a] = false
     /* The agent dies; its next process first ensures that nothing runs. */
     :: agentUp[a] && deathCount < MAX_DEATHS -> agentUp[a] = false; hasJoined[a] = false; deathCount++;
        entryLeaseEnd[PAIR(a, 0)] = 0; entryLeaseEnd[PAIR(a, NE - 1)] = 0
     :: !agentUp[a] -> agentUp[a] = true; agentToken[a]++;
#ifdef SESSIONS
        dropRevoke(a);
        isListDue[a] = false;
        isRunListed[a] = false;
#endif
        orderInTransit[PAIR(a, 0)] = false; orderInTransit[PAIR(a, NE - 1)] = false;
        orderEcho[PAIR(a, 0)] = 0; orderEcho[PAIR(a, NE - 1)] = 0;
        stampReceived[PAIR(a, 0)] = 0; stampReceived[PAIR(a, NE - 1)] = 0
     :: agentUp[a] && !hasJoined[a] && IS_PRESENT(a) ->
        hasJoined[a] = true;
        isIncarnationUnknown[a] = false;
        highestToken[a] = agentToken[a];
#ifndef NO_JOIN
        running[a] = false;
#endif
        /* Entries that receive frames of the new process know that no run of the old one is left. */
        if :: sentTo[0] == a && !orderInTransit[PAIR(a, 0)] -> sentTo[0] = NONE :: else fi;
        if :: sentTo[NE - 1] == a && !orderInTransit[PAIR(a, NE - 1)] -> sentTo[NE - 1] = NONE :: else fi
     /* The endpoint crashes and starts again under its id: nothing runs, and no token was received. */
     :: restartCount < MAX_RESTARTS && IS_PRESENT(a) && !isIncarnationUnknown[a] ->
        restartCount++;
        running[a] = false;
        isOrderLate[a] = false;
        runLeaseEnd[a] = 0;
        highestToken[a] = 0;
        isIncarnationUnknown[a] = true
     /* A heartbeat or a new connection announces the new incarnation to the agent. */
     :: agentUp[a] && hasJoined[a] && isIncarnationUnknown[a] -> learnIncarnation(a); highestToken[a] = agentToken[a]
#ifdef LEAVES
     /* The endpoint announces that it ends. */
     :: leaveCount < MAX_LEAVES && agentUp[a] && hasJoined[a] && IS_PRESENT(a) && !isIncarnationUnknown[a] ->
        leaveCount++;
        endpointPhase[a] = LEAVING;
#ifdef NO_END_PROOF
        loseRuns(a)
#endif
     /* A poll lists nothing, after the stop of what may still begin there. */
     :: agentUp[a] && hasJoined[a] && endpointPhase[a] == LEAVING && !running[a] && !isOrderLate[a] -> loseRuns(a)
     /* All that was ordered or renewed there has expired. */
     :: agentUp[a] && hasJoined[a] && !IS_PRESENT(a) && now > runLeaseEnd[a] &&
#ifndef NO_UNANSWERED_LEASE
        !(isOrderLate[a] && lateLeaseEnd[a] >= now) &&
#endif
        true -> loseRuns(a)
     /* It ends, and with it what ran there. */
     :: endpointPhase[a] == LEAVING ->
        endpointPhase[a] = ENDED;
        running[a] = false;
        isOrderLate[a] = false;
        runLeaseEnd[a] = 0;
        highestToken[a] = 0
     /* Its next incarnation answers in its place. */
     :: agentUp[a] && endpointPhase[a] == ENDED ->
        endpointPhase[a] = PRESENT;
        if :: hasJoined[a] -> loseRuns(a); highestToken[a] = agentToken[a] :: else fi
     /* A later process of the agent reports the next incarnation, at another address than that of the one that leaves. */
     :: agentUp[a] && !hasJoined[a] && endpointPhase[a] == LEAVING ->
#ifdef NO_ADDRESS_CHECK
        loseRuns(a)
#else
        skip
#endif
#endif
#ifdef SESSIONS
     /* An agent begins a session with the first entry; the earlier one has broken. */
     :: e == 0 && MAY_RECEIVE(a, 0) && agentUp[a] && hasJoined[a] && sessionCount < MAX_SESSIONS -> sessionCount++; beginListedSession(a)
     :: e == 0 && isListDue[a] -> reconcile(a)
#ifdef NO_OUTDATED_HELLO
     :: e == 0 && isOldListDue[a] && !isListDue[a] ->
        isOldListDue[a] = false;
        if :: !isOldRunListed[a] && sentTo[0] == a -> sentTo[0] = NONE :: else fi;
        isOldRunListed[a] = false
#endif
     /* A revoke arrives. */
     :: agentUp[a] && e == 0 && isRevokeInTransit[a] && !(isRevokeAfterOrder[a] && orderInTransit[PAIR(a, 0)]) ->
        dropRevoke(a);
        if :: running[a] && runOwner[a] == 0 -> running[a] = false :: else fi;
        if :: isOrderLate[a] && lateOwner[a] == 0 -> isOrderLate[a] = false :: else fi /* the stop voids it */
     /* The caller leaves the first entry and sends the job again to the other one. An entry that dies is one whose revoke and later steps do not come. */
     :: jobOwner == 0 && NE > 1 ->
        ownerLostAt = now;
        jobOwner = NONE;
        hasLeftUnnoticed = true;
        if :: MAX_UNNOTICED == 0 -> noticeLeave() :: else fi
     :: hasLeftUnnoticed -> noticeLeave()
#else
     /* The first entry dies; its caller sends the job again to the other one. */
     :: entryUp[0] && NE > 1 -> entryUp[0] = false; ownerLostAt = now; jobOwner = NONE
#endif
     :: HAS_CALLER_TO_RESEND &&
#ifndef NO_RESEND_GAP
        now >= ownerLostAt + RESEND_DELAY &&
#endif
        true -> jobOwner = NE - 1
#ifdef SUSPENSIONS
     :: true -> noticeCutOff(); advanceTime()
     :: suspensionCount < MAX_SUSPENSIONS && MAY_BE_SUSPENDED(a, e) ->
        suspensionCount++;
        if
        :: suspendAgent(a)
        :: suspendEntry(e)
        :: suspendAgent(a); suspendEntry(e)
        fi;
        advanceTime()
#elif defined(SESSIONS)
     :: true -> advanceTime()
#else
     :: advanceTime()
#endif
     fi;
     a = 0;
     e = 0
     }
  od
}
