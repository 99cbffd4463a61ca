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
  /** Increases each time an entry is served at this endpoint; 0 if this entry never was. */
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
