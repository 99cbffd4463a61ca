import { create } from '@bufbuild/protobuf'
import { REASONS, TASK_OUTCOMES, TaskResultSchema } from '@hazellift/protocol'
import type { TaskKey, TaskResult } from '@hazellift/protocol'
import type { TaskRecord } from './taskLedger.js'

/** True for a later attempt, if the one known is over and has failed. */
export const isRetryOf = (known: TaskRecord, { attempt }: TaskKey): boolean =>
  attempt > known.key.attempt && known.result?.outcome === TASK_OUTCOMES.failed

/** The end of a start as it can be told again; one whose answer was dropped must not pass for done. */
export const rememberedResult = ({ key, result, isAnswerDropped }: TaskRecord): TaskResult | undefined => {
  if (result === undefined) return undefined
  if (!isAnswerDropped) return { ...result }
  return create(TaskResultSchema, { key, outcome: TASK_OUTCOMES.failed, reason: REASONS.answerDropped, runMs: result.runMs })
}
