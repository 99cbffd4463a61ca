import { EndpointHealth } from '../health/endpointHealth.js'
import type { EndpointHealthOptions } from '../health/endpointHealth.js'
import { FairQueue } from '../queue/fairQueue.js'
import type { FairQueueOptions } from '../queue/fairQueue.js'
import type { AgentHandle } from './agentHandle.js'

/** Queue, endpoints and their health of one service at one entry. */
export class ServiceState {
  readonly queue: FairQueue
  readonly health: EndpointHealth
  readonly agents = new Map<string, AgentHandle>()
  /** True while a pass over the queue is due. */
  isSendScheduled = false

  /**
   * @param isEvacuated - true for an availability zone whose endpoints get no start
   */
  constructor (queueOptions: FairQueueOptions, healthOptions: EndpointHealthOptions, private readonly isEvacuated: (zone: string) => boolean) {
    this.queue = new FairQueue(queueOptions)
    this.health = new EndpointHealth(healthOptions)
  }

  /** Agents that take new work. */
  get availableAgents (): AgentHandle[] {
    return [...this.agents.values()].filter(({ link, isResumed: resumed, isLeaving: leaving, zone }) =>
      link !== undefined && resumed && !leaving && !this.isEvacuated(zone))
  }

  /** Slots of all endpoints that take new work. */
  get slots (): number {
    return this.availableAgents.reduce((sum, { slots }) => sum + slots, 0)
  }
}
