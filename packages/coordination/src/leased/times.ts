/** How long authority lasts at each step of the chain entry, agent, endpoint; all in ms. */
export interface LeaseTimes {
  /** How long an agent runs an entry's tasks after the stamp that the entry echoed last. */
  entryLeaseMs: number
  /** How far ahead an agent holds what runs at its endpoint. */
  runLeaseMs: number
  /** Longest time that the endpoint takes to stop a task. */
  stopMs: number
  /** How much slower than ours the endpoint's clock may run. */
  clockFactor: number
}

/**
 * Longest time from the last frame of an agent until nothing runs there for the
 * entry that read it, whatever died or froze meanwhile.
 *
 * The agent's authority ends `authorityMs` after the stamp that was echoed last,
 * and that stamp is no younger than the last frame read. The agent's last hold
 * was sent before that end and lapses `holdMs` later on the endpoint's clock.
 *
 * @param times - the lengths of the chain's steps
 */
export const terminationBoundMs = ({ entryLeaseMs: authorityMs, runLeaseMs: holdMs, stopMs, clockFactor }: LeaseTimes): number =>
  authorityMs + holdMs * clockFactor + stopMs

/** Longest time from the last hold of an agent until nothing of it runs at the endpoint. */
export const runExpiryMs = ({ runLeaseMs: holdMs, stopMs, clockFactor }: LeaseTimes): number => holdMs * clockFactor + stopMs

/**
 * How long a run may go on unheld while it is in doubt whether its authority is over:
 * long enough for an echo, and so short that the last hold outlasts it.
 */
export const verificationMs = ({ runLeaseMs: holdMs }: LeaseTimes): number => holdMs / 2
