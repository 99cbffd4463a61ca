import type { TaskResult } from '@hazellift/protocol'

interface Mailbox {
  lastSeq: bigint
  unacked: TaskResult[]
  touchedAt: number
}

/** Results by the entry's incarnation that they are for, kept until acknowledged; they outlive sessions. */
export class Mailboxes {
  private readonly boxes = new Map<string, Mailbox>()

  constructor (private readonly now: () => number) {}

  /** Results that no entry has acknowledged yet. */
  get unackedCount (): number {
    let count = 0
    for (const { unacked } of this.boxes.values()) count += unacked.length
    return count
  }

  /** Results that an entry has not acknowledged, oldest first. */
  unackedOf (incarnation: string): TaskResult[] {
    return this.boxes.get(incarnation)?.unacked ?? []
  }

  /** Numbers a result and keeps it. */
  put (incarnation: string, result: TaskResult): void {
    const box = this.boxes.get(incarnation) ?? { lastSeq: 0n, unacked: [], touchedAt: 0 }
    result.seq = ++box.lastSeq
    box.unacked.push(result)
    box.touchedAt = this.now()
    this.boxes.set(incarnation, box)
  }

  /** An entry has every result up to this one. */
  acknowledge (incarnation: string, seq: bigint): void {
    const box = this.boxes.get(incarnation)
    if (box === undefined) return
    while (box.unacked.length > 0 && box.unacked[0]!.seq <= seq) box.unacked.shift()
  }

  /** Forgets results for entries that are gone and that nothing was put for since. */
  sweep (isOpen: (incarnation: string) => boolean, oldest: number): void {
    for (const [incarnation, { touchedAt }] of this.boxes) {
      if (!isOpen(incarnation) && touchedAt < oldest) this.boxes.delete(incarnation)
    }
  }
}
