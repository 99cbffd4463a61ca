import type { Clock } from '@hazellift/common'
import { EndpointHealth } from '../health/endpointHealth.js'
import type { LeasedAgent } from './leasedAgent.js'
import type { LeasedJob } from './leasedJob.js'
import { LeasedQueue } from './leasedQueue.js'

/** Queue and endpoints' health of one service. */
export interface LeasedService {
  queue: LeasedQueue
  health: EndpointHealth
  isPumpDue: boolean
}

/** What the fleet needs. */
export interface LeasedFleetOptions {
  clock: Clock
  zone: string
  setAsideShare: number
  setAsideBackoff: (times: number) => number
}

/** An agent that was silent for longer gets no start: it may be lost. A few keep-alives long. */
const QUIET_MS = 400
/** Crossing zones costs a round trip of about a millisecond. */
const ZONE_PENALTY_MS = 1
/** Below this, differences of observed speed are noise. */
const NOTABLE_SLOWNESS = 1.1
/** An endpoint that is so much slower than expected has a fault. */
const FAR_SLOWER = 2
/** Agents that an entry knows, and where among them a task goes. */
export class LeasedFleet {
  readonly services = new Map<string, LeasedService>()
  /** The latest process of each agent. */
  readonly agents = new Map<string, LeasedAgent>()

  constructor (private readonly options: LeasedFleetOptions) {}

  /** Agents of a service that take work. */
  agentsOf (service: string): LeasedAgent[] {
    return [...this.agents.values()].filter((agent) => agent.service === service && agent.link !== undefined && !agent.isLeaving)
  }

  /** A service, made at its first mention. */
  serviceOf (name: string): LeasedService {
    const known = this.services.get(name)
    if (known !== undefined) return known
    const { clock, setAsideShare, setAsideBackoff } = this.options
    const health = new EndpointHealth({ now: clock.now, maxShare: setAsideShare, backoff: setAsideBackoff })
    const service = { queue: new LeasedQueue(), health, isPumpDue: false }
    this.services.set(name, service)
    return service
  }

  /** The records of the agent's service. */
  healthOf (agent: LeasedAgent): EndpointHealth | undefined {
    return this.services.get(agent.service)?.health
  }

  /** Thousandths of a core that a service's endpoints have, all together. */
  capacityMilli (service: string): number {
    return this.agentsOf(service).reduce((sum, { capacity }) => sum + capacity.cpuMilli, 0)
  }

  /** Processor share in use by this entry's orders. */
  runningMilli (service: string): number {
    let milli = 0
    for (const agent of this.agentsOf(service)) {
      for (const { job } of agent.sent.values()) milli += job.need.cpuMilli
    }
    return milli
  }

  /** The agent where the task would end soonest, among those with room. */
  choose (job: LeasedJob, index: number, except?: LeasedAgent): LeasedAgent | undefined {
    const { zone, clock } = this.options
    const { health } = this.serviceOf(job.service)
    const now = clock.now()
    const quietSince = now - QUIET_MS
    const { avoid } = job.tasks[index]!
    let best: LeasedAgent | undefined
    let bestMs = Infinity
    for (const agent of this.agents.values()) {
      const isUsable = agent.service === job.service && agent.link !== undefined && agent.isResumed && !agent.isLeaving &&
        agent.heardAt >= quietSince && agent !== except && agent.hasRoomFor(job.need) && health.maySend(agent.agentId)
      if (!isUsable) continue
      const runMs = job.expectedMs * (agent.slowness < NOTABLE_SLOWNESS ? 1 : agent.slowness)
      // Waiting for another endpoint is better than a place where the answer comes too late.
      if (agent.slowness > FAR_SLOWER && now + runMs > job.uselessAt) continue
      const ms = runMs + (agent.zone === zone ? 0 : ZONE_PENALTY_MS) + (avoid.has(agent.agentId) ? job.expectedMs : 0)
      if (ms >= bestMs) continue
      best = agent
      bestMs = ms
    }
    return best
  }
}
