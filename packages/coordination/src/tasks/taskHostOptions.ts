import type { Clock } from '@hazellift/common'
import type { EndpointState, Reason, Start, TaskOutcome, TaskResult } from '@hazellift/protocol'

/** How one attempt at the endpoint ended. */
export interface AttemptEnd {
  outcome: TaskOutcome
  reason: Reason | ''
  body: string
}

/** Calls the endpoint; must settle soon after `signal` aborts. */
export type RunAttempt = (start: Start, endpoint: EndpointState, signal: AbortSignal) => Promise<AttemptEnd>

/** Bounds of an agent's work. */
export interface TaskHostOptions {
  clock: Clock
  runAttempt: RunAttempt
  /** Credits that each entry keeps beyond the slots. */
  standingCredits: number
  /** Starts accepted without a credit; they wait for a slot. */
  overflowQueue: number
  /** Oldest stamp with which a start is accepted, in ms. */
  startAgeMs: number
  /** How long ended tasks and revokes are remembered, in ms. */
  memoryMs: number
  /** Answers of ended tasks that are kept in case a claim is taken over, in characters. */
  maxAnswerSize?: number
  /** Told of every ended start. */
  onResult?: (result: TaskResult) => void
}
