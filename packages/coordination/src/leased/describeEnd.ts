import { REASONS, TASK_OUTCOMES } from '@hazellift/protocol'
import type { Reason, TaskOutcome } from '@hazellift/protocol'
import type { AttemptOutcome } from './inFlightRun.js'
import { RUN_ENDS } from './types.js'

/** The end of an attempt as the task's result reports it. */
export interface EndDescription {
  outcome: TaskOutcome
  reason: Reason | ''
  /** False if nothing ran, so that there is no run time to report. */
  hasRun: boolean
}

const REASON_OF_END = {
  [RUN_ENDS.failed]: REASONS.endpointError,
  [RUN_ENDS.stopped]: REASONS.revoked,
  [RUN_ENDS.lapsed]: REASONS.leaseExpired
} as const

/** Converts an attempt's outcome at the agent into what the agent reports to the task's entry. */
export const describeEnd = (attempt: AttemptOutcome): EndDescription => {
  switch (attempt.type) {
    case 'not_started': return { outcome: TASK_OUTCOMES.notStarted, reason: attempt.reason, hasRun: false }
    case 'lost': return { outcome: TASK_OUTCOMES.failed, reason: attempt.reason, hasRun: true }
    case 'ended':
      if (attempt.how === RUN_ENDS.done) return { outcome: TASK_OUTCOMES.done, reason: '', hasRun: true }
      return { outcome: TASK_OUTCOMES.failed, reason: REASON_OF_END[attempt.how], hasRun: true }
  }
}
