import type { SuspensionWatch } from '@hazellift/common'
import type { Resources } from '@hazellift/decisions'
import type { Reason, TaskResult } from '@hazellift/protocol'
import type { LeasedFleetOptions } from './leasedFleet.js'
import type { LeasedJob, LeasedJobEnd } from './leasedJob.js'
import type { LeasedSessionEvents } from './leasedSessions.js'
import type { OnSuspect } from './suspects.js'
import type { LeaseTimes } from './times.js'

/** What the dispatcher tells its owner, for logs and metrics. */
export interface LeasedDispatchEvents extends LeasedSessionEvents {
  ended: (job: LeasedJob, end: LeasedJobEnd) => void
  /** Starts went out. */
  sent: (job: LeasedJob, agentId: string, tasks: number[], freeCapacity: Resources) => void
  /** A run that takes too long is being stopped, to run elsewhere. */
  moved: (job: LeasedJob, index: number, agentId: string, runMs: number) => void
  /** A task waits again. */
  requeued: (job: LeasedJob, index: number, agentId: string, reason: Reason) => void
  /** An endpoint crashed under the task; the lives so far, and what follows. */
  suspected: OnSuspect
  /** A run ended, or a start was turned away. */
  result: (agentId: string, result: TaskResult) => void
}

/** What the dispatcher needs. */
export interface LeasedDispatcherOptions extends LeasedFleetOptions {
  times: LeaseTimes
  /** Notices what the clock has not counted; one of its own if unset. */
  watch?: SuspensionWatch
  events: LeasedDispatchEvents
  /** Runs `fn` after the events that are ready now. */
  defer: (fn: () => void) => void
}
