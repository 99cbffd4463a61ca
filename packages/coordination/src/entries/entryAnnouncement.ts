import type { Clock } from '@hazellift/common'
import type { EntryRecord } from '@hazellift/protocol'
import type { EntryDirectory } from './entryDirectory.js'

/** What the announcement needs. */
export interface EntryAnnouncementOptions {
  clock: Clock
  directory: Pick<EntryDirectory, 'isEntered' | 'refresh' | 'others' | 'ownRecord'>
  /** Tells the entry at an address of this one; gives its incarnation if it answered. */
  introduce: (address: string, self: EntryRecord) => Promise<string | undefined>
  /** After this time in the table, entries that read it have seen this one's row; in ms. */
  visibleAfterMs: number
}

const PAUSE_MS = 100

/**
 * Makes a new entry known before it claims anything.
 *
 * Invariant: an entry that claims is known to every other one, unless that one
 * has not read the entries' rows for `seenAfterMs`. `OutageLookup` rests on it.
 */
export class EntryAnnouncement {
  private done = false
  private stopped = false

  constructor (private readonly options: EntryAnnouncementOptions) {}

  /** True once this entry may claim submissions. */
  get isDone (): boolean {
    return this.done
  }

  /** Ends `run`. */
  stop (): void {
    this.stopped = true
  }

  /** Resolves once this entry may claim submissions, or was stopped. */
  async run (): Promise<void> {
    const { clock, directory, visibleAfterMs: seenAfterMs } = this.options
    await this.waitUntil(() => directory.isRegistered)
    const enteredAt = clock.now()
    // Of two entries that join at once, the one that reads after both rows stand sees the other.
    await this.waitUntil(() => directory.refresh())
    const told = new Set<string>()
    await this.waitUntil(async () => clock.now() - enteredAt >= seenAfterMs || await this.notifyOthers(told))
    this.done = !this.stopped
  }

  private async waitUntil (isTrue: () => Promise<boolean> | boolean): Promise<void> {
    while (!this.stopped && !await isTrue()) await this.options.clock.sleep(PAUSE_MS)
  }

  private async notifyOthers (told: Set<string>): Promise<boolean> {
    const { directory, introduce } = this.options
    const untold = directory.others.filter(({ incarnation }) => !told.has(incarnation))
    await Promise.all(untold.map(async ({ sessionAddress, incarnation }) => {
      const answered = await introduce(sessionAddress, directory.ownRecord())
      if (answered === incarnation) told.add(incarnation)
    }))
    return directory.others.every(({ incarnation }) => told.has(incarnation))
  }
}
