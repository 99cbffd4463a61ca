import type { Clock, Random } from '@hazellift/common'
import { POLICY, leastLoaded, isBelowFloor } from '@hazellift/decisions'
import type { LoadView, PlaceContext, Policy } from '@hazellift/decisions'
import { EndpointHealth } from '../health/endpointHealth.js'
import { EvacuationList } from './evacuationList.js'
import { EchoLimits } from './echoLimits.js'
import type { LeasedAgent } from './leasedAgent.js'
import type { LeasedJob } from './leasedJob.js'
import { LeasedQueue } from './leasedQueue.js'
import { LoadRecord } from './loadRecord.js'

/** Queue and endpoints' health of one service. */
export interface LeasedService {
  queue: LeasedQueue
  load: LoadRecord
  health: EndpointHealth
  isSendScheduled: boolean
  /** When agents were asked for room last. */
  capacityRequestedAt: number
  /** The load as it was worked out last. */
  cachedLoad: { load: LoadView, at: number } | undefined
}

/** What the fleet needs. */
export interface LeasedFleetOptions {
  clock: Clock
  random: Random
  zone: string
  maxEjectedShare: number
  ejectionBackoff: (times: number) => number
  /** Decisions in place of the product's, for measurements. */
  policy?: Policy
}

/** While endpoints join one by one, as after an outage, an entry does not know what it serves: so long after the latest, nothing is forecast. */
const LEARN_MS = 300
/** The load is worked out anew after so long: under overload each frame to an agent rests on it. */
const LOAD_AGE_MS = 10

const hasSuspect = ({ sent }: LeasedAgent): boolean => [...sent.values()].some(({ job, index }) => job.tasks[index]!.isSuspect)

/** Limits of a choice. */
export interface ChooseOptions {
  except?: LeasedAgent
  preferred?: LeasedAgent | undefined
}

/** Agents that an entry knows, and where among them a task goes. */
export class LeasedFleet {
  readonly services = new Map<string, LeasedService>()
  /** The latest process of each agent. */
  readonly agents = new Map<string, LeasedAgent>()
  /** Zones whose endpoints count for nothing: neither as places nor as capacity. */
  readonly evacuations = new EvacuationList()

  /** Which stamps agents are echoed while jobs of other entries run here. */
  readonly echoLimits = new EchoLimits()

  /** When the latest endpoint was heard of. */
  private joinedAt = -Infinity

  constructor (private readonly options: LeasedFleetOptions) {}

  /** Endpoints were heard of, or may be used again. */
  onEndpointsChanged (): void {
    this.joinedAt = this.options.clock.now()
    for (const service of this.services.values()) service.cachedLoad = undefined
  }

  /** The decisions. */
  get policy (): Policy {
    return this.options.policy ?? POLICY
  }

  /** Agents of a service that take work. */
  agentsOf (service: string): LeasedAgent[] {
    return [...this.agents.values()].filter((agent) =>
      agent.service === service && agent.link !== undefined && !agent.isLeaving && !this.evacuations.has(agent.zone))
  }

  /** A service, made at its first mention. */
  serviceOf (name: string): LeasedService {
    const known = this.services.get(name)
    if (known !== undefined) return known
    const { clock, maxEjectedShare: setAsideShare, ejectionBackoff: setAsideBackoff } = this.options
    const { order, setAside } = this.policy
    const health = new EndpointHealth({ now: clock.now, maxEjectedShare: setAsideShare, ejectionBackoff: setAsideBackoff, eject: setAside })
    const service = { queue: new LeasedQueue(order), load: new LoadRecord(clock.now), health, isSendScheduled: false, capacityRequestedAt: -Infinity, cachedLoad: undefined }
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

  /** Jobs of a kind of which nothing was started. */
  pendingOf (kind: string): number {
    let pending = 0
    for (const { queue } of this.services.values()) {
      for (const job of queue) if (job.kind === kind && job.mayHaveRun === 0) pending++
    }
    return pending
  }

  /** Queues that got less lately than what is kept for them, of all services. */
  get queuesBelowFloor (): number {
    return [...this.services.keys()].reduce((sum, name) => sum + this.loadOf(name).queues.filter(isBelowFloor).length, 0)
  }

  /** Processor share in use by this entry's orders. */
  runningMilli (service: string): number {
    let milli = 0
    for (const agent of this.agentsOf(service)) {
      for (const { job } of agent.sent.values()) milli += job.need.cpuMilli
    }
    return milli
  }

  /** What this entry serves of a service. */
  loadOf (name: string): LoadView {
    const service = this.serviceOf(name)
    const now = this.options.clock.now()
    if (service.cachedLoad === undefined || now - service.cachedLoad.at > LOAD_AGE_MS) service.cachedLoad = { load: this.workOutLoad(name), at: now }
    return service.cachedLoad.load
  }

  private workOutLoad (service: string): LoadView {
    const { load } = this.serviceOf(service)
    // Each endpoint is shared by the entries that its agent has sessions with.
    const shareMilli = this.agentsOf(service).reduce((sum, { capacity, entryCount }) => sum + capacity.cpuMilli / entryCount, 0)
    const isLearning = this.options.clock.now() - this.joinedAt < LEARN_MS || shareMilli === 0
    const partMilli = isLearning ? Infinity : Math.max(this.runningMilli(service), shareMilli)
    const servedMilli = load.servedMilli(partMilli)
    return { servedMilli, queues: this.policy.shares(servedMilli, load.queues) }
  }

  /** The priority with which this entry wants room at the service's endpoints, if any task waits. */
  demandPriority (name: string): number | undefined {
    const service = this.services.get(name)
    return service === undefined || service.queue.size === 0 ? undefined : service.queue.demandPriority(this.options.clock.now(), this.loadOf(name))
  }

  /**
   * The agent that a task goes to; nothing if it should wait.
   *
   * @param near - taken if it is among the best, as starts that travel together cost one message
   */
  choose (job: LeasedJob, index: number, { except, preferred: near }: ChooseOptions = {}): LeasedAgent | undefined {
    const { zone, clock, random } = this.options
    const { avoidedAgents: avoid, isSuspect } = job.tasks[index]!
    const agents = this.agentsOf(job.service).filter((agent) => agent.isResumed && agent !== except)
    const isAvoided = ({ agentId }: LeasedAgent): boolean => avoid.has(agentId)
    const context: PlaceContext<LeasedAgent> = {
      now: clock.now(),
      zone,
      random,
      maySend: (agent) => this.healthOf(agent)?.maySend(agent.agentId) === true && this.echoLimits.mayStart(job, agent, clock.now()),
      isAvoided,
      preferred: near
    }
    const calm = isSuspect ? this.policy.place(leastLoaded(agents, job.need, { isAvoided, hasSuspect }), job, context) : undefined
    return calm ?? this.policy.place(agents, job, context)
  }
}
