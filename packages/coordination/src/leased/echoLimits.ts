import type { LeasedAgent } from './leasedAgent.js'
import type { LeasedJob } from './leasedJob.js'

/** Another entry for which this one runs jobs. */
export interface OriginEntry {
  /** It was surely alive at this moment of this process's clock. */
  aliveAt: number
}

/** An entry that was heard of longer ago gets no start, and other agents' echoes are not held back for it. */
const FRESH_MS = 150
/** An echo is not held back further, as long as nothing of another entry is out at the agent. */
const MAX_HELD_MS = 400

/**
 * Which stamps an entry echoes to its agents while it runs jobs of other
 * entries. Authority for such a job must end with the life of the entry that
 * keeps its caller as well as with that of this one.
 *
 * Invariant: while a job of a sponsor is out at an agent, the highest stamp ever
 * echoed there had been read by `aliveAt`. So the agent stamped it while the
 * sponsor lived, and its authority ends as soon after the sponsor's death as if
 * the sponsor itself had ordered the start.
 */
export class EchoLimits {
  private readonly open = new Set<OriginEntry>()
  private isUsed = false

  /** From now on jobs of this entry may come; echoes are held back so that they can be started. */
  addOrigin (sponsor: OriginEntry): void {
    this.open.add(sponsor)
    this.isUsed = true
  }

  /** None come any more; those that are out still hold echoes back. */
  removeOrigin (sponsor: OriginEntry): void {
    this.open.delete(sponsor)
  }

  /** A frame of the agent was read. */
  onStamp (agent: LeasedAgent, now: number): void {
    if (this.isUsed) agent.stamps.add(now, agent.stampMs)
  }

  /** The stamp to echo with a frame that leaves now. */
  stampToEcho (agent: LeasedAgent, now: number): number {
    const stampMs = this.isUsed ? this.limited(agent, now) : agent.stampMs
    agent.echoedStampMs = Math.max(agent.echoedStampMs, stampMs)
    return stampMs
  }

  /** True if a start of the job may be sent to the agent. */
  mayStart ({ originEntry: sponsor }: Pick<LeasedJob, 'sponsor'>, agent: LeasedAgent, now: number): boolean {
    if (sponsor === undefined) return true
    if (now - sponsor.aliveAt > FRESH_MS) return false
    const held = agent.stamps.receivedBy(sponsor.aliveAt)
    return held !== undefined && now - held.receivedAt <= MAX_HELD_MS && agent.echoedStampMs <= held.stampMs
  }

  private limited (agent: LeasedAgent, now: number): number {
    let limit = agent.stampMs
    for (const { aliveAt } of this.open) {
      const held = now - aliveAt <= FRESH_MS ? agent.stamps.receivedBy(aliveAt) : undefined
      if (held !== undefined && now - held.receivedAt <= MAX_HELD_MS) limit = Math.min(limit, held.stampMs)
    }
    for (const { job } of agent.sent.values()) {
      if (job.originEntry !== undefined) limit = Math.min(limit, agent.stamps.receivedBy(job.originEntry.aliveAt)?.stampMs ?? 0)
    }
    return limit
  }
}
