import type { AgentHandle } from './agentHandle.js'
import { ServiceState } from './serviceState.js'

/** Holds the state of every service that an endpoint or a job has named. */
export class ServiceRegistry {
  private readonly services = new Map<string, ServiceState>()

  constructor (private readonly create: () => ServiceState) {}

  /** The state of a service; created on first use. */
  getOrCreate (name: string): ServiceState {
    const service = this.services.get(name) ?? this.create()
    this.services.set(name, service)
    return service
  }

  /** The state of a service; undefined if no endpoint or job has named it. */
  find (name: string): ServiceState | undefined {
    return this.services.get(name)
  }

  /** Names of all known services. */
  get names (): string[] {
    return [...this.services.keys()]
  }

  /** Services with queued tasks. */
  get withQueuedTasks (): ServiceState[] {
    return [...this.services.values()].filter(({ queue }) => queue.size > 0)
  }

  /** Number of tasks of a workspace that are queued. */
  queuedTasks (workspace: string): number {
    return this.withQueuedTasks.reduce((sum, { queue }) => sum + queue.queuedTasks(workspace), 0)
  }

  /** Number of tasks that are queued for all services. */
  get queuedTotal (): number {
    return this.withQueuedTasks.reduce((sum, { queue }) => sum + queue.size, 0)
  }

  /**
   * Assigns an agent to the service that its endpoint offers.
   *
   * @param name - name of the service; empty if the endpoint offers none
   */
  assign (agent: AgentHandle, name: string): void {
    if (agent.service === name) return
    const previous = this.services.get(agent.service)
    previous?.agents.delete(agent.agentId)
    previous?.health.remove(agent.agentId)
    agent.service = name
    if (name === '') return
    const service = this.getOrCreate(name)
    service.agents.set(agent.agentId, agent)
    service.health.add(agent.agentId)
  }
}
