/*
 * Jobs handed on (forwarded) from one entry to another: two runs of one task
 * never overlap.
 *
 * The origin entry, which has the caller, hands a job with one task on to the
 * host, which orders it at one of NA agents, each with one endpoint. Origin entry
 * and host may die, stop responding, be cut off in one direction or be suspended at
 * any moment: an action that is possible need not happen, and every frame may
 * arrive late. The protocol's assumptions about time hold:
 *  - While the job is out at an agent, the host echoes to it only timestamps that
 *    it had received by the time at which the origin entry was last known to be
 *    alive (the host's own timestamp, echoed by the origin entry).
 *  - An entry lease ends ENTRY_LEASE after the timestamp that was echoed.
 *  - A run lease lasts RUN_LEASE from its renewal.
 *  - A caller sends its job again no sooner than RESEND_DELAY after its entry
 *    died, and RESEND_DELAY > ENTRY_LEASE + RUN_LEASE.
 * From the moment at which mayRunElsewhere is set, the job may start at any other
 * place: at the origin entry itself, or where its caller sends it again. What an
 * agent that dies leaves behind is the subject of lease.pml.
 */

#ifndef ENTRY_LEASE
#define ENTRY_LEASE 1
#endif
#ifndef RUN_LEASE
#define RUN_LEASE 1
#endif
#ifndef RESEND_DELAY
#define RESEND_DELAY (ENTRY_LEASE + RUN_LEASE + 1)   /* the termination bound, and 1 for the time that a stop takes */
#endif
#ifndef MAX_TIME
#define MAX_TIME 6
#endif

#ifndef NA
#define NA 2
#endif
#define NO_AGENT 255
#define TIME_SLOTS 8    /* more than MAX_TIME */

byte now = 1;

/* Endpoints and agents. */
bool running[NA];
byte runLeaseEnd[NA];   /* a run expires once this time has passed */
byte entryLeaseEnd[NA]; /* the agent may run tasks for the host until then */
bool orderInTransit[NA];
byte orderEcho[NA];     /* the highest echo when the order was sent: on one stream no later echo overtakes it */

/* Host. */
bool hostUp = true;
byte stampReadBy[NA * TIME_SLOTS]; /* the latest timestamp of the agent that was received by this time */
byte agentReceivedAt[NA]; /* when the last frame of the agent was received */
byte echoedStamp[NA];   /* the highest timestamp echoed */
byte originAliveAt;     /* the origin entry was alive then, on the host's clock */
bool hostHasJob;
byte sentTo = NO_AGENT; /* the agent with an order that is not confirmed terminated */
bool isRevoking;        /* the job was withdrawn, and its order is being revoked */

/* Origin entry. */
#define NOT_HANDED_ON 0
#define HANDED_ON 1
#define DISCONNECTED 2  /* its stream to the host is closed, or the host timed out */
#define TERMINATED 3    /* nothing of the job runs at the host's agents */
bool originUp = true;
byte originState = NOT_HANDED_ON;
byte hostStamp, hostReceivedAt; /* the host's latest timestamp, and when it was received */
bool offerInTransit;
bool withdrawalSent;    /* arrives after the offer */
bool terminationReported; /* the host has reported that nothing of the job runs any more */
byte originDiedAt;

/* The job may start outside the host's agents. */
bool mayRunElsewhere;

#define STAMP_READ_BY(a, t) stampReadBy[(a) * TIME_SLOTS + (t)]

#ifdef NO_HOLD_BACK     /* the host always echoes the latest timestamp */
#define ECHO(a) STAMP_READ_BY(a, now)
#else
#define ECHO(a) (sentTo == (a) -> STAMP_READ_BY(a, originAliveAt) : STAMP_READ_BY(a, now))
#endif

inline startRun(a) {
  assert(!running[0] && !running[NA - 1] && !mayRunElsewhere);
  running[a] = true;
  runLeaseEnd[a] = now + RUN_LEASE
}

inline expireRun(a) {
  if :: running[a] && entryLeaseEnd[a] < now -> running[a] = false :: else fi
}

