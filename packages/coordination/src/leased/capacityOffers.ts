import { create } from '@bufbuild/protobuf'
import type { Clock } from '@hazellift/common'
import { isScarce, offerCapacity, CAPACITY_OFFER_MS } from '@hazellift/decisions'
import type { OfferCapacity, Resources, EntryDemand } from '@hazellift/decisions'
import { RoomSchema } from '@hazellift/protocol'
import type { AgentFrame } from '@hazellift/protocol'
import type { LeasedSession } from './hostSessions.js'
import { OfferRotation } from './offerRotation.js'

/** What telling of room needs. */
export interface CapacityOffersOptions {
  clock: Clock
  /** By the entry's incarnation. */
  sessions: ReadonlyMap<string, LeasedSession>
  /** What can be started now. */
  freeCapacity: () => Resources
  /** The whole. */
  capacity: () => Resources
  /** Decides in place of the product's rule, for measurements. */
  offer?: OfferCapacity
}

/** Tells entries of the room at an endpoint: all of them while there is much, one at a time when it is scarce. */
export class CapacityOffers {
  private readonly rotation: OfferRotation

  constructor (private readonly options: CapacityOffersOptions) {
    this.rotation = new OfferRotation(options.clock.now, options.offer ?? offerCapacity)
  }

  /** Adds the room to a frame, if the entry does not know it. */
  fillFrame (incarnation: string, frame: AgentFrame): void {
    const session = this.options.sessions.get(incarnation)
    if (session === undefined) return
    const room = this.capacityFor(incarnation)
    const isTold = room.cpuMilli === session.reportedCapacity.cpuMilli && room.memoryMb === session.reportedCapacity.memoryMb &&
      session.startsSeen === session.reportedStartsSeen
    if (isTold) return
    session.reportedCapacity = room
    session.reportedStartsSeen = session.startsSeen
    frame.room = create(RoomSchema, { ...room, startsSeen: session.startsSeen })
  }

  /** The entry has sent starts. */
  onStarts (incarnation: string): void {
    this.rotation.onServed(incarnation)
    this.reportScarcity()
  }

  /** The session has ended. */
  forget (incarnation: string): void {
    this.rotation.forget(incarnation)
  }

  /** Tells the entry whose turn it is of free room; if it does not use it, the next one, until each was told. */
  offerFreeCapacity (): void {
    const wanting = this.demands
    if (wanting.length === 0 || this.options.freeCapacity().cpuMilli === 0) return
    this.offerTo(this.rotation.entryInTurn(wanting)!, wanting.length - 1)
  }

  private capacityFor (incarnation: string): Resources {
    const free = this.options.freeCapacity()
    const isOffered = this.rotation.isOffered(incarnation, free, this.options.capacity(), this.demands)
    return isOffered ? free : { cpuMilli: 0, memoryMb: 0 }
  }

  private get demands (): EntryDemand[] {
    const wanting: EntryDemand[] = []
    for (const [incarnation, { demandPriority: wantingPriority }] of this.options.sessions) {
      if (wantingPriority === undefined) continue
      wanting.push({ incarnation, priority: wantingPriority, servedAt: this.rotation.lastServeOf(incarnation) })
    }
    return wanting
  }

  /**
   * Entries that were told of much room, and would send for it, hear at once
   * when it is nearly used up. Left to the next keep-alive, three of ten starts
   * of ten entries at 62 agents arrived in vain.
   */
  private reportScarcity (): void {
    const capacity = this.options.capacity()
    if (!isScarce(this.options.freeCapacity(), capacity)) return
    for (const { reportedCapacity: told, add } of this.options.sessions.values()) if (!isScarce(told, capacity)) add(() => {})
  }

  private offerTo (holder: string, others: number): void {
    const { sessions, clock } = this.options
    sessions.get(holder)?.add(() => {})
    if (others > 0) clock.after(CAPACITY_OFFER_MS, () => this.offerNext(holder, others))
  }

  private offerNext (holder: string, others: number): void {
    if (this.rotation.entryInTurn(this.demands) !== holder) return
    this.rotation.onServed(holder)
    const next = this.rotation.entryInTurn(this.demands)
    if (next !== undefined && this.options.freeCapacity().cpuMilli > 0) this.offerTo(next, others - 1)
  }
}
