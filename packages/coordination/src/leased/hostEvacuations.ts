import type { AgentFrame, EntryFrame } from '@hazellift/protocol'
import { EvacuationList } from './evacuationList.js'

/** What an agent's part needs. */
export interface HostEvacuationsOptions {
  /** Availability zone of the endpoint. */
  zone: string
  /** The endpoint's zone is evacuated from now on, or no more. */
  onChange: () => void
}

/**
 * An agent's side of evacuations: it knows of itself whether its endpoint may
 * get starts, whatever entries believe, and tells entries that know less, as
 * those that cannot read the store.
 */
export class HostEvacuations {
  private readonly list = new EvacuationList()

  constructor (private readonly options: HostEvacuationsOptions) {}

  /** True while no start may go to the endpoint. */
  get isEvacuated (): boolean {
    return this.list.has(this.options.zone)
  }

  /** Takes what a frame tells; to be called before its starts are looked at. */
  onFrame ({ evacuations }: EntryFrame): void {
    if (evacuations === undefined) return
    const before = this.isEvacuated
    this.list.update(evacuations)
    if (this.isEvacuated !== before) this.options.onChange()
  }

  /**
   * Adds the list to a frame if the entry has an older one.
   *
   * @param knownVersion - as the entry's latest frame told; unset before its first
   */
  fillFrame (frame: AgentFrame, knownVersion: bigint | undefined): void {
    frame.evacuationsVersion = this.list.version
    if (knownVersion !== undefined && knownVersion < this.list.version) frame.evacuations = this.list.toMessage()
  }
}
