import type { LeasedDispatcher } from '../leased/leasedDispatcher.js'

/** Accepts ephemeral jobs, finds them by key and cancels them. */
export type JobDispatcher = Pick<LeasedDispatcher, 'submit' | 'find' | 'cancel' | 'expectedMs'>

/** The sending side of a stream between two entries on which jobs are handed on. */
export interface HandOnLink<Frame> {
  /** Applies a change to the next frame; the frame is sent even if the change adds nothing. */
  add: (change: (frame: Frame) => void) => void
  close: () => void
}
