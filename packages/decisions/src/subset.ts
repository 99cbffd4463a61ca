/**
 * Subsetting: decides which entries an agent keeps sessions with.
 *
 * With hundreds of agents and tens of entries, sessions between all pairs are too
 * expensive: a session costs both sides frames and processor time even while it is
 * idle, and an entry with 160 sessions uses 0.279 of a core on average before any
 * request. An entry needs capacity at a few endpoints only.
 *
 * An agent's sessions are bounded by its limits, however large the fleet is. An
 * entry has its share of all agents' sessions: about 18 with 35 entries and 160
 * agents.
 */

/** Where an entry can be reached. */
export interface EntryLocation {
  /** host:port for sessions. */
  readonly address: string
  /** Availability zone; empty if unknown. */
  readonly zone: string
}

/** How many entries an agent keeps sessions with. If one kind has too few entries, more of the other are chosen. */
export interface SubsetLimits {
  /** Entries of the agent's own availability zone. */
  readonly near: number
  /** Entries of other zones. */
  readonly far: number
}

/** The agent that chooses. */
export interface SubsetView {
  readonly zone: string
  /** Constant score of an entry for this agent; the highest scores are chosen. */
  readonly score: (address: string) => number
  /** True for entries that could not be reached for a while. */
  readonly isUnreachable: (address: string) => boolean
}

/** Sessions with every entry, for small fleets. */
export const ALL_ENTRIES: SubsetLimits = { near: Infinity, far: Infinity }

/**
 * Limits of the product. Two entries of the own zone keep most starts within the
 * zone even if one is lost. Two of other zones connect all subsets, so that a zone
 * that lost endpoints, or an entry with several times the usual callers, finds
 * capacity elsewhere. Keep-alives are most of all frames, so each further session
 * costs processor time that weak entries do not have. With two and one, each
 * further entry that dies leaves some agents with one entry or none until
 * substitutes are found.
 */
export const SUBSET_LIMITS: SubsetLimits = { near: 2, far: 2 }

/**
 * Chooses an agent's entries by rendezvous hashing, so that few sessions change
 * when an entry joins or leaves. An unreachable entry stays chosen, so that it is
 * dialled again, and is substituted by another one meanwhile.
 *
 * @param entries - all known entries
 * @param view - the agent that chooses
 * @param limits - how many entries to choose
 * @returns addresses of the chosen entries
 */
export const chooseSubset = (entries: Iterable<EntryLocation>, { zone, score, isUnreachable }: SubsetView, { near, far }: SubsetLimits): Set<string> => {
  const ranked = [...entries].map((entry) => ({ ...entry, score: score(entry.address) })).sort((a, b) => b.score - a.score)
  const own = ranked.filter((entry) => entry.zone === zone)
  const others = ranked.filter((entry) => entry.zone !== zone)
  const ownCount = Math.min(own.length, near + Math.max(0, far - others.length))
  const otherCount = Math.min(others.length, far + Math.max(0, near - own.length))
  const chosen = [...own.slice(0, ownCount), ...others.slice(0, otherCount)]
  const rest = [...own.slice(ownCount), ...others.slice(otherCount)]
  const unreachableCount = chosen.filter(({ address }) => isUnreachable(address)).length
  const substitutes = rest.filter(({ address }) => !isUnreachable(address)).slice(0, unreachableCount)
  return new Set([...chosen, ...substitutes].map(({ address }) => address))
}
