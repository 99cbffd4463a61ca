import type { Clock } from '@hazellift/common'
import type { EndpointState, Reason, Start, TaskOutcome, TaskResult } from '@hazellift/protocol'

/** How one attempt at the endpoint ended. */
export interface AttemptEnd {
  outcome: TaskOutcome
  reason: Reason | ''
  body: string
}

/** Runs one attempt at the endpoint; its promise must settle soon after `signal` aborts. */
export type RunAttempt = (start: Start, endpoint: EndpointState, signal: AbortSignal) => Promise<AttemptEnd>

/** Dependencies and limits of a task host. */
export interface TaskHostOptions {
  clock: Clock
  runAttempt: RunAttempt
  /** Credits that each entry holds in excess of the slots, so that its next task needs no message before it. */
  standingCredits: number
  /** Number of starts without a credit that may wait for a slot. */
  overflowQueue: number
  /** Age of its timestamp up to which a start is accepted, in ms. */
  startAgeMs: number
  /** How long ended tasks and revokes are remembered, in ms. */
  memoryMs: number
  /** Total size of the answers remembered in case a claim is taken over, in characters. */
  maxAnswerSize?: number
  /** Called with the result of every start that ended. */
  onResult?: (result: TaskResult) => void
}
