import type { Clock } from '@hazellift/common'
import type { EntryRecord } from '@hazellift/protocol'
import type { EntryDirectory } from './entryDirectory.js'

/** Dependencies of the announcement. */
export interface EntryAnnouncementOptions {
  clock: Clock
  directory: Pick<EntryDirectory, 'isRegistered' | 'refresh' | 'others' | 'ownRecord'>
  /** Introduces this entry to the one at an address; gives the incarnation of that one if it answered. */
  introduce: (address: string, self: EntryRecord) => Promise<string | undefined>
  /** Time after which every entry that can read the table has read this entry's row, in ms. */
  visibleAfterMs: number
}

/** Interval between checks and between introductions, in ms. */
const RETRY_INTERVAL_MS = 100

/**
 * Makes a new entry known to the others before it claims any submission.
 *
 * Invariant: every other entry knows an entry that claims, unless it has not read
 * the entries' rows for `visibleAfterMs`. `OutageLookup` relies on this.
 */
export class EntryAnnouncement {
  private done = false
  private stopped = false

  constructor (private readonly options: EntryAnnouncementOptions) {}

  /** True once this entry may claim submissions. */
  get isDone (): boolean {
    return this.done
  }

  /** Ends `run`; an entry that may not claim yet never may afterwards. */
  stop (): void {
    this.stopped = true
  }

  /** Resolves once this entry may claim submissions, or was stopped. */
  async run (): Promise<void> {
    const { clock, directory, visibleAfterMs } = this.options
    await this.waitUntil(() => directory.isRegistered)
    const registeredAt = clock.now()
    // Of two entries that join at the same time, the one that reads after both rows are written sees the other one.
    await this.waitUntil(() => directory.refresh())
    const notified = new Set<string>()
    await this.waitUntil(async () => clock.now() - registeredAt >= visibleAfterMs || await this.notifyOthers(notified))
    this.done = !this.stopped
  }

  private async waitUntil (condition: () => Promise<boolean> | boolean): Promise<void> {
    while (!this.stopped && !await condition()) await this.options.clock.sleep(RETRY_INTERVAL_MS)
  }

  private async notifyOthers (notified: Set<string>): Promise<boolean> {
    const { directory, introduce } = this.options
    const unnotified = directory.others.filter(({ incarnation }) => !notified.has(incarnation))
    await Promise.all(unnotified.map(async ({ sessionAddress, incarnation }) => {
      const answered = await introduce(sessionAddress, directory.ownRecord())
      if (answered === incarnation) notified.add(incarnation)
    }))
    return directory.others.every(({ incarnation }) => notified.has(incarnation))
  }
}
