import type { EntryLocation } from '@hazellift/decisions'

/**
 * Entries that an agent knows of, by the source that listed them. An entry that
 * cannot reach the store, or has just started, lists fewer entries than there
 * are, so the union of all lists is used.
 */
export class KnownEntries {
  private readonly lists = new Map<string, readonly EntryLocation[]>()

  /** True until a source listed anything. */
  get isEmpty (): boolean {
    return this.lists.size === 0
  }

  /** Replaces the list of a source. */
  set (source: string, entries: readonly EntryLocation[]): void {
    this.lists.set(source, entries)
  }

  /** Drops the list of a source that is gone, unless it is the only list. */
  forget (source: string): void {
    if (this.lists.size > 1) this.lists.delete(source)
  }

  /** All listed entries, one for each address; an item with a zone replaces one without. */
  get all (): EntryLocation[] {
    const byAddress = new Map<string, EntryLocation>()
    for (const entries of this.lists.values()) {
      for (const entry of entries) {
        if (entry.zone !== '' || !byAddress.has(entry.address)) byAddress.set(entry.address, entry)
      }
    }
    return [...byAddress.values()]
  }
}
