import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { EvacuationList } from './evacuationList.js'

/** What an agent's evacuations need. */
export interface HostEvacuationsOptions {
  /** Availability zone of the endpoint. */
  zone: string
  /** The evacuation of the endpoint's zone has begun or ended. */
  onChange: () => void
}

/**
 * An agent's list of evacuated availability zones. The agent decides by its own
 * list whether its endpoint may get starts, whatever entries believe, and sends
 * the list to entries that have an older one, such as those that cannot read the store.
 */
export class HostEvacuations {
  private readonly list = new EvacuationList()

  constructor (private readonly options: HostEvacuationsOptions) {}

  /** True while the endpoint's zone is evacuated: no start may go to the endpoint. */
  get isEvacuated (): boolean {
    return this.list.has(this.options.zone)
  }

  /** Adopts the frame's list if it is newer; to be called before the frame's starts are handled. */
  onFrame ({ evacuations }: EntryFrame): void {
    if (evacuations === undefined) return
    const before = this.isEvacuated
    this.list.update(evacuations)
    if (this.isEvacuated !== before) this.options.onChange()
  }

  /**
   * Adds the list's version to a frame, and the list if the entry has an older one.
   *
   * @param knownVersion - of the entry's list, by its latest frame; undefined before the first
   */
  fillFrame (frame: AgentFrame, knownVersion: bigint | undefined): void {
    frame.evacuationsVersion = this.list.version
    if (knownVersion !== undefined && knownVersion < this.list.version) frame.evacuations = this.list.toMessage()
  }
}
