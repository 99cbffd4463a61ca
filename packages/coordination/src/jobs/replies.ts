import { create } from '@bufbuild/protobuf'
import { JOB_STATES, JobAnswerSchema, REASONS, RUN_STATES } from '@hazellift/protocol'
import type { JobAnswer, Reason, RunState } from '@hazellift/protocol'
import type { Job } from './job.js'

/** Reply to a request that gets no answer of a job, with the reason. */
export interface Refusal {
  type: 'refused'
  reason: Reason
  message: string
  /** Whether anything of the job ran. */
  run: RunState
  /** After what time to retry; 0 if a retry does not help. */
  retryAfterMs: number
}

/** Reply to the request of a caller. */
export type JobReply =
  | { type: 'answer', answer: JobAnswer }
  /** The job has no final answer yet. */
  | { type: 'pending' }
  | Refusal

/** Creates a refusal. */
export const refuse = (reason: Reason, message: string, run: RunState, retryAfterMs = 0): Refusal =>
  ({ type: 'refused', reason, message, run, retryAfterMs })

/** Refuses a submission whose id was used before with another body. */
export const refuseConflict = (): Refusal =>
  refuse(REASONS.idConflict, 'another body was submitted under this id; this one was not run', RUN_STATES.mayHaveRun)

/** Whether anything of a job ran, as far as its owner knows. */
export const runStateOf = ({ hasRun, mayHaveRun }: Job): RunState => {
  if (hasRun) return RUN_STATES.ran
  return mayHaveRun > 0 ? RUN_STATES.mayHaveRun : RUN_STATES.notRun
}

/** Creates the answer of a job whose tasks are all done. */
export const completeAnswer = (job: Job): JobAnswer => create(JobAnswerSchema, {
  workspace: job.workspace,
  id: job.id,
  state: JOB_STATES.complete,
  run: RUN_STATES.ran,
  results: job.tasks.map(({ result }) => result!)
})

/** Creates the answer of a job that cannot complete. */
export const failedAnswer = (job: Job, reason: Reason, message: string): JobAnswer => create(JobAnswerSchema, {
  workspace: job.workspace,
  id: job.id,
  state: JOB_STATES.failed,
  reason,
  run: runStateOf(job),
  message
})
