/** States of a job; `complete` and `failed` are final. */
export const JOB_STATES = {
  running: 'running',
  complete: 'complete',
  failed: 'failed'
} as const
/** One of {@link JOB_STATES}. */
export type JobState = typeof JOB_STATES[keyof typeof JOB_STATES]

/** What a failure or refusal says about whether tasks ran. `notRun` is used only if it is certain that none did. */
export const RUN_STATES = {
  notRun: 'not run',
  mayHaveRun: 'may have run',
  ran: 'ran'
} as const
/** One of {@link RUN_STATES}. */
export type RunState = typeof RUN_STATES[keyof typeof RUN_STATES]

/** How one attempt to run a task ended. */
export const TASK_OUTCOMES = {
  /** The endpoint responded; the result carries its response body. */
  done: 'done',
  /** The endpoint ran the task or may have run it, and the attempt has ended. */
  failed: 'failed',
  /** It is certain that the start has not reached the endpoint and never will. */
  notStarted: 'not_started'
} as const
/** One of {@link TASK_OUTCOMES}. */
export type TaskOutcome = typeof TASK_OUTCOMES[keyof typeof TASK_OUTCOMES]

/** How an entry answers a peer that asks for one of its jobs. */
export const PEER_ANSWERS = {
  /** The reply carries the job's final answer. */
  final: 'final',
  /** The job has not ended yet; the peer asks again. */
  pending: 'pending',
  /** The claim belongs to the called entry, which released it before it started any task and will start none. */
  released: 'released',
  /** The called entry is another incarnation, or does not know the claim. */
  unknown: 'unknown'
} as const
/** One of {@link PEER_ANSWERS}. */
export type PeerAnswer = typeof PEER_ANSWERS[keyof typeof PEER_ANSWERS]

/** How a job ended that was handed on (forwarded to another entry). */
export const HAND_ON_ENDS = {
  complete: 'complete',
  failed: 'failed',
  /** The other entry has started none of its tasks and will start none. */
  refused: 'refused'
} as const
/** One of {@link HAND_ON_ENDS}. */
export type HandOnState = typeof HAND_ON_ENDS[keyof typeof HAND_ON_ENDS]

/** Roles of a token, which decide what its holder may do in a workspace. */
export const TOKEN_ROLES = { caller: 'caller', operator: 'operator' } as const
/** One of {@link TOKEN_ROLES}. */
export type TokenRole = typeof TOKEN_ROLES[keyof typeof TOKEN_ROLES]

/** Health of an endpoint as an entry sees it; an ejected endpoint failed too often and gets no tasks for a while. */
export const HEALTH_STATES = { healthy: 'healthy', ejected: 'set_aside', probing: 'probing' } as const
/** One of {@link HEALTH_STATES}. */
export type HealthState = typeof HEALTH_STATES[keyof typeof HEALTH_STATES]

/** Request header that carries the cluster token between processes of the cluster. */
export const CLUSTER_TOKEN_HEADER = 'hazellift-cluster-token'

/** Request headers from an agent to its endpoint. */
export const TASK_HEADERS = {
  idempotencyKey: 'idempotency-key',
  leaseMs: 'hazellift-lease-ms'
} as const
