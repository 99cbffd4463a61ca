/** A timestamp of another process. */
export interface ReceivedStamp {
  /** When its frame was received, in ms on this process's clock. */
  receivedAt: number
  /** The timestamp, in ms on the other process's clock. */
  stampMs: number
}

/** A timestamp received less than this after the last recorded one is not recorded: an older one is always safe to echo. */
const MIN_GAP_MS = 10
/** Timestamps received more than this long ago are dropped: to echo them would not usefully renew a lease. */
const RETENTION_MS = 700

/** Remembers which timestamps of a process had been received by a given time. */
export class StampHistory {
  private readonly stamps: ReceivedStamp[] = []

  /** Records a timestamp. Times of receipt must not decrease. */
  add (receivedAt: number, stampMs: number): void {
    const last = this.stamps.at(-1)
    if (last !== undefined && receivedAt - last.receivedAt < MIN_GAP_MS) return
    this.stamps.push({ receivedAt, stampMs })
    while (receivedAt - this.stamps[0]!.receivedAt > RETENTION_MS) this.stamps.shift()
  }

  /** The latest recorded timestamp received by the given time; undefined if there is none. */
  receivedBy (at: number): ReceivedStamp | undefined {
    return this.stamps.findLast(({ receivedAt }) => receivedAt <= at)
  }
}
