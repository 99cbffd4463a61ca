import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { isOverstated, offerCapacity, CAPACITY_OFFER_MS } from '@hazellift/decisions'
import type { OfferCapacity, Resources, EntryDemand } from '@hazellift/decisions'
import { RoomSchema } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import type { LeasedSession } from './hostSessions.js'
import { OfferRotation } from './offerRotation.js'

/** What capacity offers need. */
export interface CapacityOffersOptions {
  clock: Clock
  /** Open sessions, by the entry's incarnation. */
  sessions: ReadonlyMap<string, LeasedSession>
  /** Resources for further starts. */
  freeCapacity: () => Resources
  /** The endpoint's whole capacity. */
  capacity: () => Resources
  /** Chooses the entry that scarce free capacity is offered to; replaces the default rule in measurements. */
  offer?: OfferCapacity
}

/** Offers an endpoint's free capacity to entries: to all of them while it is plentiful, to one at a time while it is scarce. */
export class CapacityOffers {
  private readonly rotation: OfferRotation

  constructor (private readonly options: CapacityOffersOptions) {
    this.rotation = new OfferRotation(options.clock.now, options.offer ?? offerCapacity)
  }

  /** Adds the free capacity offered to the entry to a frame of its open session, unless it was reported on that already. */
  fillFrame (incarnation: string, session: LeasedSession, frame: AgentFrame): void {
    const offered = this.capacityFor(incarnation)
    const isReported = offered.cpuMilli === session.reportedCapacity.cpuMilli && offered.memoryMb === session.reportedCapacity.memoryMb &&
      session.startsSeen === session.reportedStartsSeen
    if (isReported) return
    session.reportedCapacity = offered
    session.reportedStartsSeen = session.startsSeen
    frame.room = create(RoomSchema, { ...offered, startsSeen: session.startsSeen })
  }

  /** The entry has sent starts. */
  onStarts (incarnation: string): void {
    this.rotation.onServed(incarnation)
    this.reportScarcity()
  }

  /** The entry's session has ended. */
  forget (incarnation: string): void {
    this.rotation.forget(incarnation)
  }

  /** Offers free capacity to the entry in turn; if it does not use it, to the next one, until each has had an offer. */
  offerFreeCapacity (): void {
    const demands = this.demands
    if (demands.length === 0 || this.options.freeCapacity().cpuMilli === 0) return
    this.offerTo(this.rotation.entryInTurn(demands)!, demands.length - 1)
  }

  private capacityFor (incarnation: string): Resources {
    const free = this.options.freeCapacity()
    const isOffered = this.rotation.isOffered(incarnation, free, this.options.capacity(), this.demands)
    return isOffered ? free : { cpuMilli: 0, memoryMb: 0 }
  }

  /** Entries with tasks that wait for capacity. */
  private get demands (): EntryDemand[] {
    const demands: EntryDemand[] = []
    for (const [incarnation, { demandPriority }] of this.options.sessions) {
      if (demandPriority === undefined) continue
      demands.push({ incarnation, priority: demandPriority, lastServe: this.rotation.lastServeOf(incarnation) })
    }
    return demands
  }

  /**
   * When free capacity has become scarce, sends a frame at once to the entries whose
   * last report showed much more, as they would still send starts for it. If
   * this waited for the next keep-alive frame, three of ten starts would be sent in
   * vain with ten entries and 62 agents.
   */
  private reportScarcity (): void {
    const capacity = this.options.capacity()
    const free = this.options.freeCapacity()
    for (const { reportedCapacity, add } of this.options.sessions.values()) if (isOverstated(reportedCapacity, free, capacity)) add(() => {})
  }

  private offerTo (entry: string, remainingOffers: number): void {
    const { sessions, clock } = this.options
    sessions.get(entry)?.add(() => {})
    if (remainingOffers > 0) clock.after(CAPACITY_OFFER_MS, () => this.offerNext(entry, remainingOffers))
  }

  private offerNext (entry: string, remainingOffers: number): void {
    if (this.rotation.entryInTurn(this.demands) !== entry) return
    this.rotation.onServed(entry)
    const next = this.rotation.entryInTurn(this.demands)
    if (next !== undefined && this.options.freeCapacity().cpuMilli > 0) this.offerTo(next, remainingOffers - 1)
  }
}
