import type { Clock, Random } from '@hazellift/common'
import { POLICY, leastLoaded, isBelowFloor } from '@hazellift/decisions'
import type { LoadView, PlaceContext, Policy } from '@hazellift/decisions'
import { EndpointHealth } from '../health/endpointHealth.js'
import { EchoLimits } from './echoLimits.js'
import { EvacuationList } from './evacuationList.js'
import type { LeasedAgent } from './leasedAgent.js'
import type { LeasedJob } from './leasedJob.js'
import { LeasedQueue } from './leasedQueue.js'
import { LoadRecord } from './loadRecord.js'

/** Queue, load and endpoint health of one service. */
export interface LeasedService {
  queue: LeasedQueue
  load: LoadRecord
  health: EndpointHealth
  /** Its waiting jobs will be sent soon. */
  isSendScheduled: boolean
  /** When agents were last sent requests for capacity, in ms. */
  capacityRequestedAt: number
  /** Load as calculated last; undefined if it must be calculated again. */
  cachedLoad: { load: LoadView, calculatedAt: number } | undefined
}

/** Options of a LeasedFleet. */
export interface LeasedFleetOptions {
  clock: Clock
  random: Random
  /** Availability zone of the entry. */
  zone: string
  /** Largest share of a service's endpoints that may be ejected at a time. */
  maxEjectedShare: number
  /** How long an endpoint is ejected, in ms, by the number of its consecutive ejections. */
  ejectionBackoff: (times: number) => number
  /** Replaces the product's decisions, for measurements. */
  policy?: Policy
}

/**
 * While endpoints join one by one, as after an outage, an entry does not know its
 * capacity: no waits are forecast for this time after the latest change.
 */
const LEARNING_MS = 300
/**
 * How long an agent whose session has ended still counts as capacity, in ms. If it lives,
 * it has another session by then; a job that is refused meanwhile is refused for nothing.
 */
const RECONNECT_MS = 300
/** The load is calculated again at most this often, because under overload every frame to an agent needs it. */
const MAX_LOAD_AGE_MS = 10

const hasSuspect = ({ sent }: LeasedAgent): boolean => [...sent.values()].some(({ job, index }) => job.tasks[index]!.isSuspect)

/** Options of LeasedFleet.choose. */
export interface ChooseOptions {
  /** Agent that must not be chosen. */
  except?: LeasedAgent
  /** Agent to choose if it is among the best, because starts that are sent together cost one message. */
  preferred?: LeasedAgent | undefined
}

/** The agents that an entry knows, the queues of their services, and the choice of an agent for a task. */
export class LeasedFleet {
  /** Services by name. */
  readonly services = new Map<string, LeasedService>()
  /** The latest process of each agent, by agent id. */
  readonly agents = new Map<string, LeasedAgent>()
  /** Evacuated zones. Their endpoints get no tasks and do not count as capacity. */
  readonly evacuations = new EvacuationList()
  /** Limits the timestamps echoed to agents while jobs of other entries run here. */
  readonly echoLimits = new EchoLimits()
  /** When the set of usable endpoints changed last, in ms. */
  private endpointsChangedAt = -Infinity

  constructor (private readonly options: LeasedFleetOptions) {}

  /**
   * To be called when an endpoint was reported, or when zones were evacuated or restored:
   * the load calculated before says nothing of the new capacity.
   */
  onEndpointsChanged (): void {
    this.endpointsChangedAt = this.options.clock.now()
    for (const service of this.services.values()) service.cachedLoad = undefined
  }

  /** The decisions in use. */
  get policy (): Policy {
    return this.options.policy ?? POLICY
  }

  /** Agents of a service that take starts. */
  agentsOf (service: string): LeasedAgent[] {
    return this.presentAgentsOf(service).filter(({ link }) => link !== undefined)
  }

  /** Agents of a service that take starts, now or as soon as they have another session. */
  private presentAgentsOf (service: string): LeasedAgent[] {
    const mayReconnectSince = this.options.clock.now() - RECONNECT_MS
    return [...this.agents.values()].filter((agent) => agent.service === service && !agent.isLeaving && !this.evacuations.has(agent.zone) &&
      (agent.link !== undefined || agent.closedAt > mayReconnectSince))
  }

