import type { Clock, Random } from '@hazellift/common'
import type { Reason, TaskResult } from '@hazellift/protocol'
import type { Job } from '../jobs/job.js'
import type { JobOrder } from '../queue/fairQueue.js'
import type { PickRule } from './pickRules.js'

/** What the dispatcher tells the owner of the jobs. */
export interface DispatchEvents {
  /** All tasks are done. */
  complete: (job: Job) => void
  /** The job cannot complete any more. */
  failed: (job: Job, reason: Reason, message: string) => void
  /** Another entry took the claim over. */
  takenOver: (job: Job) => void
  started: (job: Job, waitedMs: number) => void
  ended: (job: Job, result: TaskResult) => void
  /** A start that was sent again, or a result nobody waited for, by reason. */
  wasted: (reason: Reason) => void
}

/** What the dispatcher needs. */
export interface DispatcherOptions {
  clock: Clock
  random: Random
  zone: string
  rule: PickRule
  order: JobOrder
  events: DispatchEvents
  weightOf: (workspace: string) => number
  maxRunningOf: (workspace: string) => number
  /** Longest time that tasks at a lost agent wait for its session to resume, in ms. */
  resumeWindowMs: number
  /** How long a takeover waits for agents to say what they know, in ms. */
  collectTimeoutMs: number
  maxEjectedShare: number
  ejectionBackoff: (ejections: number) => number
  /** True for an availability zone whose endpoints get no start. */
  isEvacuated: (zone: string) => boolean
  /** Runs `fn` after the events that are ready now. */
  defer: (fn: () => void) => void
}
