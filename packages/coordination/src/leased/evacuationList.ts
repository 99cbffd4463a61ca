import { create } from '@bufbuild/protobuf'
import { EvacuationsSchema } from '@hazellift/protocol'
import type { Evacuations } from '@hazellift/protocol'

/**
 * The availability zones that an operator evacuates, as far as a process has
 * heard: their endpoints get no start until the zone is restored.
 *
 * Invariant: the version only grows, so that no older news takes the place of newer.
 */
export class EvacuationList {
  private current: { version: bigint, zones: ReadonlySet<string> } = { version: 0n, zones: new Set() }

  /** 0 while nothing was heard. */
  get version (): bigint {
    return this.current.version
  }

  /** In ascending order. */
  get zones (): string[] {
    return [...this.current.zones].sort()
  }

  /** True while no start may go to endpoints of the zone. */
  has (zone: string): boolean {
    return this.current.zones.has(zone)
  }

  /**
   * Takes a list if it is newer.
   *
   * @returns true if other zones are evacuated now than before
   */
  update ({ version, zones }: Pick<Evacuations, 'version' | 'zones'>): boolean {
    if (version <= this.version) return false
    const before = this.current.zones
    const after = new Set(zones)
    this.current = { version, zones: after }
    return before.size !== after.size || [...after].some((zone) => !before.has(zone))
  }

  /** The list as it travels. */
  toMessage (): Evacuations {
    return create(EvacuationsSchema, { version: this.version, zones: this.zones })
  }
}
