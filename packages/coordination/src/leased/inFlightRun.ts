import type { Resources } from '@hazellift/decisions'
import type { Reason } from '@hazellift/protocol'
import type { RunEnd, RunRef } from './types.js'

/** How an attempt ended, as far as this agent can prove. */
export type AttemptOutcome =
  /** The start is proved void. */
  | { type: 'not_started', reason: Reason }
  | { type: 'ended', how: RunEnd }
  /** It may have run, and is proved to be over. */
  | { type: 'lost', reason: Reason }

/** A task that was ordered at the endpoint and is not proved to be over. */
export interface InFlightRun extends RunRef {
  payload: string
  need: Resources
  /** Set once somebody wants its end; it counts against the room until the end is listed. */
  stopReason: Reason | undefined
  /** Holds sent after this one prove by its absence that it is over; unset while its order is unanswered. */
  resolvedAtPoll: number | undefined
  startedAt: number
  onTerminated: (over: AttemptOutcome) => void
}

/** A task's name at its endpoint, whatever the run. */
export const taskNameOf = ({ submission, index }: Pick<RunRef, 'submission' | 'index'>): string => `${submission}.${index}`
