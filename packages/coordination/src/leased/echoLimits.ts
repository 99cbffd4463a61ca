import type { LeasedAgent } from './leasedAgent.js'
import type { LeasedJob } from './leasedJob.js'

/** An entry that took jobs from their callers and handed them on (forwarded them) to this one. */
export interface OriginEntry {
  /** Latest time at which it is known to have been alive, in ms on this process's clock. */
  aliveAt: number
}

/**
 * Jobs of an origin entry that was last known alive more than this long ago are not
 * started, and it does not limit echoes to agents where it has no run in flight.
 */
const MAX_ORIGIN_SILENCE_MS = 150
/**
 * While an origin entry has no run in flight at an agent, it does not limit echoes there
 * to a timestamp received more than this long ago, and none of its jobs is started if
 * that would need such a limit.
 */
const MAX_STAMP_AGE_MS = 400

/**
 * Chooses the timestamps that an entry echoes to its agents while it runs jobs
 * that other entries handed on. The entry lease of such a job must end with its
 * origin entry as well as with this one.
 *
 * Invariant: while a run of an origin entry is in flight at an agent, the highest
 * timestamp ever echoed there was received by `aliveAt`. The agent made it while
 * the origin entry was alive, so its entry lease ends as soon after the death of
 * the origin entry as if that entry had ordered the start itself.
 */
export class EchoLimits {
  private readonly openOrigins = new Set<OriginEntry>()
  private hasSeenOrigin = false

  /** Registers an entry that may hand on jobs from now on. It limits echoes at once, so that its jobs can be started. */
  addOrigin (originEntry: OriginEntry): void {
    this.openOrigins.add(originEntry)
    this.hasSeenOrigin = true
  }

  /** Removes an entry that hands on no more jobs. Its runs in flight still limit echoes. */
  removeOrigin (originEntry: OriginEntry): void {
    this.openOrigins.delete(originEntry)
  }

  /** Records the timestamp of a frame that was received from the agent. */
  onStamp (agent: LeasedAgent, now: number): void {
    if (this.hasSeenOrigin) agent.stamps.add(now, agent.stampMs)
  }

  /** Returns the timestamp to echo in a frame that is sent now, and records it as echoed. */
  stampToEcho (agent: LeasedAgent, now: number): number {
    const stampMs = this.hasSeenOrigin ? this.limitedStamp(agent, now) : agent.stampMs
    agent.echoedStampMs = Math.max(agent.echoedStampMs, stampMs)
    return stampMs
  }

  /**
   * True if a start of the job may be sent to the agent: any start of this entry's own
   * jobs, and one of an origin entry while the invariant holds with it.
   */
  mayStart ({ originEntry }: Pick<LeasedJob, 'originEntry'>, agent: LeasedAgent, now: number): boolean {
    if (originEntry === undefined) return true
    if (now - originEntry.aliveAt > MAX_ORIGIN_SILENCE_MS) return false
    const safeStamp = agent.stamps.receivedBy(originEntry.aliveAt)
    return safeStamp !== undefined && now - safeStamp.receivedAt <= MAX_STAMP_AGE_MS && agent.echoedStampMs <= safeStamp.stampMs
  }

  private limitedStamp (agent: LeasedAgent, now: number): number {
    let limit = agent.stampMs
    for (const { aliveAt } of this.openOrigins) {
      const safeStamp = now - aliveAt <= MAX_ORIGIN_SILENCE_MS ? agent.stamps.receivedBy(aliveAt) : undefined
      if (safeStamp !== undefined && now - safeStamp.receivedAt <= MAX_STAMP_AGE_MS) limit = Math.min(limit, safeStamp.stampMs)
    }
    for (const { job } of agent.sent.values()) {
      if (job.originEntry !== undefined) limit = Math.min(limit, agent.stamps.receivedBy(job.originEntry.aliveAt)?.stampMs ?? 0)
    }
    return limit
  }
}
