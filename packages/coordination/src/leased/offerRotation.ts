import { isScarce, CAPACITY_OFFER_MS } from '@hazellift/decisions'
import type { OfferCapacity, Resources, CurrentOffer, EntryDemand } from '@hazellift/decisions'

/** Rotates offers of scarce free capacity among entries: tracks the current offer and the order in which entries were served. */
export class OfferRotation {
  private current: CurrentOffer = { holder: undefined, offeredAt: -Infinity }
  private readonly lastServes = new Map<string, number>()
  private serveCount = 0

  /**
   * @param now - the agent's clock
   * @param offer - chooses among entries with tasks that wait
   */
  constructor (private readonly now: () => number, private readonly offer: OfferCapacity) {}

  /**
   * True if the free capacity is offered to the entry.
   *
   * @param incarnation - the entry's incarnation
   * @param free - free capacity of the endpoint
   * @param capacity - its whole capacity
   * @param demands - entries with tasks that wait
   */
  isOffered (incarnation: string, free: Resources, capacity: Resources, demands: EntryDemand[]): boolean {
    if (!isScarce(free, capacity) || demands.length === 0) return true
    return this.entryInTurn(demands) === incarnation
  }

  /** Incarnation of the entry that scarce free capacity is offered to now; undefined if none has tasks that wait. */
  entryInTurn (demands: EntryDemand[]): string | undefined {
    const now = this.now()
    const holder = this.offer(demands, this.current, now)
    const isSameOffer = holder !== undefined && holder === this.current.holder && now - this.current.offeredAt < CAPACITY_OFFER_MS
    if (!isSameOffer) this.current = { holder, offeredAt: now }
    return holder
  }

  /** Rank of the entry's last serve among all serves here, higher is later; 0 if it was never served. */
  lastServeOf (incarnation: string): number {
    return this.lastServes.get(incarnation) ?? 0
  }

  /** The entry has sent starts or has let its offer pass: entries of the same priority are served before it. */
  onServed (incarnation: string): void {
    this.lastServes.set(incarnation, ++this.serveCount)
    if (this.current.holder === incarnation) this.current = { ...this.current, holder: undefined }
  }

  forget (incarnation: string): void {
    this.lastServes.delete(incarnation)
  }
}
