import { isScarce, CAPACITY_OFFER_MS } from '@hazellift/decisions'
import type { OfferCapacity, Resources, CurrentOffer, EntryDemand } from '@hazellift/decisions'

/** Remembers whose turn it is to be told of scarce room, and who was served when. */
export class OfferRotation {
  private turn: CurrentOffer = { holder: undefined, offeredAt: -Infinity }
  private readonly servedAt = new Map<string, number>()
  private serveCount = 0

  /**
   * @param now - the agent's clock
   * @param offer - chooses among entries with tasks that wait
   */
  constructor (private readonly now: () => number, private readonly offer: OfferCapacity) {}

  /**
   * True if the entry may be told of the free room.
   *
   * @param incarnation - the entry
   * @param free - free room
   * @param capacity - the whole
   * @param wanting - entries with tasks that wait
   */
  isOffered (incarnation: string, free: Resources, capacity: Resources, wanting: EntryDemand[]): boolean {
    if (!isScarce(free, capacity) || wanting.length === 0) return true
    return this.entryInTurn(wanting) === incarnation
  }

  /** The entry that the free room is offered to. */
  entryInTurn (wanting: EntryDemand[]): string | undefined {
    const now = this.now()
    const holder = this.offer(wanting, this.turn, now)
    const keepsTurn = holder !== undefined && holder === this.turn.holder && now - this.turn.offeredAt < CAPACITY_OFFER_MS
    if (!keepsTurn) this.turn = { holder, offeredAt: now }
    return holder
  }

  /** How often entries had been served here when this one was served last; 0 for never. */
  lastServeOf (incarnation: string): number {
    return this.servedAt.get(incarnation) ?? 0
  }

  /** The entry has sent starts, or has been passed over: it goes last among its equals. */
  onServed (incarnation: string): void {
    this.servedAt.set(incarnation, ++this.serveCount)
    if (this.turn.holder === incarnation) this.turn = { ...this.turn, holder: undefined }
  }

  forget (incarnation: string): void {
    this.servedAt.delete(incarnation)
  }
}
