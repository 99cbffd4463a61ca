import { create } from '@bufbuild/protobuf'
import { EvacuationsSchema } from '@hazellift/protocol'
import type { Evacuations } from '@hazellift/protocol'

/**
 * The availability zones that an operator evacuates, as far as a process knows.
 * Endpoints of an evacuated zone get no starts until the zone is restored.
 *
 * Invariant: the version never decreases, so an older list never replaces a newer one.
 */
export class EvacuationList {
  private current: { version: bigint, zones: ReadonlySet<string> } = { version: 0n, zones: new Set() }

  /** Version of the list; 0 before the first one. */
  get version (): bigint {
    return this.current.version
  }

  /** Evacuated zones in ascending order. */
  get zones (): string[] {
    return [...this.current.zones].sort()
  }

  /** True while the zone is evacuated: no start may be sent to its endpoints. */
  has (zone: string): boolean {
    return this.current.zones.has(zone)
  }

  /**
   * Adopts a list if it is newer than the current one.
   *
   * @returns true if the set of evacuated zones has changed
   */
  update ({ version, zones }: Pick<Evacuations, 'version' | 'zones'>): boolean {
    if (version <= this.version) return false
    const before = this.current.zones
    const after = new Set(zones)
    this.current = { version, zones: after }
    return before.size !== after.size || [...after].some((zone) => !before.has(zone))
  }

  /** Encodes the list for a frame. */
  toMessage (): Evacuations {
    return create(EvacuationsSchema, { version: this.version, zones: this.zones })
  }
}
