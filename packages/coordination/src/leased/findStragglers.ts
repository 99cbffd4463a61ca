import type { LeasedAgent, SentRun } from './leasedAgent.js'
import type { LeasedFleet } from './leasedFleet.js'
import type { LeasedJob } from './leasedJob.js'
import type { RunTimes } from './runTimes.js'

/** A run that takes far longer than others of its kind, and its agent. */
export interface Straggler extends SentRun {
  agent: LeasedAgent
}

/** At an endpoint whose other runs are slow, too, a run this many times longer than usual is moved, if another has room. */
const STRAGGLER_FACTOR = 2
/** Elsewhere the job itself is likely to be long. */
const LONE_STRAGGLER_FACTOR = 4
/** An endpoint this much slower than expected is suspect. */
const SUSPECT_SLOWNESS = 1.5
/** Runs that are only this much longer than expected are not moved: moving costs a stop and a new start. */
const STRAGGLER_MIN_MS = 150

/** How long a run may take before it counts as a straggler. Callers' guesses are often several times too short. */
const stragglerMs = ({ kind, expectedMs, longestRunMs }: LeasedJob, { slowness }: LeasedAgent, runTimes: RunTimes): number => {
  const usualMs = Math.max(expectedMs, longestRunMs, runTimes.expect(kind, 0))
  const factor = slowness >= SUSPECT_SLOWNESS ? STRAGGLER_FACTOR : LONE_STRAGGLER_FACTOR
  return Math.max(factor * usualMs, usualMs + STRAGGLER_MIN_MS)
}

/**
 * Runs to move: each once, and only where another agent has room.
 *
 * @param fleet - agents with what was sent to them
 * @param runTimes - usual run times by kind
 * @param now - on the clock that the sending times were read from
 */
export const findStragglers = (fleet: LeasedFleet, runTimes: RunTimes, now: number): Straggler[] =>
  [...fleet.agents.values()].flatMap((agent) => [...agent.sent.values()]
    .filter(({ job, index, sentAt }) => {
      const { isMoving, avoid } = job.tasks[index]!
      if (job.end !== undefined || isMoving || avoid.size > 0) return false
      return now - sentAt >= stragglerMs(job, agent, runTimes) && fleet.choose(job, index, { except: agent }) !== undefined
    })
    .map((sent) => ({ ...sent, agent })))
