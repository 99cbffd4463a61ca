import type { SuspensionWatch } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import type { Reason, TaskResult } from '@hazellift/protocol'
import type { LeasedAgent } from './leasedAgent.js'
import type { LeasedFleetOptions } from './leasedFleet.js'
import type { LeasedJob, LeasedJobEnd } from './leasedJob.js'
import type { LeasedSessionEvents } from './leasedSessions.js'
import type { OnSuspect } from './suspects.js'
import type { LeaseTimes } from './times.js'

/** Events of a dispatcher, for logs and metrics. */
export interface LeasedDispatchEvents extends LeasedSessionEvents {
  /** A job has ended. */
  ended: (job: LeasedJob, end: LeasedJobEnd) => void
  /** Starts of tasks were sent to an agent; `freeCapacity` is what then remains there. */
  sent: (job: LeasedJob, agentId: string, tasks: number[], freeCapacity: Resources) => void
  /** An agent is asked to end runs of a job; no tasks stand for all of them. Without a session the request is not sent. */
  revoked: (job: LeasedJob, agent: LeasedAgent, tasks: number[], reason: Reason) => void
  /** A straggler that has run for `runMs` is being stopped, to run elsewhere. */
  moved: (job: LeasedJob, index: number, agentId: string, runMs: number) => void
  /** A task that was sent waits again. */
  requeued: (job: LeasedJob, index: number, agentId: string, reason: Reason) => void
  /** An endpoint was lost under a task. */
  suspected: OnSuspect
  /** An agent reported that a run ended or that a start was refused. */
  result: (agentId: string, result: TaskResult) => void
}

/** Options of a LeasedDispatcher. */
export interface LeasedDispatcherOptions extends LeasedFleetOptions {
  times: LeaseTimes
  /** Detects suspensions, which the clock does not count; defaults to a watch of its own. */
  watch?: SuspensionWatch
  events: LeasedDispatchEvents
  /** Runs `fn` after the events that are already pending. */
  defer: (fn: () => void) => void
}
