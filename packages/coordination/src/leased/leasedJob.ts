import type { OriginEntry } from './echoLimits.js'
import { submissionKey } from '../tasks/keys.js'
import { shedAt } from '@hazellift/decisions'
import type { JobView, QueueShare, Resources } from '@hazellift/decisions'
import type { Reason } from '@hazellift/protocol'

/** A job that is not kept, as its caller submitted it. */
export interface LeasedJobSpec {
  workspace: string
  id: string
  /** The caller's name for its request; logs only. */
  requestId: string
  service: string
  payload: string
  /** Number of tasks. */
  count: number
  /** What each task uses. */
  need: Resources
  /** The caller's rough guess of one task's run time, in ms; 0 for none. */
  estimateMs: number
  /** What a task may be of; tasks of one kind are compared with each other. */
  kind: string
  /** 0 goes first. */
  priority: number
  /** Runs of one task that may fail by its own fault or the endpoint's. */
  attempts: number
  /** What the answer should take. */
  objective: Objective
  /** How long the caller waits, in ms. */
  deadlineMs: number
  /** The entry that keeps the caller, where it is another one. */
  originEntry?: OriginEntry | undefined
}

/** Response time asked for: `stretch` times the run time of a task, and `slackMs` more. */
export interface Objective {
  stretch: number
  slackMs: number
  /** An answer that takes more than this many times as long is of no use. */
  lateFactor: number
}

/** Nothing of the job was started and nothing will be. */
export interface LeasedRefusal {
  type: 'refused'
  reason: Reason
  message: string
  retryAfterMs: number
  /** What its queue got and what was kept for it, if it was refused for want of room. */
  share?: QueueShare | undefined
}

/** How a job that is not kept ended. */
export type LeasedJobEnd =
  | { type: 'complete' }
  | { type: 'failed', reason: Reason, message: string }
  | LeasedRefusal

/** Where a task stands at the entry. */
export const LEASED_TASK_STATES = {
  queued: 'queued',
  /** Ordered at an agent; not proved to be over. */
  sent: 'sent',
  done: 'done'
} as const

/** One task at its entry. */
export interface LeasedTaskRecord {
  state: typeof LEASED_TASK_STATES[keyof typeof LEASED_TASK_STATES]
  attempt: number
  /** Runs that failed. */
  failures: number
  /** Agents where a run failed or was too slow. */
  avoidedAgents: Set<string>
  isMoving: boolean
  /** An endpoint crashed under it; it may be the cause. */
  isSuspect: boolean
}

/** A job at its entry. */
export interface LeasedJob extends LeasedJobSpec, Omit<JobView, keyof LeasedJobSpec> {
  key: string
  /** From then on nobody waits; in ms on the entry's monotonic clock, as the times of its view. */
  deadlineAt: number
  tasks: LeasedTaskRecord[]
  /** Tasks that wait to be sent, next one last. */
  queue: number[]
  doneCount: number
  /** Orders not proved to be over. */
  unterminatedRuns: number
  /** Orders sent that are not proved void: these tasks ran, run or may run. */
  mayHaveRun: number
  longestRunMs: number
  end: LeasedJobEnd | undefined
  onEnd: (end: LeasedJobEnd) => void
  /** Called once no order of it can run any more. */
  onTerminated: (() => void) | undefined
}

const newTask = (): LeasedTaskRecord => ({
  state: LEASED_TASK_STATES.queued, attempt: 0, failures: 0, avoidedAgents: new Set(), isMoving: false, isSuspect: false
})

/** Part of the response time that no run shows: the way to the caller and back, orders and looks at the endpoint, in ms. */
const OVERHEAD_MS = 15

const timesOf = ({ objective, deadlineMs }: LeasedJobSpec, arrivedAt: number, expectedMs: number) => {
  const objectiveMs = objective.stretch * expectedMs + objective.slackMs - OVERHEAD_MS
  const deadlineAt = arrivedAt + deadlineMs
  const expiresAt = Math.min(deadlineAt, arrivedAt + objective.lateFactor * objectiveMs)
  return {
    dueAt: Math.min(deadlineAt, arrivedAt + objectiveMs),
    expiresAt: expiresAt,
    shedAt: shedAt({ arrivedAt, objectiveMs, expectedMs, deadlineMs }),
    deadlineAt
  }
}

/**
 * A job with all its tasks queued.
 *
 * @param spec - what the caller submitted
 * @param arrivedAt - on this process's monotonic clock
 * @param expectedMs - run time of one task, as learned
 * @param onEnd - told of the end, once
 */
export const createLeasedJob = (spec: LeasedJobSpec, arrivedAt: number, expectedMs: number, onEnd: (end: LeasedJobEnd) => void): LeasedJob => ({
  ...spec,
  ...timesOf(spec, arrivedAt, expectedMs),
  key: submissionKey(spec.workspace, spec.id),
  arrivedAt,
  expectedMs,
  tasks: Array.from({ length: spec.count }, newTask),
  queue: Array.from({ length: spec.count }, (_, index) => spec.count - 1 - index),
  doneCount: 0,
  unterminatedRuns: 0,
  mayHaveRun: 0,
  longestRunMs: 0,
  end: undefined,
  onEnd,
  onTerminated: undefined
})
