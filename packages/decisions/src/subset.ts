/**
 * Which entries an agent holds sessions with.
 *
 * Load: hundreds of agents and tens of entries. A session costs both sides
 * frames and processor time even while nothing is sent on it: with all pairs, an
 * entry with 160 sessions used 0.279 of a core on average before any request. An
 * entry needs room at a few endpoints only.
 *
 * Bounds: an agent's sessions, whatever the fleet. An entry's are as many times
 * its part of the agents: with 35 entries and 160 agents some 18.
 */

/** Where an entry can be reached. */
export interface EntryLocation {
  /** host:port of its sessions. */
  readonly address: string
  /** Availability zone; empty if it is not known. */
  readonly zone: string
}

/** How many entries an agent holds sessions with. */
export interface SubsetLimits {
  /** Entries of its own availability zone. */
  readonly near: number
  /** Others. What one kind lacks, the other may have more. */
  readonly far: number
}

/** The agent that chooses. */
export interface SubsetView {
  readonly zone: string
  /** Score of an entry for this agent, the same at all times; the highest are chosen. */
  readonly score: (address: string) => number
  /** True for entries that could not be reached for a while. */
  readonly isUnreachable: (address: string) => boolean
}

/** With each entry, as where there are few. */
export const ALL_ENTRIES: SubsetLimits = { near: Infinity, far: Infinity }

/**
 * Two of the own zone keep most starts within it, and one can be lost; two of
 * other zones join all parts, so that a zone that lost endpoints, or an entry with
 * several times the usual callers, has room elsewhere. Signs of life on sessions
 * are most of all frames, so each session more costs time that weak entries do not
 * have. Two and one is not taken, as each entry more that dies then
 * leaves some agents with one entry, or none, until substitutes are found.
 */
export const SUBSET_LIMITS: SubsetLimits = { near: 2, far: 2 }

/**
 * The entries that an agent chooses, by rendezvous hashing: when one comes or
 * goes, little else moves. One that is lost stays chosen, so that it is dialled
 * again, and another one takes its place meanwhile.
 *
 * @param entries - all that are known
 * @param view - who chooses
 * @param limits - how many
 * @returns addresses
 */
export const chooseSubset = (entries: Iterable<EntryLocation>, { zone, score, isUnreachable: isLost }: SubsetView, { near, far }: SubsetLimits): Set<string> => {
  const ranked = [...entries].map((entry) => ({ ...entry, score: score(entry.address) })).sort((a, b) => b.score - a.score)
  const own = ranked.filter((entry) => entry.zone === zone)
  const others = ranked.filter((entry) => entry.zone !== zone)
  const ownCount = Math.min(own.length, near + Math.max(0, far - others.length))
  const otherCount = Math.min(others.length, far + Math.max(0, near - own.length))
  const preferred = [...own.slice(0, ownCount), ...others.slice(0, otherCount)]
  const rest = [...own.slice(ownCount), ...others.slice(otherCount)]
  const lost = preferred.filter(({ address }) => isLost(address)).length
  const substitutes = rest.filter(({ address }) => !isLost(address)).slice(0, lost)
  return new Set([...preferred, ...substitutes].map(({ address }) => address))
}
