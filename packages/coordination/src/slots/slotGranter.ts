/** Credits that an agent hands to one entry, and asks back from it. */
export interface GrantChange {
  entry: string
  credits: number
}

/** What the next frames must carry. */
export interface GrantPlan {
  grants: GrantChange[]
  recalls: GrantChange[]
}

interface EntryShare {
  granted: number
  running: number
  /** Credits wanted beyond those granted. */
  demand: number
  /** Credits asked back and not returned yet. */
  recalled: number
}

/**
 * Divides an agent's slots between entries as credits.
 *
 * Invariant: credits granted plus tasks accepted never exceed the slots, but
 * for the extra credits that the settings allow.
 */
export class SlotGranter {
  private slots = 0
  private readonly shares = new Map<string, EntryShare>()

  /**
   * @param standing - credits that an entry without demand keeps
   * @param extra - credits granted beyond the slots
   */
  constructor (private readonly standing: number, private readonly extra: number) {}

  /** Slots that neither run a task nor are promised. */
  get free (): number {
    if (this.slots === 0) return 0
    let used = 0
    for (const { granted, running } of this.shares.values()) used += granted + running
    return Math.max(0, this.slots + this.extra - used)
  }

  /** The endpoint's slots; 0 when it left. Credits given out before are void. */
  setSlots (slots: number): void {
    this.slots = slots
    for (const share of this.shares.values()) {
      share.granted = 0
      share.demand = 0
      share.recalled = 0
    }
  }

  /** A session opened. Tasks that still run for the entry count on. */
  addEntry (entry: string): void {
    const running = this.shares.get(entry)?.running ?? 0
    this.shares.set(entry, { granted: 0, running, demand: 0, recalled: 0 })
  }

  /** A session ended: its unused credits are taken back at once. */
  removeEntry (entry: string): void {
    const share = this.shares.get(entry)
    if (share === undefined) return
    if (share.running === 0) this.shares.delete(entry)
    else this.shares.set(entry, { granted: 0, running: share.running, demand: 0, recalled: 0 })
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
    share.running++
    // A credit that was asked back and used instead is settled.
    share.recalled = Math.min(share.recalled, share.granted)
    return true
  }

  /** A start without a credit is accepted all the same (baselines only). */
  acceptOverflow (entry: string): void {
    const share = this.shares.get(entry)
    if (share !== undefined) share.running++
  }

  /** An accepted start is over. */
  release (entry: string): void {
    const share = this.shares.get(entry)
    if (share !== undefined && share.running > 0) share.running--
  }

  /** The entry gave credits back unused. */
  returned (entry: string, credits: number): void {
    const share = this.shares.get(entry)
    if (share === undefined) return
    share.granted = Math.max(0, share.granted - credits)
    share.recalled = Math.max(0, share.recalled - credits)
  }

  /**
   * Grants what is free, to who wants it and has least, then asks idle credits
   * back. Standing credits are renewed only where `renews` says so: with a
   * result, where they cost no message of their own, and when a session opens.
   */
  plan (renews: (entry: string) => boolean): GrantPlan {
    const grants = new Map<string, number>()
    for (let free = this.free; free > 0; free--) {
      const entry = this.neediest(renews)
      if (entry === undefined) break
      this.grant(entry)
      grants.set(entry, (grants.get(entry) ?? 0) + 1)
    }
    return { grants: toChanges(grants), recalls: toChanges(this.recall()) }
  }

  private neediest (renews: (entry: string) => boolean): string | undefined {
    return this.leastServed(({ demand }) => demand > 0) ??
      this.leastServed(({ granted, demand }, entry) => demand === 0 && granted < this.standing && renews(entry))
  }

  private leastServed (wants: (share: EntryShare, entry: string) => boolean): string | undefined {
    let best: string | undefined
    let bestUse = Infinity
    for (const [entry, share] of this.shares) {
      const use = share.granted + share.running
      if (!wants(share, entry) || use >= bestUse) continue
      best = entry
      bestUse = use
    }
    return best
  }

  private grant (entry: string): void {
    const share = this.shares.get(entry)!
    share.granted++
    if (share.demand > 0) share.demand--
  }

  private recall (): Map<string, number> {
    const recalls = new Map<string, number>()
    let wanted = this.unmetDemand()
    for (const [entry, share] of this.shares) {
      const idle = share.demand > 0 ? 0 : share.granted - share.recalled
      const credits = Math.min(wanted, idle)
      if (credits <= 0) continue
      share.recalled += credits
      wanted -= credits
      recalls.set(entry, credits)
    }
    return recalls
  }

  /** Demand that neither free slots nor credits already asked back will meet. */
  private unmetDemand (): number {
    let unmet = 0
    for (const { demand, recalled } of this.shares.values()) unmet += demand - recalled
    return unmet
  }
}

const toChanges = (credits: Map<string, number>): GrantChange[] =>
  [...credits].map(([entry, count]) => ({ entry, credits: count }))
