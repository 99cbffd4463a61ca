import type { AgentFrame, EntryFrame, Evacuations } from '@hazellift/protocol'
import type { EvacuationList } from './evacuationList.js'
import type { LeasedAgent } from './leasedAgent.js'

/** What the exchange needs. */
export interface EvacuationExchangeOptions {
  list: EvacuationList
  /** Agents that this entry knows, with or without a session. */
  agents: () => Iterable<LeasedAgent>
  /** Other zones are evacuated than before. */
  onChange: (origin: EvacuationOrigin) => void
}

/** Who told of a list. */
export type EvacuationOrigin = 'operator' | 'agent'

/**
 * An entry's exchange of the list of evacuated zones with its agents. Unlike a
 * configuration document the list is some ten bytes, and every agent needs it:
 * it rides once on the next frame to each that has an older one, and agents of
 * zones that change are sent a frame at once.
 *
 * Invariant: a frame that carries starts carries the list that they were placed
 * by, unless its agent has one as new. So a start reaches no agent that knows
 * less than the entry that sent it.
 */
export class EvacuationExchange {
  constructor (private readonly options: EvacuationExchangeOptions) {}

  /** The operator's list was read. */
  set (evacuations: Pick<Evacuations, 'version' | 'zones'>): void {
    this.offer(evacuations, 'operator')
  }

  /** An agent told which list it has, or gave it. */
  onFrame (agent: LeasedAgent, { evacuationsVersion, evacuations }: AgentFrame): void {
    agent.evacuationsVersion = evacuationsVersion > agent.evacuationsVersion ? evacuationsVersion : agent.evacuationsVersion
    if (evacuations !== undefined) this.offer(evacuations, 'agent')
  }

  /** Fills in a frame as it leaves. */
  fillFrame (agent: LeasedAgent, frame: EntryFrame): void {
    const { list } = this.options
    frame.evacuationsVersion = list.version
    if (agent.evacuationsVersion >= list.version) return
    // The session delivers in order, or ends: what was sent on it need not be sent again.
    agent.evacuationsVersion = list.version
    frame.evacuations = list.toMessage()
  }

  private offer (evacuations: Pick<Evacuations, 'version' | 'zones'>, origin: EvacuationOrigin): void {
    const { list, agents, onChange } = this.options
    const before = new Set(list.zones)
    if (!list.update(evacuations)) return
    onChange(origin)
    for (const { zone, link } of agents()) if (before.has(zone) !== list.has(zone)) link?.add(() => {})
  }
}
