import { EndpointHealth } from '../health/endpointHealth.js'
import type { EndpointHealthOptions } from '../health/endpointHealth.js'
import { FairQueue } from '../queue/fairQueue.js'
import type { FairQueueOptions } from '../queue/fairQueue.js'
import type { AgentHandle } from './agentHandle.js'

/** One service at one entry: the queue, the agents of its endpoints, and the health of these endpoints. */
export class ServiceState {
  readonly queue: FairQueue
  readonly health: EndpointHealth
  /** Agents whose endpoints offer the service, by agent id. */
  readonly agents = new Map<string, AgentHandle>()
  /** True while a send of queued tasks is scheduled. */
  isSendScheduled = false

  /**
   * @param isEvacuated - true for an availability zone to whose endpoints no start is sent
   */
  constructor (queueOptions: FairQueueOptions, healthOptions: EndpointHealthOptions, private readonly isEvacuated: (zone: string) => boolean) {
    this.queue = new FairQueue(queueOptions)
    this.health = new EndpointHealth(healthOptions)
  }

  /** Agents that accept new tasks. */
  get availableAgents (): AgentHandle[] {
    return [...this.agents.values()].filter(({ link, isResumed, isLeaving, zone }) =>
      link !== undefined && isResumed && !isLeaving && !this.isEvacuated(zone))
  }

  /** Number of slots of all endpoints that accept new tasks. */
  get slots (): number {
    return this.availableAgents.reduce((sum, { slots }) => sum + slots, 0)
  }
}
