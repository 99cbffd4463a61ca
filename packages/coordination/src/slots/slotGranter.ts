/** Credits that an agent grants to one entry. */
export interface CreditGrant {
  entry: string
  credits: number
}

interface EntryShare {
  /** Credits granted and not used yet. */
  granted: number
  /** Starts accepted and not ended, whether they run or wait for a slot. */
  busy: number
  /** Credits requested beyond those granted. */
  demand: number
}

/** Subtracted from the credits and busy slots of the entry that is sent a result now, when the least served entry is chosen. */
const RECIPIENT_BONUS = 3

/**
 * Divides an agent's slots between entries by granting credits; each start uses
 * one. Standing credits reserve no slot: each entry keeps a few, so that it can
 * send its next task without a request. If all of them are used at once, some
 * tasks wait at the agent for a slot. Further credits are granted on demand,
 * each for a free slot, and an entry returns them once it has no task for them.
 *
 * Invariant: starts accepted and not ended, plus credits granted, exceed the
 * slots by no more than the standing credits of all entries.
 */
export class SlotGranter {
  private slots = 0
  private readonly shares = new Map<string, EntryShare>()

  /**
   * @param standingCredits - credits that each entry keeps
   */
  constructor (private readonly standingCredits: number) {}

  /** Number of slots that an entry can use: those neither busy nor reserved for another entry. */
  freeSlotsFor (entry: string): number {
    const own = this.shares.get(entry)
    return Math.max(0, this.unreserved + (own === undefined ? 0 : this.reservedBy(own)))
  }

  /** Sets the number of the endpoint's slots; 0 once it has left. Cancels all credits granted before. */
  setSlots (slots: number): void {
    this.slots = slots
    for (const share of this.shares.values()) {
      share.granted = 0
      share.demand = 0
    }
  }

  /** Adds an entry that opened a session. Its tasks that still run from an earlier session stay counted. */
  addEntry (entry: string): void {
    const busy = this.shares.get(entry)?.busy ?? 0
    this.shares.set(entry, { granted: 0, busy, demand: 0 })
  }

  /** Removes an entry whose session ended: its unused credits are cancelled at once. */
  removeEntry (entry: string): void {
    const share = this.shares.get(entry)
    if (share === undefined) return
    if (share.busy === 0) this.shares.delete(entry)
    else this.shares.set(entry, { granted: 0, busy: share.busy, demand: 0 })
  }

  /** Sets how many credits the entry requests beyond those that it has. */
  setDemand (entry: string, demand: number): void {
    const share = this.shares.get(entry)
    if (share !== undefined) share.demand = demand
  }

  /**
   * Accepts a start against a credit of the entry.
   *
   * @returns false if the entry had no credit
   */
  accept (entry: string): boolean {
    const share = this.shares.get(entry)
    if (share === undefined || share.granted === 0) return false
    share.granted--
    share.busy++
    return true
  }

  /** Accepts a start without a credit; used by the baselines of measurements only. */
  acceptOverflow (entry: string): void {
    const share = this.shares.get(entry)
    if (share !== undefined) share.busy++
  }

  /** Frees the slot of an accepted start that has ended. */
  release (entry: string): void {
    const share = this.shares.get(entry)
    if (share !== undefined && share.busy > 0) share.busy--
  }

  /** Takes back unused credits that the entry returned. */
  returnCredits (entry: string, credits: number): void {
    const share = this.shares.get(entry)
    if (share !== undefined) share.granted = Math.max(0, share.granted - credits)
  }

  /**
   * Renews standing credits, and grants credits on demand for the free slots.
   * The entry with the fewest credits and busy slots is served first.
   *
   * @param mayRenew - true for entries that this agent sends a frame in any
   *   case, so that a renewal needs no message of its own
   * @param recipient - entry that is sent a result now; it is preferred among
   *   entries that are served about equally, as its credit is sent with the result
   * @returns the credits to send, by entry
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

  /** Number of slots that are neither busy nor reserved by credits beyond the standing ones. */
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
