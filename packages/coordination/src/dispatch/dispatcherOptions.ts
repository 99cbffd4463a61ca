import type { Clock, Random } from '@hazellift/common'
import type { Reason, TaskResult } from '@hazellift/protocol'
import type { Job } from '../jobs/job.js'
import type { JobOrder } from '../queue/fairQueue.js'
import type { PickRule } from './pickRules.js'

/** Callbacks of a dispatcher on the progress of jobs and tasks. */
export interface DispatchEvents {
  /** All tasks of the job are done. */
  complete: (job: Job) => void
  /** The job can no longer complete. */
  failed: (job: Job, reason: Reason, message: string) => void
  /** Another entry has taken over the job's claim. */
  takenOver: (job: Job) => void
  /** A task was sent to an agent, after it had been queued for `waitedMs`. */
  started: (job: Job, waitedMs: number) => void
  /** A task's result arrived. */
  ended: (job: Job, result: TaskResult) => void
  /** A start did not happen, or a result arrived that no task waited for. */
  wasted: (reason: Reason) => void
}

/** Options of a dispatcher. */
export interface DispatcherOptions {
  clock: Clock
  random: Random
  /** Availability zone of the entry. */
  zone: string
  /** Chooses the agent for each start. */
  rule: PickRule
  /** Order of jobs of equal priority within a workspace. */
  order: JobOrder
  events: DispatchEvents
  /** Weight of a workspace in fair sharing. */
  weightOf: (workspace: string) => number
  /** Largest number of tasks that a workspace may have in flight from this entry. */
  maxRunningOf: (workspace: string) => number
  /** How long tasks at an agent without a session wait for the session to resume, in ms. */
  resumeWindowMs: number
  /** How long a takeover waits for agents to list the tasks that they know, in ms. */
  collectTimeoutMs: number
  /** Largest share of a service's endpoints that may be ejected at the same time. */
  maxEjectedShare: number
  /** Duration of an ejection in ms, by the number of ejections in a row. */
  ejectionBackoff: (ejections: number) => number
  /** True for an availability zone to whose endpoints no start is sent. */
  isEvacuated: (zone: string) => boolean
  /** Runs `fn` once the events that are ready now have been handled. */
  defer: (fn: () => void) => void
}
