import type { EndpointSupervisorOptions } from './endpointSupervisorOptions.js'
import type { PollOutcome } from './types.js'

/** Pause between polls that check whether the runs of earlier agents have terminated. */
const TAKEOVER_PAUSE_MS = 25

/** What stopping the runs of earlier agents needs. */
export interface EarlierRunsOptions extends Pick<EndpointSupervisorOptions, 'clock' | 'endpoint' | 'log'> {
  /** True once the incarnation gets no more work. */
  isEnded: () => boolean
}

/** How the runs of earlier agents ended. */
export type EarlierRunsOutcome =
  /** Nothing runs. `lastSeen`: the highest sequence number of the ends that are listed, 0 if none is. */
  | { type: 'terminated', lastSeen: number }
  /** Another incarnation of the endpoint has answered. */
  | { type: 'gone' }
  /** The incarnation ended or was retired first. */
  | { type: 'ended' }

/**
 * Stops what earlier agent processes have left at an endpoint, without renewing its run
 * lease, until nothing runs there.
 *
 * @param options - the endpoint's calls, and when to give up
 */
export const stopEarlierRuns = async ({ clock, endpoint, log, isEnded }: EarlierRunsOptions): Promise<EarlierRunsOutcome> => {
  let lastSeen = 0
  let late: PollOutcome | undefined
  const onLate = (outcome: PollOutcome): void => { late = outcome }
  while (!isEnded()) {
    const inTime = await endpoint.poll({ runLeaseMs: undefined, lastSeen, waitMs: 0, onLate })
    if (isEnded()) break
    const outcome = inTime.type === 'unknown' ? late ?? inTime : inTime
    late = undefined
    if (outcome.type === 'gone') return { type: 'gone' }
    if (outcome.type === 'listed') {
      lastSeen = Math.max(lastSeen, ...outcome.ended.map(({ seq }) => seq))
      if (outcome.running.length === 0) return { type: 'terminated', lastSeen }
      log('left_by_earlier_agent', { runs: outcome.running.length })
      await Promise.all(outcome.running.map((run) => endpoint.stop(run)))
    }
    await clock.sleep(TAKEOVER_PAUSE_MS)
  }
  return { type: 'ended' }
}
