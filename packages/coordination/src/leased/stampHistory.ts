/** A stamp of another process, and when it was read. */
export interface ReceivedStamp {
  receivedAt: number
  stampMs: number
}

/** Stamps that follow each other faster are told apart no further: an older one is always a safe answer. */
const GAP_MS = 10
/** Older ones are worth no renewal. */
const KEPT_MS = 700

/** Which stamps of a process had been read by which moment. */
export class StampHistory {
  private readonly stamps: ReceivedStamp[] = []

  /** A stamp was read. */
  add (readAt: number, stampMs: number): void {
    const last = this.stamps.at(-1)
    if (last !== undefined && readAt - last.receivedAt < GAP_MS) return
    this.stamps.push({ receivedAt: readAt, stampMs })
    while (readAt - this.stamps[0]!.receivedAt > KEPT_MS) this.stamps.shift()
  }

  /** The latest that had been read by then, or an older one; undefined if none is known. */
  receivedBy (at: number): ReceivedStamp | undefined {
    return this.stamps.findLast(({ receivedAt: readAt }) => readAt <= at)
  }
}
