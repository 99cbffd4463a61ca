import type { Clock, Random } from '@hazellift/common'
import { EndpointHealth } from '../health/endpointHealth.js'
import type { LeasedAgent } from './leasedAgent.js'
import type { LeasedJob } from './leasedJob.js'
import { LeasedQueue } from './leasedQueue.js'
import { OFFER_MS } from './roomTurns.js'

/** Queue and endpoints' health of one service. */
export interface LeasedService {
  queue: LeasedQueue
  health: EndpointHealth
  isPumpDue: boolean
}

/** What the fleet needs. */
export interface LeasedFleetOptions {
  clock: Clock
  random: Random
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
/** The last place at an agent is often taken by another entry's start meanwhile, which costs a wait and another way. */
const TIGHT_PENALTY_MS = 6
/** Places whose times differ by less are alike. */
const ALIKE_MS = 0.5

/** Limits of a choice. */
export interface ChooseOptions {
  except?: LeasedAgent
  near?: LeasedAgent | undefined
}

const isTight = ({ room }: LeasedAgent, { need }: LeasedJob): boolean =>
  room.cpuMilli < 2 * need.cpuMilli || room.memoryMb < 2 * need.memoryMb

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

  /**
   * The agent where the task would end soonest, among those with room. Where
   * several are alike, the one with more room of two drawn at random: entries
   * that all took the first one found it full when their starts arrived, three
   * times in ten with ten entries at 62 agents.
   *
   * @param near - taken if it is one of those alike and will have room left, as starts that travel together cost one message
   */
  choose (job: LeasedJob, index: number, { except, near }: ChooseOptions = {}): LeasedAgent | undefined {
    let alike: LeasedAgent[] = []
    let bestMs = Infinity
    for (const agent of this.agents.values()) {
      const ms = agent === except ? undefined : this.timeAt(agent, job, index)
      if (ms === undefined || ms > bestMs + ALIKE_MS) continue
      if (ms < bestMs - ALIKE_MS) alike = []
      bestMs = Math.min(bestMs, ms)
      alike.push(agent)
    }
    if (near !== undefined && alike.includes(near) && !isTight(near, job)) return near
    return this.roomierOfTwo(alike)
  }

  /** How long the task would take there, with what it costs to get there; unset if it cannot go there. */
  private timeAt (agent: LeasedAgent, job: LeasedJob, index: number): number | undefined {
    // First what most agents fail over capacity.
    if (!agent.hasRoomFor(job.need)) return undefined
    const { zone, clock } = this.options
    const now = clock.now()
    // A last place is offered to one entry at a time, for a moment.
    const freshForMs = isTight(agent, job) ? OFFER_MS : QUIET_MS
    const isUsable = now - agent.heardAt <= freshForMs && agent.service === job.service && agent.link !== undefined &&
      agent.isResumed && !agent.isLeaving && this.healthOf(agent)?.maySend(agent.agentId) === true
    if (!isUsable) return undefined
    const runMs = job.expectedMs * (agent.slowness < NOTABLE_SLOWNESS ? 1 : agent.slowness)
    // Waiting for another endpoint is better than a place where the answer comes too late.
    if (agent.slowness > FAR_SLOWER && now + runMs > job.uselessAt) return undefined
    const againMs = job.tasks[index]!.avoid.has(agent.agentId) ? job.expectedMs : 0
    return runMs + againMs + (agent.zone === zone ? 0 : ZONE_PENALTY_MS) + (isTight(agent, job) ? TIGHT_PENALTY_MS : 0)
  }

  private roomierOfTwo (agents: LeasedAgent[]): LeasedAgent | undefined {
    const [one, other] = [this.draw(agents), this.draw(agents)]
    if (one === undefined || other === undefined) return undefined
    return other.room.cpuMilli > one.room.cpuMilli ? other : one
  }

  private draw (agents: LeasedAgent[]): LeasedAgent | undefined {
    return agents[Math.floor(this.options.random() * agents.length)]
  }
}
