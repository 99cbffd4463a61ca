/** Final states of a job, and the one before. */
export const JOB_STATES = {
  running: 'running',
  complete: 'complete',
  failed: 'failed'
} as const
export type JobState = typeof JOB_STATES[keyof typeof JOB_STATES]

/** What a failure or refusal says about the tasks. `notRun` is said only where it is certain. */
export const RUN_STATES = {
  notRun: 'not run',
  mayHaveRun: 'may have run',
  ran: 'ran'
} as const
export type RunState = typeof RUN_STATES[keyof typeof RUN_STATES]

/** How one start of a task ended. */
export const TASK_OUTCOMES = {
  /** The endpoint answered; the body is its answer. */
  done: 'done',
  /** The endpoint ran the task, or may have, and the attempt is over. */
  failed: 'failed',
  /** The start is proved not to have reached the endpoint, and never will. */
  notStarted: 'not_started'
} as const
export type TaskOutcome = typeof TASK_OUTCOMES[keyof typeof TASK_OUTCOMES]

/** What an entry answers a peer that asks for a job. */
export const PEER_ANSWERS = {
  /** The job's final answer is given. */
  final: 'final',
  /** The job runs on; ask again. */
  pending: 'pending',
  /** The claim is the callee's, nothing of it was started and nothing will be. */
  released: 'released',
  /** Not the incarnation or claim that was asked for. */
  unknown: 'unknown'
} as const
export type PeerAnswer = typeof PEER_ANSWERS[keyof typeof PEER_ANSWERS]

/** How a job ended that was handed to another entry. */
export const HAND_ON_ENDS = {
  complete: 'complete',
  failed: 'failed',
  /** Nothing of it was started and nothing will be. */
  refused: 'refused'
} as const
export type HandOnState = typeof HAND_ON_ENDS[keyof typeof HAND_ON_ENDS]

/** Rights of a token. */
export const TOKEN_ROLES = { caller: 'caller', operator: 'operator' } as const
export type TokenRole = typeof TOKEN_ROLES[keyof typeof TOKEN_ROLES]

/** Health of an endpoint as an entry sees it. */
export const HEALTH_STATES = { healthy: 'healthy', ejected: 'set_aside', probing: 'probing' } as const
export type HealthState = typeof HEALTH_STATES[keyof typeof HEALTH_STATES]

/** Metadata that carries the cluster token between processes. */
export const CLUSTER_TOKEN_HEADER = 'hazellift-cluster-token'

/** Request headers from an agent to its endpoint. */
export const TASK_HEADERS = {
  idempotencyKey: 'idempotency-key',
  leaseMs: 'hazellift-lease-ms'
} as const
