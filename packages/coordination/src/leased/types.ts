import type { Reason } from '@hazellift/protocol'

/** One run of a task at an endpoint. A later run of the same task there has a higher number. */
export interface RunRef {
  submission: string
  index: number
  run: number
}

/** An order to start a run; it also renews the run lease of everything at the endpoint. */
export interface StartOrder extends RunRef {
  payload: string
  /** Length of the run lease, in ms from the moment of sending. */
  runLeaseMs: number
  /** Called if the order is answered after its outcome was `unknown`. */
  onLate?: (outcome: StartOutcome) => void
}

/** What is known after an order to start. */
export type StartOutcome =
  | { type: 'started' }
  /** Nothing runs, and this order will never start anything. */
  | { type: 'refused', reason: Reason }
  /** A run of the task with this number or a higher one has ended or was stopped there. */
  | { type: 'number_used' }
  /** No answer: the run may have begun, or may begin later. */
  | { type: 'unknown' }
  /** Another incarnation of the endpoint answered: all runs of this one have terminated, and this order starts nothing. */
  | { type: 'gone' }

/** How a run ended at the endpoint. */
export const RUN_ENDS = {
  done: 'done',
  /** The task or the endpoint failed. */
  failed: 'failed',
  stopped: 'stopped',
  /** The run lease expired. */
  lapsed: 'lapsed'
} as const
export type RunEnd = typeof RUN_ENDS[keyof typeof RUN_ENDS]

/** The end of a run, which the endpoint lists until it is acknowledged. */
export interface ListedEnd extends RunRef {
  /** Rises within an incarnation of the endpoint. */
  seq: number
  how: RunEnd
}

/** A request to list what runs and what has ended, and to renew the run lease if it carries one. */
export interface PollRequest {
  /** Length of the run lease in ms from the moment of sending; undefined to leave the lease as it is. */
  runLeaseMs: number | undefined
  /** Acknowledges all ends up to this sequence number. */
  lastSeen: number
  /** How long the endpoint may delay the answer until a run ends, in ms. */
  waitMs: number
  /** Called if the poll is answered after its outcome was `unknown`. */
  onLate?: (outcome: PollOutcome) => void
}

/** The endpoint's answer to a poll. */
export type PollOutcome =
  | { type: 'listed', running: RunRef[], ended: ListedEnd[] }
  /** No answer. `isRefused`: connections to its address are refused. */
  | { type: 'unknown', isRefused?: boolean }
  /** Another incarnation of the endpoint answered: all runs of this one have terminated. */
  | { type: 'gone' }

/**
 * The calls of one incarnation of an endpoint. Their promises resolve within time limits of
 * their own and never reject. A time limit only says when a call is to be repeated: an
 * answer that arrives later is reported, too, as an endpoint that lacks processor time
 * answers every call late.
 */
export interface LeasedEndpoint {
  start: (order: StartOrder) => Promise<StartOutcome>
  /**
   * Resolves with true once the run is being stopped or can never begin, and with false if
   * there is no such answer; calls `onLate` if it arrives after that.
   */
  stop: (run: RunRef, onLate?: () => void) => Promise<boolean>
  poll: (request: PollRequest) => Promise<PollOutcome>
}
