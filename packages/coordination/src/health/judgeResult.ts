import { REASONS, TASK_OUTCOMES } from '@hazellift/protocol'
import type { TaskResult } from '@hazellift/protocol'

/** What the result of a start says about its endpoint. */
export const ENDPOINT_VERDICTS = {
  succeeded: 'succeeded',
  failed: 'failed',
  /** Nothing: the start ended because of the agent or an entry. */
  none: 'none'
} as const
/** One of `ENDPOINT_VERDICTS`. */
export type EndpointVerdict = typeof ENDPOINT_VERDICTS[keyof typeof ENDPOINT_VERDICTS]

/** Reasons of results that the endpoint did not cause. */
const NEUTRAL_REASONS: ReadonlySet<string> = new Set([
  REASONS.noSlot, REASONS.staleStart, REASONS.endpointGone, REASONS.lostStart, REASONS.revoked, REASONS.takenOver,
  REASONS.stopCut, REASONS.answerDropped
])

/** Judges an endpoint by the result of one start. */
export const judgeResult = ({ outcome, reason }: Pick<TaskResult, 'outcome' | 'reason'>): EndpointVerdict => {
  if (outcome === TASK_OUTCOMES.done) return ENDPOINT_VERDICTS.succeeded
  return NEUTRAL_REASONS.has(reason) ? ENDPOINT_VERDICTS.none : ENDPOINT_VERDICTS.failed
}
