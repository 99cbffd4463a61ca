import type { TaskResult } from '@hazellift/protocol'

interface Mailbox {
  lastSeq: bigint
  unacked: TaskResult[]
  lastPutAt: number
}

/** Results for entries, by the entry's incarnation. They are stored until acknowledged, also across sessions. */
export class Mailboxes {
  private readonly boxes = new Map<string, Mailbox>()

  constructor (private readonly now: () => number) {}

  /** Number of results that are not acknowledged yet. */
  get unackedCount (): number {
    let count = 0
    for (const { unacked } of this.boxes.values()) count += unacked.length
    return count
  }

  /** Results that an entry has not acknowledged, oldest first. */
  unackedOf (incarnation: string): TaskResult[] {
    return this.boxes.get(incarnation)?.unacked ?? []
  }

  /** Gives a result the next sequence number of the incarnation and stores it. */
  put (incarnation: string, result: TaskResult): void {
    const box = this.boxes.get(incarnation) ?? { lastSeq: 0n, unacked: [], lastPutAt: 0 }
    result.seq = ++box.lastSeq
    box.unacked.push(result)
    box.lastPutAt = this.now()
    this.boxes.set(incarnation, box)
  }

  /** Removes the results up to a sequence number, which the entry has received. */
  acknowledge (incarnation: string, seq: bigint): void {
    const box = this.boxes.get(incarnation)
    if (box === undefined) return
    while (box.unacked.length > 0 && box.unacked[0]!.seq <= seq) box.unacked.shift()
  }

  /**
   * Removes the mailboxes of entries that are gone.
   *
   * @param isOpen - true if the entry's incarnation has a session
   * @param oldestAt - mailboxes without a session are removed if their last result is older
   */
  sweep (isOpen: (incarnation: string) => boolean, oldestAt: number): void {
    for (const [incarnation, { lastPutAt }] of this.boxes) {
      if (!isOpen(incarnation) && lastPutAt < oldestAt) this.boxes.delete(incarnation)
    }
  }
}
