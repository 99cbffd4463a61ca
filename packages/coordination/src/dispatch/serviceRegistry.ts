import type { AgentHandle } from './agentHandle.js'
import { ServiceState } from './serviceState.js'

/** The services that endpoints or jobs have named. */
export class ServiceRegistry {
  private readonly services = new Map<string, ServiceState>()

  constructor (private readonly create: () => ServiceState) {}

  /** A service, made at its first mention. */
  getOrCreate (name: string): ServiceState {
    const service = this.services.get(name) ?? this.create()
    this.services.set(name, service)
    return service
  }

  /** A service, if anybody named it. */
  find (name: string): ServiceState | undefined {
    return this.services.get(name)
  }

  get names (): string[] {
    return [...this.services.keys()]
  }

  /** Services with tasks that wait. */
  get withQueuedTasks (): ServiceState[] {
    return [...this.services.values()].filter(({ queue }) => queue.size > 0)
  }

  /** Tasks of a workspace that wait. */
  queuedTasks (workspace: string): number {
    return this.withQueuedTasks.reduce((sum, { queue }) => sum + queue.queuedTasks(workspace), 0)
  }

  /** Tasks that wait. */
  get queuedTotal (): number {
    return this.withQueuedTasks.reduce((sum, { queue }) => sum + queue.size, 0)
  }

  /** Moves an agent to the service that its endpoint offers now; an empty name for none. */
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
