/** Credits that an agent hands to one entry. */
export interface CreditGrant {
  entry: string
  credits: number
}

interface EntryShare {
  granted: number
  /** Starts accepted and not over, whether they run or wait here. */
  busy: number
  /** Credits wanted beyond those granted. */
  demand: number
}

/** By how many credits the entry that hears from the agent anyway may be ahead of the others. */
const RECIPIENT_BONUS = 3

/**
 * Divides an agent's slots between entries as credits, of two kinds. Standing
 * credits reserve nothing: each entry keeps a few, so that its next task needs
 * no message before it, and if all are used at once some tasks wait here for a
 * moment. Credits beyond those are granted for demand, against free slots, and
 * an entry gives them back as soon as it has no task for them.
 *
 * Invariant: starts accepted plus credits granted never exceed the slots by
 * more than the standing credits of all entries.
 */
export class SlotGranter {
  private slots = 0
  private readonly shares = new Map<string, EntryShare>()

  /**
   * @param standingCredits - credits that each entry keeps
   */
  constructor (private readonly standingCredits: number) {}

  /** Slots that an entry may count on: not busy, and not reserved for another entry. */
  freeSlotsFor (entry: string): number {
    const own = this.shares.get(entry)
    return Math.max(0, this.unreserved + (own === undefined ? 0 : this.reservedBy(own)))
  }

  /** The endpoint's slots; 0 when it left. Credits given out before are void. */
  setSlots (slots: number): void {
    this.slots = slots
    for (const share of this.shares.values()) {
      share.granted = 0
      share.demand = 0
    }
  }

  /** A session opened. Tasks that still run for the entry count on. */
  addEntry (entry: string): void {
    const busy = this.shares.get(entry)?.busy ?? 0
    this.shares.set(entry, { granted: 0, busy, demand: 0 })
  }

  /** A session ended: its unused credits are taken back at once. */
  removeEntry (entry: string): void {
    const share = this.shares.get(entry)
    if (share === undefined) return
    if (share.busy === 0) this.shares.delete(entry)
    else this.shares.set(entry, { granted: 0, busy: share.busy, demand: 0 })
  }

  /** Credits that the entry wants beyond those it holds. */
  setDemand (entry: string, demand: number): void {
    const share = this.shares.get(entry)
    if (share !== undefined) share.demand = demand
  }

  /**
   * A start arrived.
   *
   * @returns false if the entry held no credit
   */
  accept (entry: string): boolean {
    const share = this.shares.get(entry)
    if (share === undefined || share.granted === 0) return false
    share.granted--
    share.busy++
    return true
  }

  /** A start without a credit is accepted all the same (baselines only). */
  acceptOverflow (entry: string): void {
    const share = this.shares.get(entry)
    if (share !== undefined) share.busy++
  }

  /** An accepted start is over. */
  release (entry: string): void {
    const share = this.shares.get(entry)
    if (share !== undefined && share.busy > 0) share.busy--
  }

  /** The entry gave credits back unused. */
  returnCredits (entry: string, credits: number): void {
    const share = this.shares.get(entry)
    if (share !== undefined) share.granted = Math.max(0, share.granted - credits)
  }

  /**
   * Renews standing credits and meets demand from free slots, least served
   * first.
   *
   * @param mayRenew - true for entries that hear from this agent anyway: a
   *   renewal costs no message of its own
   * @param recipient - the entry that a result goes to now; between entries served
   *   about alike it is preferred, as its credit travels with the result
   */
  plan (mayRenew: (entry: string) => boolean, recipient?: string): CreditGrant[] {
    const grants = new Map<string, number>()
    const add = (entry: string, credits: number) => grants.set(entry, (grants.get(entry) ?? 0) + credits)
    if (this.slots > 0) this.renew(mayRenew, add)
    for (let free = this.unreserved; free > 0; free--) {
      const entry = this.leastServed(recipient)
      if (entry === undefined) break
      const share = this.shares.get(entry)!
      share.granted++
      share.demand--
      add(entry, 1)
    }
    return [...grants].map(([entry, credits]) => ({ entry, credits }))
  }

  /** Slots that are neither busy nor reserved by credits beyond the standing ones. */
  private get unreserved (): number {
    let used = 0
    for (const share of this.shares.values()) used += share.busy + this.reservedBy(share)
    return this.slots - used
  }

  private reservedBy ({ granted }: EntryShare): number {
    return Math.max(0, granted - this.standingCredits)
  }

  private renew (mayRenew: (entry: string) => boolean, add: (entry: string, credits: number) => void): void {
    for (const [entry, share] of this.shares) {
      const missing = this.standingCredits - share.granted
      if (missing <= 0 || !mayRenew(entry)) continue
      share.granted += missing
      share.demand = Math.max(0, share.demand - missing)
      add(entry, missing)
    }
  }

  private leastServed (recipient: string | undefined): string | undefined {
    let best: string | undefined
    let bestUse = Infinity
    for (const [entry, { granted, busy, demand }] of this.shares) {
      const use = granted + busy - (entry === recipient ? RECIPIENT_BONUS : 0)
      if (demand === 0 || use >= bestUse) continue
      best = entry
      bestUse = use
    }
    return best
  }
}
