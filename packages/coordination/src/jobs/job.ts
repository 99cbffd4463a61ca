import type { JobAnswer } from '@hazellift/protocol'
import { submissionKey } from '../tasks/keys.js'

/** States of a task at the entry that owns its job. */
export const TASK_STATES = {
  queued: 'queued',
  /** Sent to an agent; it is not known yet whether the agent accepted it. */
  sent: 'sent',
  done: 'done',
  /** Of a job that was taken over: it is not known whether the task was ever started. */
  unknown: 'unknown'
} as const

/** One task of a job. */
export interface JobTask {
  state: typeof TASK_STATES[keyof typeof TASK_STATES]
  payload: string
  /** The endpoint's answer, once the task is done. */
  result?: string
  /** Agent to which the task was last sent. */
  agentId?: string
  /** Number of failed attempts. */
  failures: number
  /** On the entry's monotonic clock, in ms. */
  queuedAt: number
}

/** What a job is created from: the submission and the decision of its policy. */
export interface JobOptions {
  workspace: string
  id: string
  service: string
  payloads: string[]
  unrepeatable: boolean
  /** Higher goes first within the workspace. */
  priority: number
  /** How often a task may be retried after a failed attempt. */
  retries: number
  leaseMs: number
  /** On the entry's monotonic clock, in ms. */
  arrivedAt: number
  /** On the entry's monotonic clock, in ms. */
  deadlineAt: number
}

/** A claimed job in the memory of the entry that owns it. */
export interface Job extends Omit<JobOptions, 'payloads'> {
  key: string
  tasks: JobTask[]
  /** Indexes of the tasks that wait to be sent; the next one is last. */
  queue: number[]
  doneCount: number
  /** Number of starts that were sent and may have run: all but those known never to have begun. */
  mayHaveRun: number
  /** True once a task is known to have run. */
  hasRun: boolean
  /** Agents whose knowledge of the job was requested, while the job is being taken over. */
  collecting?: Set<string>
  answer?: JobAnswer
}

/**
 * Creates a job with all its tasks queued.
 *
 * @param options - the submission and the decision of its policy
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
 * Creates a job that was taken over from a lost owner. Its tasks are never
 * queued, as they may have run; only their results are collected.
 *
 * @param options - what the claim row records of the job
 * @param taskCount - number of tasks
 */
export const createCollectedJob = (options: Omit<JobOptions, 'payloads'>, taskCount: number): Job => {
  const job = createJob({ ...options, payloads: Array<string>(taskCount).fill('') })
  for (const task of job.tasks) task.state = TASK_STATES.unknown
  job.queue = []
  job.mayHaveRun = taskCount
  return job
}

/** True once the job has its final answer. */
export const isFinished = ({ answer }: Job): boolean => answer !== undefined
