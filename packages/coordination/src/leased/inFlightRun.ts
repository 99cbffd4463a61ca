import type { Resources } from '@hazellift/decisions'
import type { Reason } from '@hazellift/protocol'
import type { RunEnd, RunRef } from './types.js'

/** How an attempt at a task ended, as far as the agent can confirm. */
export type AttemptOutcome =
  /** It has not run and cannot begin any more. */
  | { type: 'not_started', reason: Reason }
  | { type: 'ended', how: RunEnd }
  /** It may have run, and is confirmed terminated; its end was not listed, or it was stopped. */
  | { type: 'lost', reason: Reason }

/** A run that was ordered at the endpoint and is not confirmed terminated. */
export interface InFlightRun extends RunRef {
  payload: string
  need: Resources
  /** True once the endpoint has confirmed that the run began. Before that it may have begun, or may begin later. */
  hasBegun: boolean
  /** Set once the run is to be stopped; it counts against the free capacity until it is confirmed terminated. */
  stopReason: Reason | undefined
  /** The endpoint has confirmed that it stops the run, which ends within the time that a stop takes. */
  isStopAnswered: boolean
  /**
   * Number of the last poll sent before the order's outcome was known; undefined while it is unknown.
   * A later poll that does not list the run confirms that it has terminated.
   */
  resolvedAtPoll: number | undefined
  /** When the start was ordered, on the agent's clock. */
  startedAt: number
  onTerminated: (outcome: AttemptOutcome) => void
}

/** The name that all runs of a task share at an endpoint. */
export const taskNameOf = ({ submission, index }: Pick<RunRef, 'submission' | 'index'>): string => `${submission}.${index}`
