/** Lengths of the leases from entry to agent and from agent to endpoint, in ms, with the bounds they rely on. */
export interface LeaseTimes {
  /** How long an agent may run an entry's tasks after the agent's timestamp that the entry last echoed. */
  entryLeaseMs: number
  /** How long runs at an endpoint may continue after the last renewal by the agent. */
  runLeaseMs: number
  /** Longest time that the endpoint takes to stop a task. */
  stopMs: number
  /** Allowance for an endpoint's clock that runs slower than this process's clock, as a factor: 1.02 allows for 2%. */
  clockFactor: number
}

/**
 * Longest time from the last frame that an entry read from an agent until all of
 * the entry's runs there have terminated, even if processes crash or freeze.
 *
 * The entry lease ends `entryLeaseMs` after the last echoed timestamp, which was
 * taken no later than that frame was read. The agent last renewed the run lease
 * before the entry lease ended, and the run lease expires `runLeaseMs` later on
 * the endpoint's clock.
 *
 * @param times - lease lengths and bounds
 * @returns the bound in ms
 */
export const terminationBoundMs = ({ entryLeaseMs, runLeaseMs, stopMs, clockFactor }: LeaseTimes): number =>
  entryLeaseMs + runLeaseMs * clockFactor + stopMs

/** Longest time in ms from an agent's last renewal of the run lease until all of its runs at the endpoint have terminated. */
export const runExpiryMs = ({ runLeaseMs, stopMs, clockFactor }: LeaseTimes): number => runLeaseMs * clockFactor + stopMs

/**
 * How long runs may continue under an unverified entry lease, in ms. Their run lease
 * is not renewed meanwhile: half of it is long enough for an echo to arrive, and ends
 * before the run lease expires.
 */
export const verificationMs = ({ runLeaseMs }: LeaseTimes): number => runLeaseMs / 2
