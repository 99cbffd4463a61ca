import type { Hello } from '@hazellift/protocol'

/** The process of an agent that an entry knows. */
export interface KnownProcess {
  incarnation: string
  /** When its first frame was received, in ms on the entry's steady clock. */
  firstHeardAt: number
  /** The latest timestamp received from it, in ms on its own clock. */
  latestStampMs: number
}

/**
 * True if a hello does not show that it was sent after all that the entry has
 * received from the agent's known process.
 *
 * Timestamps order the hellos of one process. Those of two processes have
 * different clocks, so causality orders them: an agent sends its hello only after the
 * welcome on the same session. If that was sent after the known process had been heard,
 * the other one lives after it has begun, so it is the later one, as an agent has one
 * process at a time. Otherwise either may be the later one, and the answer is true: a
 * process that lives dials again, and is then welcomed after the known one was heard.
 *
 * @param known - undefined if the entry knows no process of the agent
 * @param hello - as received on a new session
 * @param stampMs - timestamp of its frame, on the agent's clock
 * @param welcomedAt - when the session began, before its welcome was sent, on the entry's steady clock
 */
export const isOutdatedHello = (known: KnownProcess | undefined, { incarnation }: Hello, stampMs: number, welcomedAt: number): boolean => {
  if (known === undefined) return false
  return known.incarnation === incarnation ? stampMs < known.latestStampMs : welcomedAt <= known.firstHeardAt
}
