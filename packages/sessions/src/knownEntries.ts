import type { EntryLocation } from '@hazellift/decisions'

/**
 * Entries that an agent has heard of, by who told of them. An entry that cannot
 * reach the store, or has just started, lists fewer than there are: what any
 * source lists counts.
 */
export class KnownEntries {
  private readonly lists = new Map<string, readonly EntryLocation[]>()

  /** True until anything was listed. */
  get isEmpty (): boolean {
    return this.lists.size === 0
  }

  /** A source told of the entries that it knows. */
  set (source: string, entries: readonly EntryLocation[]): void {
    this.lists.set(source, entries)
  }

  /** The source is heard no more; what it told last stays if nobody else has told anything. */
  forget (source: string): void {
    if (this.lists.size > 1) this.lists.delete(source)
  }

  /** All of them, each once; a zone that one source knows is known. */
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
