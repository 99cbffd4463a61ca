import type { AgentFrame, EntryFrame, Evacuations } from '@hazellift/protocol'
import type { EvacuationList } from './evacuationList.js'
import type { LeasedAgent } from './leasedAgent.js'

/** Dependencies of an EvacuationExchange. */
export interface EvacuationExchangeOptions {
  list: EvacuationList
  /** Agents that this entry knows, with or without a session. */
  agents: () => Iterable<LeasedAgent>
  /** Called when the set of evacuated zones has changed. */
  onChange: (origin: EvacuationOrigin) => void
}

/** Where a list came from. */
export type EvacuationOrigin = 'operator' | 'agent'

/**
 * An entry's exchange of the list of evacuated zones with its agents. The list is
 * only about ten bytes and every agent needs it, unlike a configuration document:
 * the next frame to each agent with an older list carries it once, and agents in
 * zones that were evacuated or restored are sent a frame at once.
 *
 * Invariant: a frame with starts carries the list by which they were placed, unless
 * its agent has that version or a newer one. So no start reaches an agent with an
 * older list than that of the entry that sent it.
 */
export class EvacuationExchange {
  constructor (private readonly options: EvacuationExchangeOptions) {}

  /** Handles a list that was read from the operator's store. */
  set (evacuations: Pick<Evacuations, 'version' | 'zones'>): void {
    this.update(evacuations, 'operator')
  }

  /** Handles the list version, and the list if there is one, in a frame from an agent. */
  onFrame (agent: LeasedAgent, { evacuationsVersion, evacuations }: AgentFrame): void {
    agent.evacuationsVersion = evacuationsVersion > agent.evacuationsVersion ? evacuationsVersion : agent.evacuationsVersion
    if (evacuations !== undefined) this.update(evacuations, 'agent')
  }

  /** Adds the list's version to a frame that is about to be sent, and the list if the agent has an older one. */
  fillFrame (agent: LeasedAgent, frame: EntryFrame): void {
    const { list } = this.options
    frame.evacuationsVersion = list.version
    if (agent.evacuationsVersion >= list.version) return
    // A session delivers frames in order or ends, so a list is sent only once on it.
    agent.evacuationsVersion = list.version
    frame.evacuations = list.toMessage()
  }

  private update (evacuations: Pick<Evacuations, 'version' | 'zones'>, origin: EvacuationOrigin): void {
    const { list, agents, onChange } = this.options
    const before = new Set(list.zones)
    if (!list.update(evacuations)) return
    onChange(origin)
    for (const { zone, link } of agents()) if (before.has(zone) !== list.has(zone)) link?.add(() => {})
  }
}
