import type { Resources } from './types.js'

/** An entry with tasks that wait for room. */
export interface WantingEntry {
  incarnation: string
  /** Of the first task that waits; 0 goes first. */
  priority: number
}

/** How long free room is kept for the entry that was offered it: a round trip between zones and some. */
export const OFFER_MS = 12
/** Below this share of the capacity, free room is offered to one entry at a time. */
const SCARCE_SHARE = 0.25

/** True if so little of an endpoint's room is free that entries would send for it several times. */
export const isScarce = (free: Resources, capacity: Resources): boolean => free.cpuMilli < capacity.cpuMilli * SCARCE_SHARE

/**
 * Decides which entry is told of scarce room. Offered to all at once it would
 * be sent for several times, and all but the first would have waited in vain.
 */
export class RoomTurns {
  private holder: string | undefined
  private offeredAt = -Infinity
  private readonly servedAt = new Map<string, number>()
  private serves = 0

  constructor (private readonly now: () => number) {}

  /**
   * True if the entry may be told of the free room.
   *
   * @param incarnation - the entry
   * @param free - free room
   * @param capacity - the whole
   * @param wanting - entries with tasks that wait
   */
  isOffered (incarnation: string, free: Resources, capacity: Resources, wanting: WantingEntry[]): boolean {
    if (!isScarce(free, capacity) || wanting.length === 0) return true
    return this.holderOf(wanting) === incarnation
  }

  /** The entry that the free room is offered to: by priority, then who was served longest ago. */
  holderOf (wanting: WantingEntry[]): string | undefined {
    const isHeld = wanting.some(({ incarnation }) => incarnation === this.holder) && this.now() - this.offeredAt < OFFER_MS
    if (isHeld) return this.holder
    const next = [...wanting].sort((a, b) => a.priority - b.priority || this.serveOf(a) - this.serveOf(b))[0]
    this.holder = next?.incarnation
    if (next !== undefined) this.offeredAt = this.now()
    return this.holder
  }

  /** The entry has sent starts, or has been passed over: it goes last among its equals. */
  served (incarnation: string): void {
    this.servedAt.set(incarnation, ++this.serves)
    if (this.holder === incarnation) this.holder = undefined
  }

  forget (incarnation: string): void {
    this.servedAt.delete(incarnation)
  }

  private serveOf ({ incarnation }: WantingEntry): number {
    return this.servedAt.get(incarnation) ?? 0
  }
}