  /** Returns a service, creating it on first use. */
  serviceOf (name: string): LeasedService {
    const known = this.services.get(name)
    if (known !== undefined) return known
    const { clock, maxEjectedShare, ejectionBackoff } = this.options
    const { order, setAside } = this.policy
    const health = new EndpointHealth({ now: clock.now, maxEjectedShare, ejectionBackoff, eject: setAside })
    const service = { queue: new LeasedQueue(order), load: new LoadRecord(clock.now), health, isSendScheduled: false, capacityRequestedAt: -Infinity, cachedLoad: undefined }
    this.services.set(name, service)
    return service
  }

  /** Endpoint health of the agent's service; undefined if the agent has none. */
  healthOf (agent: LeasedAgent): EndpointHealth | undefined {
    return this.services.get(agent.service)?.health
  }

  /** Processor capacity of all endpoints of a service, in thousandths of a core. */
  capacityMilli (service: string): number {
    return this.presentAgentsOf(service).reduce((sum, { capacity }) => sum + capacity.cpuMilli, 0)
  }

  /** Number of waiting jobs of a kind of which no task may have run. */
  pendingOf (kind: string): number {
    let pending = 0
    for (const { queue } of this.services.values()) {
      for (const job of queue) if (job.kind === kind && job.mayHaveRun === 0) pending++
    }
    return pending
  }

  /** Number of queues, over all services, that are below their floors. */
  get queuesBelowFloor (): number {
    return [...this.services.keys()].reduce((sum, name) => sum + this.loadOf(name).queues.filter(isBelowFloor).length, 0)
  }

  /** Processor capacity in use by this entry's runs, in thousandths of a core. */
  runningMilli (service: string): number {
    let milli = 0
    for (const agent of this.presentAgentsOf(service)) {
      for (const { job } of agent.sent.values()) milli += job.need.cpuMilli
    }
    return milli
  }

  /** Load of a service at this entry, as calculated at most `MAX_LOAD_AGE_MS` ago. */
  loadOf (name: string): LoadView {
    const service = this.serviceOf(name)
    const now = this.options.clock.now()
    if (service.cachedLoad === undefined || now - service.cachedLoad.calculatedAt > MAX_LOAD_AGE_MS) service.cachedLoad = { load: this.calculateLoad(name), calculatedAt: now }
    return service.cachedLoad.load
  }

  private calculateLoad (service: string): LoadView {
    const { load } = this.serviceOf(service)
    // Each endpoint is shared by the entries that its agent has sessions with.
    const shareMilli = this.presentAgentsOf(service).reduce((sum, { capacity, entryCount }) => sum + capacity.cpuMilli / entryCount, 0)
    const isLearning = this.options.clock.now() - this.endpointsChangedAt < LEARNING_MS || shareMilli === 0
    const expectedMilli = isLearning ? Infinity : Math.max(this.runningMilli(service), shareMilli)
    const servedMilli = load.servedMilli(expectedMilli)
    return { servedMilli, queues: this.policy.shares(servedMilli, load.queues) }
  }

  /** Priority of this entry's demand for free capacity of a service; undefined if no task waits. */
  demandPriority (name: string): number | undefined {
    const service = this.services.get(name)
    return service === undefined || service.queue.size === 0 ? undefined : service.queue.demandPriority(this.options.clock.now(), this.loadOf(name))
  }

  /**
   * Chooses an agent for a task.
   *
   * @param job - job of the task
   * @param index - index of the task
   * @returns undefined if the task should wait
   */
  choose (job: LeasedJob, index: number, { except, preferred }: ChooseOptions = {}): LeasedAgent | undefined {
    const { zone, clock, random } = this.options
    const { avoidedAgents, isSuspect } = job.tasks[index]!
    const agents = this.agentsOf(job.service).filter((agent) => agent.isResumed && agent !== except)
    const isAvoided = ({ agentId }: LeasedAgent): boolean => avoidedAgents.has(agentId)
    const context: PlaceContext<LeasedAgent> = {
      now: clock.now(),
      zone,
      random,
      maySend: (agent) => this.healthOf(agent)?.maySend(agent.agentId) === true && this.echoLimits.mayStart(job, agent, clock.now()),
      isAvoided,
      preferred
    }
    const leastLoadedAgent = isSuspect ? this.policy.place(leastLoaded(agents, job.need, { isAvoided, hasSuspect }), job, context) : undefined
    return leastLoadedAgent ?? this.policy.place(agents, job, context)
  }
}
