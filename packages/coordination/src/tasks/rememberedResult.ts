import { create } from '@bufbuild/protobuf'
import { REASONS, TASK_OUTCOMES, TaskResultSchema } from '@hazellift/protocol'
import type { TaskKey, TaskResult } from '@hazellift/protocol'
import type { TaskRecord } from './taskLedger.js'

/** True if the key is that of a later attempt than the known one, which has failed. */
export const isRetryOf = (known: TaskRecord, { attempt }: TaskKey): boolean =>
  attempt > known.key.attempt && known.result?.outcome === TASK_OUTCOMES.failed

/**
 * Result of a start as it can be reported again; `undefined` if it has not ended.
 * If the answer was dropped it is a failure, as a task that is done has an answer.
 */
export const rememberedResult = ({ key, result, isAnswerDropped }: TaskRecord): TaskResult | undefined => {
  if (result === undefined) return undefined
  if (!isAnswerDropped) return { ...result }
  return create(TaskResultSchema, { key, outcome: TASK_OUTCOMES.failed, reason: REASONS.answerDropped, runMs: result.runMs })
}
