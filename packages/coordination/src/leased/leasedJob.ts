import type { OriginEntry } from './echoLimits.js'
import { submissionKey } from '../tasks/keys.js'
import { shedAt } from '@hazellift/decisions'
import type { JobView, QueueShare, Resources } from '@hazellift/decisions'
import type { Reason } from '@hazellift/protocol'

/** An ephemeral job as its caller submitted it: its claim and answer do not outlive the entry. */
export interface LeasedJobSpec {
  workspace: string
  id: string
  /** The caller's name for its request; used in logs only. */
  requestId: string
  service: string
  payload: string
  /** Number of tasks. */
  count: number
  /** Resources that each task uses. */
  need: Resources
  /** The caller's rough estimate of one task's run time, in ms; 0 for none. */
  estimateMs: number
  /** Kind of the tasks; run times are learned and compared per kind. */
  kind: string
  /** 0 is the most urgent. */
  priority: number
  /** Number of failed runs of one task after which the job fails; only failures by fault of the task or its endpoint count. */
  attempts: number
  /** Response time to meet. */
  objective: Objective
  /** How long the caller waits, in ms. */
  deadlineMs: number
  /** The entry that took the job from its caller, if it handed the job on to this one. */
  originEntry?: OriginEntry | undefined
}

/** Requested response time: `stretch` times the run time of a task plus `slackMs`. */
export interface Objective {
  stretch: number
  slackMs: number
  /** An answer that takes more than this many times the requested response time is of no use. */
  lateFactor: number
}

/** The job was refused: none of its tasks was started or will be. */
export interface LeasedRefusal {
  type: 'refused'
  reason: Reason
  message: string
  retryAfterMs: number
  /** Recent load and floor of its queue, if it was refused for lack of capacity. */
  share?: QueueShare | undefined
}

/** How an ephemeral job ended. */
export type LeasedJobEnd =
  | { type: 'complete' }
  | { type: 'failed', reason: Reason, message: string }
  | LeasedRefusal

/** State of a task at the entry. */
export const LEASED_TASK_STATES = {
  queued: 'queued',
  /** Sent to an agent; the run is not confirmed terminated. */
  sent: 'sent',
  done: 'done'
} as const

/** State of one task at the entry that dispatches it. */
export interface LeasedTaskRecord {
  state: typeof LEASED_TASK_STATES[keyof typeof LEASED_TASK_STATES]
  /** Number of its latest start among all starts of this process, from 1; 0 before the first. */
  attempt: number
  /** Runs that failed by fault of the task or its endpoint. */
  failures: number
  /** Agents that refused a start of the task, or where a run of it failed, crashed the endpoint or was too slow. */
  avoidedAgents: Set<string>
  /** Its run is being stopped, to run elsewhere. */
  isMoving: boolean
  /** An endpoint crashed under the task, which may be the cause. */
  isSuspect: boolean
}

/** A job at the entry that dispatches it. */
export interface LeasedJob extends LeasedJobSpec, Omit<JobView, keyof LeasedJobSpec> {
  /** Key of workspace and id. */
  key: string
  /** End of the caller's wait, in ms on the entry's monotonic clock, like the times of JobView. */
  deadlineAt: number
  tasks: LeasedTaskRecord[]
  /** Indexes of the tasks that wait to be sent, the next one last. */
  queue: number[]
  /** Tasks that are done. */
  doneCount: number
  /** Runs sent to agents that are not confirmed terminated. */
  unterminatedRuns: number
  /** Starts sent, less those confirmed never to have run. */
  mayHaveRun: number
  /** Longest run of a task that is done; 0 while none is. */
  longestRunMs: number
  /** How the job ended; runs may not be terminated yet. */
  end: LeasedJobEnd | undefined
  /** Called once, when the job ends. */
  onEnd: (end: LeasedJobEnd) => void
  /** Called once, when the job has ended and all its runs are confirmed terminated. */
  onTerminated: (() => void) | undefined
}

const newTask = (): LeasedTaskRecord => ({
  state: LEASED_TASK_STATES.queued, attempt: 0, failures: 0, avoidedAgents: new Set(), isMoving: false, isSuspect: false
})

/** Part of the response time outside the runs, in ms: network time to and from the caller, and starting and polling at the endpoint. */
const OVERHEAD_MS = 15

const timesOf = ({ objective, deadlineMs }: LeasedJobSpec, arrivedAt: number, expectedMs: number) => {
  const objectiveMs = objective.stretch * expectedMs + objective.slackMs - OVERHEAD_MS
  const deadlineAt = arrivedAt + deadlineMs
  const expiresAt = Math.min(deadlineAt, arrivedAt + objective.lateFactor * objectiveMs)
  return {
    dueAt: Math.min(deadlineAt, arrivedAt + objectiveMs),
    expiresAt,
    shedAt: shedAt({ arrivedAt, objectiveMs, expectedMs, deadlineMs }),
    deadlineAt
  }
}

/**
 * Creates a job with all its tasks queued.
 *
 * @param spec - what the caller submitted
 * @param arrivedAt - in ms on this process's monotonic clock
 * @param expectedMs - run time to expect of one task
 * @param onEnd - called once, when the job ends
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