inline renewEntryLease(a, stamp) {
  if :: stamp > 0 && stamp + ENTRY_LEASE > entryLeaseEnd[a] -> entryLeaseEnd[a] = stamp + ENTRY_LEASE :: else fi
}

/* From now on the job may start elsewhere; the host's agents must run nothing of it. */
inline allowRunElsewhere() {
  mayRunElsewhere = true;
  hostReceivedAt = 0;
  originDiedAt = 0;
  assert(!running[0] && !running[NA - 1])
}

inline advanceTime() {
  now++;
  for (i : 0 .. NA - 1) {
    STAMP_READ_BY(i, now) = STAMP_READ_BY(i, now - 1);
    if :: running[i] && runLeaseEnd[i] < now -> running[i] = false :: else fi
  }
}

init {
  byte i, a, echo;
  do
  :: now == MAX_TIME -> break
  :: now < MAX_TIME ->
     atomic {
     if :: a = 0 :: a = NA - 1 fi;
     if
     /* A frame of the agent arrives at the host, at once or late. */
     :: hostUp && STAMP_READ_BY(a, now) < now -> STAMP_READ_BY(a, now) = now; agentReceivedAt[a] = now
#ifdef LATE_AGENTS
     :: hostUp && STAMP_READ_BY(a, now) + 1 < now -> STAMP_READ_BY(a, now) = now - 1; agentReceivedAt[a] = now
#endif
     /* A frame of the host arrives at the origin entry, at once or late. */
     :: hostUp && originUp && (originState == NOT_HANDED_ON || originState == HANDED_ON) && hostStamp < now -> hostStamp = now; hostReceivedAt = now
#ifdef LATE_ENTRIES
     :: hostUp && originUp && (originState == NOT_HANDED_ON || originState == HANDED_ON) && hostStamp + 1 < now -> hostStamp = now - 1; hostReceivedAt = now
#endif
#ifdef NO_CLOSE          /* the origin entry still echoes after it has closed the stream or timed it out */
     :: hostUp && originUp && originState == DISCONNECTED && hostStamp < now -> hostStamp = now
#endif
     /* An echo of the origin entry arrives at the host at any time, also after the origin entry died. */
#ifdef NO_ECHO_STAMP
     :: hostUp && hostStamp > 0 -> originAliveAt = now
#else
     :: hostUp && hostStamp > originAliveAt ->
        originAliveAt = hostStamp;
        /* Older slots are not read again; they are reset so that states that differ only in them are one. */
        for (i : 0 .. NA * TIME_SLOTS - 1) { if :: i % TIME_SLOTS < originAliveAt -> stampReadBy[i] = 0 :: else fi }
#endif
     /* The origin entry hands the job on. */
     :: originUp && originState == NOT_HANDED_ON && hostStamp > 0 -> originState = HANDED_ON; offerInTransit = true
     /* The offer arrives at any time. */
     :: hostUp && offerInTransit -> offerInTransit = false; hostHasJob = true
     /* The host orders a start if no earlier order of it can run. */
     :: hostUp && hostHasJob && !isRevoking && sentTo == NO_AGENT && originAliveAt > 0 && STAMP_READ_BY(a, originAliveAt) > 0 && !orderInTransit[a] &&
#ifndef NO_START_BOUND
        echoedStamp[a] <= STAMP_READ_BY(a, originAliveAt) &&
#endif
        true ->
        sentTo = a;
        echo = ECHO(a);
        if :: echo > echoedStamp[a] -> echoedStamp[a] = echo :: else fi;
        orderInTransit[a] = true;
        orderEcho[a] = echoedStamp[a]
     /* The order arrives at the agent. */
     :: orderInTransit[a] ->
        orderInTransit[a] = false;
        renewEntryLease(a, orderEcho[a]);
        orderEcho[a] = 0;
        if
#ifndef NO_START_CHECK
        :: entryLeaseEnd[a] < now -> if :: sentTo == a -> sentTo = NO_AGENT :: else fi
        :: entryLeaseEnd[a] >= now ->
#else
        :: true ->
#endif
           if
           :: running[a] -> if :: sentTo == a -> sentTo = NO_AGENT :: else fi
           :: !running[a] -> startRun(a)
           fi
        fi
     /* The host sends an echo. */
     :: hostUp && ECHO(a) > echoedStamp[a] -> echoedStamp[a] = ECHO(a)
     /* An echo arrives at the agent, also after the host died. */
     :: echoedStamp[a] > 0 ->
        expireRun(a);
        if :: orderInTransit[a] -> renewEntryLease(a, orderEcho[a]) :: else -> renewEntryLease(a, echoedStamp[a]) fi
     /* The agent renews the run lease; a run whose entry lease has expired is stopped instead. */
     :: running[a] && entryLeaseEnd[a] >= now -> runLeaseEnd[a] = now + RUN_LEASE
     :: running[a] && entryLeaseEnd[a] < now -> running[a] = false
     /* The agent has been silent for longer than the termination bound: no run of the host is left there. */
     :: hostUp && sentTo == a && now > agentReceivedAt[a] + ENTRY_LEASE + RUN_LEASE -> sentTo = NO_AGENT
     /* The run ends and the host receives its result: a failed task is queued again, or the job ends. */
     :: hostUp && sentTo == a && !orderInTransit[a] && running[a] -> running[a] = false; sentTo = NO_AGENT
     :: hostUp && sentTo == a && !orderInTransit[a] && running[a] -> running[a] = false; sentTo = NO_AGENT; hostHasJob = false; terminationReported = true
     /* The run ends, and its result is lost. */
     :: running[a] -> running[a] = false
     /* The origin entry withdraws the job: its caller has gone, or the deadline has passed. */
     :: originUp && originState == HANDED_ON && !withdrawalSent -> withdrawalSent = true
     /* The withdrawal, or the end of the stream, arrives at the host after the offer. */
     :: hostUp && !offerInTransit && !isRevoking && (withdrawalSent || originState == DISCONNECTED || !originUp) ->
        isRevoking = true;
        hostHasJob = false;
#ifdef NO_OVER_PROOF     /* the host reports termination while its order may run */
        terminationReported = true
#else
        if :: sentTo == NO_AGENT -> terminationReported = true :: else fi
#endif
     /* The revoke arrives after the order, and the agent's answer at the host. */
     :: hostUp && isRevoking && sentTo == a && !orderInTransit[a] -> running[a] = false; sentTo = NO_AGENT; terminationReported = true
     /* The host refuses the job, or ends it while none of its orders can run. */
     :: hostUp && hostHasJob && sentTo == NO_AGENT && !isRevoking -> hostHasJob = false; terminationReported = true
     /* The host's report of termination reaches the origin entry, which may run the job or let it be sent again. */
     :: originUp && originState == HANDED_ON && terminationReported && !mayRunElsewhere -> originState = TERMINATED; allowRunElsewhere()
     /* The stream ends, or the origin entry times the host out; it echoes nothing to the host any more. */
     :: originUp && originState == HANDED_ON -> originState = DISCONNECTED
     :: originUp && originState == DISCONNECTED && !mayRunElsewhere &&
#ifndef NO_PROOF_BY_TIME
        now > hostReceivedAt + ENTRY_LEASE + RUN_LEASE &&
#endif
        true -> originState = TERMINATED; allowRunElsewhere()
     /* The origin entry dies; its caller sends the job again. */
     :: originUp && !mayRunElsewhere -> originUp = false; originDiedAt = now
     :: !originUp && !mayRunElsewhere &&
#ifndef NO_RESEND_GAP
        now >= originDiedAt + RESEND_DELAY &&
#endif
        true -> allowRunElsewhere()
     /* The host dies. */
     :: hostUp ->
        hostUp = false; hostHasJob = false; originAliveAt = 0; sentTo = NO_AGENT;
        for (i : 0 .. NA - 1) { agentReceivedAt[i] = 0 };
        for (i : 0 .. NA * TIME_SLOTS - 1) { stampReadBy[i] = 0 }
     :: advanceTime()
     fi;
     a = 0;
     i = 0;
     echo = 0
     }
  od
}
