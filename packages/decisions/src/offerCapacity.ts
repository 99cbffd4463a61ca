/**
 * Decides which entry is offered scarce free capacity at an endpoint.
 *
 * When all endpoints are nearly full, tasks wait at several entries. If scarce
 * capacity were offered to all of them at once, each would send a start for it
 * and only the first would succeed: two of three starts would be rejected.
 */
import type { Resources } from './types.js'

/** An entry with tasks that wait for capacity. */
export interface EntryDemand {
  readonly incarnation: string
  /** Priority of its first waiting task; 0 is the most urgent. */
  readonly priority: number
  /** Rank of the entry's last serve among all serves at this endpoint, higher is later; 0 if it was never served. */
  readonly lastServe: number
}

/** The latest offer of scarce capacity at an endpoint. */
export interface CurrentOffer {
  /** Incarnation of the entry that has the offer; undefined if none has. */
  readonly holder: string | undefined
  /** When the offer was made, in ms. */
  readonly offeredAt: number
}

/** How long free capacity is reserved for the entry that it was offered to: a round trip between zones, with a margin. */
export const CAPACITY_OFFER_MS = 12
/** Below this share of an endpoint's capacity, free capacity is offered to one entry at a time. */
const SCARCE_SHARE = 0.25

/** True if so little is free at an endpoint that several entries would send starts for the same capacity. */
export const isScarce = (free: Resources, capacity: Resources): boolean =>
  free.cpuMilli < capacity.cpuMilli * SCARCE_SHARE

/** An entry that counts on so much more than is free, as a share of the endpoint's capacity, is told before the next keep-alive. */
const OVERSTATED_SHARE = 0.125

/**
 * True if an entry would send starts in vain by what it was told last: it was told of
 * plenty, and little is left. A difference of a task or less is no reason for a frame to
 * each entry: at an endpoint near the limit of what is scarce, each start would cause one.
 *
 * @param told - free capacity that the entry was told of
 * @param free - what is free now
 * @param capacity - the endpoint's whole capacity
 */
export const isOverstated = (told: Resources, free: Resources, capacity: Resources): boolean =>
  isScarce(free, capacity) && !isScarce(told, capacity) && told.cpuMilli - free.cpuMilli >= capacity.cpuMilli * OVERSTATED_SHARE

/** Chooses the entry to which free capacity is offered. */
export type OfferCapacity = (demands: readonly EntryDemand[], current: CurrentOffer, now: number) => string | undefined

/**
 * Keeps the current offer for `CAPACITY_OFFER_MS`, as long as its holder has
 * demand; then chooses by priority, and among equals the entry served longest ago.
 *
 * @param demands - entries with tasks that wait
 * @param current - the latest offer
 * @param now - in ms, on the clock of the offer
 * @returns the incarnation of an entry, or undefined if no entry has demand
 */
export const offerCapacity: OfferCapacity = (demands, { holder, offeredAt }, now) => {
  const isStillOffered = now - offeredAt < CAPACITY_OFFER_MS && demands.some(({ incarnation }) => incarnation === holder)
  if (isStillOffered) return holder
  return [...demands].sort((a, b) => a.priority - b.priority || a.lastServe - b.lastServe)[0]?.incarnation
}
