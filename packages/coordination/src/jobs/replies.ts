import { create } from '@bufbuild/protobuf'
import { JOB_STATES, JobAnswerSchema, REASONS, RUN_STATES } from '@hazellift/protocol'
import type { JobAnswer, Reason, RunState } from '@hazellift/protocol'
import type { Job } from './job.js'

/** A request that got no answer of a job. */
export interface Refusal {
  type: 'refused'
  reason: Reason
  message: string
  run: RunState
  /** When to come back, 0 if it does not help. */
  retryAfterMs: number
}

/** What a caller is told. */
export type JobReply =
  | { type: 'answer', answer: JobAnswer }
  /** The job runs on. */
  | { type: 'pending' }
  | Refusal

/** Makes a refusal. */
export const refuse = (reason: Reason, message: string, run: RunState, retryAfterMs = 0): Refusal =>
  ({ type: 'refused', reason, message, run, retryAfterMs })

/** Another body stands under the same id. */
export const refuseConflict = (): Refusal =>
  refuse(REASONS.idConflict, 'another body was submitted under this id; this one was not run', RUN_STATES.mayHaveRun)

/** Whether anything of a job ran, as its owner knows. */
export const runStateOf = ({ hasRun, mayHaveRun }: Job): RunState => {
  if (hasRun) return RUN_STATES.ran
  return mayHaveRun > 0 ? RUN_STATES.mayHaveRun : RUN_STATES.notRun
}

/** The answer of a job whose tasks are all done. */
export const completeAnswer = (job: Job): JobAnswer => create(JobAnswerSchema, {
  workspace: job.workspace,
  id: job.id,
  state: JOB_STATES.complete,
  run: RUN_STATES.ran,
  results: job.tasks.map(({ result }) => result!)
})

/** The answer of a job that cannot complete. */
export const failedAnswer = (job: Job, reason: Reason, message: string): JobAnswer => create(JobAnswerSchema, {
  workspace: job.workspace,
  id: job.id,
  state: JOB_STATES.failed,
  reason,
  run: runStateOf(job),
  message
})
