import { REASONS, TASK_OUTCOMES } from '@hazellift/protocol'
import type { TaskResult } from '@hazellift/protocol'

/** What the end of a start tells about its endpoint. */
export const ENDPOINT_VERDICTS = {
  succeeded: 'succeeded',
  failed: 'failed',
  /** Nothing: it was the agent or an entry that ended it. */
  none: 'none'
} as const
export type EndpointVerdict = typeof ENDPOINT_VERDICTS[keyof typeof ENDPOINT_VERDICTS]

const NEUTRAL_REASONS: ReadonlySet<string> = new Set([
  REASONS.noSlot, REASONS.staleStart, REASONS.endpointGone, REASONS.lostStart, REASONS.revoked, REASONS.takenOver,
  REASONS.stopCut, REASONS.answerDropped
])

/** What a result tells about the endpoint. */
export const judgeResult = ({ outcome, reason }: Pick<TaskResult, 'outcome' | 'reason'>): EndpointVerdict => {
  if (outcome === TASK_OUTCOMES.done) return ENDPOINT_VERDICTS.succeeded
  return NEUTRAL_REASONS.has(reason) ? ENDPOINT_VERDICTS.none : ENDPOINT_VERDICTS.failed
}
