import type { JobAnswer } from '@hazellift/protocol'
import { submissionKey } from '../tasks/keys.js'

/** Where a task of a job stands at the entry that owns the job. */
export const TASK_STATES = {
  queued: 'queued',
  /** Sent to an agent; whether it was accepted is not known yet. */
  sent: 'sent',
  done: 'done',
  /** Of a job taken over: whether it was ever started is not known. */
  unknown: 'unknown'
} as const

/** One task of a job. */
export interface JobTask {
  state: typeof TASK_STATES[keyof typeof TASK_STATES]
  payload: string
  /** The endpoint's answer once done. */
  result?: string
  /** Agent that it was sent to last. */
  agentId?: string
  /** Attempts that ended in a failure. */
  failures: number
  queuedAt: number
}

/** What a job is made from. */
export interface JobOptions {
  workspace: string
  id: string
  service: string
  payloads: string[]
  unrepeatable: boolean
  /** Higher goes first within the workspace. */
  priority: number
  /** How often a task may be tried again after a failed attempt. */
  retries: number
  leaseMs: number
  /** On the entry's monotonic clock. */
  arrivedAt: number
  deadlineAt: number
}

/** A claimed job at the entry that owns it. */
export interface Job extends Omit<JobOptions, 'payloads'> {
  key: string
  tasks: JobTask[]
  /** Tasks that wait to be sent; the next one is last. */
  queue: number[]
  doneCount: number
  /** Starts sent and not proved void: these tasks ran, run or may run. */
  mayHaveRun: number
  /** True once a task is known to have run. */
  hasRun: boolean
  /** Agents that were asked what they know, while the job is being taken over. */
  collecting?: Set<string>
  answer?: JobAnswer
}

/**
 * A job with all its tasks queued.
 *
 * @param options - the submission and the policy's decision
 */
export const createJob = ({ payloads, ...options }: JobOptions): Job => ({
  ...options,
  key: submissionKey(options.workspace, options.id),
  tasks: payloads.map((payload) => ({ state: TASK_STATES.queued, payload, failures: 0, queuedAt: options.arrivedAt })),
  queue: payloads.map((_, index) => payloads.length - 1 - index),
  doneCount: 0,
  mayHaveRun: 0,
  hasRun: false
})

/**
 * A job taken over from a lost owner: nothing is queued, and nothing ever will be.
 *
 * @param options - from the claim row
 * @param taskCount - number of tasks
 */
export const createCollectedJob = (options: Omit<JobOptions, 'payloads'>, taskCount: number): Job => {
  const job = createJob({ ...options, payloads: Array<string>(taskCount).fill('') })
  for (const task of job.tasks) task.state = TASK_STATES.unknown
  job.queue = []
  job.mayHaveRun = taskCount
  return job
}

/** True once the final answer is known. */
export const isFinished = ({ answer }: Job): boolean => answer !== undefined
