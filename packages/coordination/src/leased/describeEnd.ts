import { REASONS, TASK_OUTCOMES } from '@hazellift/protocol'
import type { Reason, TaskOutcome } from '@hazellift/protocol'
import type { AttemptOutcome } from './inFlightRun.js'
import { RUN_ENDS } from './types.js'

/** How an attempt ended, as its result tells. */
export interface EndDescription {
  outcome: TaskOutcome
  reason: Reason | ''
  /** False if nothing ran, so that its time means nothing. */
  hasRun: boolean
}

const REASON_OF_END = {
  [RUN_ENDS.failed]: REASONS.endpointError,
  [RUN_ENDS.stopped]: REASONS.revoked,
  [RUN_ENDS.lapsed]: REASONS.leaseExpired
} as const

/** Turns what an agent has proved into what it tells the task's entry. */
export const describeEnd = (over: AttemptOutcome): EndDescription => {
  switch (over.type) {
    case 'not_started': return { outcome: TASK_OUTCOMES.notStarted, reason: over.reason, hasRun: false }
    case 'lost': return { outcome: TASK_OUTCOMES.failed, reason: over.reason, hasRun: true }
    case 'ended':
      if (over.how === RUN_ENDS.done) return { outcome: TASK_OUTCOMES.done, reason: '', hasRun: true }
      return { outcome: TASK_OUTCOMES.failed, reason: REASON_OF_END[over.how], hasRun: true }
  }
}
