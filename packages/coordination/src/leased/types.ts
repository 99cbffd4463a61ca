import type { Reason } from '@hazellift/protocol'

/** One start of one task at an endpoint. Of the runs of a task there, higher numbers are later. */
export interface RunRef {
  submission: string
  index: number
  run: number
}

/** An order to start a task. */
export interface StartOrder extends RunRef {
  payload: string
  /** How far ahead everything at the endpoint is held from the sending on. */
  runLeaseMs: number
}

/** What is known after an order to start. */
export type StartOutcome =
  | { type: 'started' }
  /** Nothing runs, and nothing of this order ever will. */
  | { type: 'refused', reason: Reason }
  /** A run with this number or a higher one has ended or was stopped there. */
  | { type: 'number_used' }
  /** No answer: it may run, or begin later. */
  | { type: 'unknown' }
  /** Another life of the endpoint answered: everything of this life is over. */
  | { type: 'gone' }

/** How a run ended at the endpoint. */
export const RUN_ENDS = {
  done: 'done',
  /** By its own fault or the endpoint's. */
  failed: 'failed',
  stopped: 'stopped',
  /** The endpoint was not held in time. */
  lapsed: 'lapsed'
} as const
export type RunEnd = typeof RUN_ENDS[keyof typeof RUN_ENDS]

/** An end that the endpoint lists until it is acknowledged. */
export interface ListedEnd extends RunRef {
  /** Rises within a life of the endpoint. */
  seq: number
  how: RunEnd
}

/** An order to hold what runs, and to look. */
export interface PollRequest {
  /** How far ahead everything is held; unset to look only. */
  runLeaseMs: number | undefined
  /** Ends up to this one are known. */
  lastSeen: number
  /** How long the answer may wait for an end. */
  waitMs: number
}

/** What the endpoint shows. */
export type PollOutcome =
  | { type: 'held', running: RunRef[], ended: ListedEnd[] }
  /** No answer. `isRefused`: nothing takes connections at its address. */
  | { type: 'unknown', isRefused?: boolean }
  | { type: 'gone' }

/** One life of an endpoint, as the agent calls it. Calls settle within their own time limits and never throw. */
export interface LeasedEndpoint {
  start: (order: StartOrder) => Promise<StartOutcome>
  /** True once the run is being stopped, or can never begin. */
  stop: (run: RunRef) => Promise<boolean>
  poll: (order: PollRequest) => Promise<PollOutcome>
}
