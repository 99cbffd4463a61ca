/** How often a side of a session shows that it lives, and how long it bears silence; in ms. */
export interface PulseTimes {
  keepAliveMs: number
  timeoutMs: number
}

/** What sessions of a process go by. */
export interface PulseOptions {
  /** While orders are out. */
  busy: PulseTimes
  /** While there are none. */
  idle: PulseTimes
}

/** One side of a session. */
export interface PulseMember {
  /** True while orders are out on it: both sides must notice soon if the other one is lost. */
  isBusy: () => boolean
  /** Sends a frame with nothing in it. */
  keepAlive: () => void
  /** The other side has been silent for too long. */
  giveUp: () => void
}

/** A session that is being watched. */
export interface Watched {
  /** A frame left: none of its own is due for a whole interval. */
  sent: () => void
  /** A frame arrived. */
  seen: () => void
  stop: () => void
}

/** How often sessions are looked at: a frame may be so much late, or early by half of it. */
const TICK_MS = 50

interface Entry {
  member: PulseMember
  sentAt: number
  seenAt: number
}

/**
 * Keeps a process's sessions alive, and gives up those whose other side has
 * fallen silent: one timer for all, as hundreds of them by themselves cost a
 * wake-up each.
 */
export class Pulse {
  private readonly watched = new Set<Entry>()
  private timer: NodeJS.Timeout | undefined

  /**
   * @param options - intervals
   * @param now - in ms, never back
   */
  constructor (private readonly options: PulseOptions, private readonly now: () => number = () => performance.now()) {}

  /** Looks after a session until it is stopped. */
  watch (member: PulseMember): Watched {
    const entry = { member, sentAt: this.now(), seenAt: this.now() }
    this.watched.add(entry)
    this.timer ??= setInterval(() => this.tick(), TICK_MS)
    return {
      sent: () => { entry.sentAt = this.now() },
      seen: () => { entry.seenAt = this.now() },
      stop: () => this.stop(entry)
    }
  }

  private stop (entry: Entry): void {
    this.watched.delete(entry)
    if (this.watched.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private tick (): void {
    const now = this.now()
    for (const { member, sentAt, seenAt } of this.watched) {
      const { keepAliveMs, timeoutMs } = member.isBusy() ? this.options.busy : this.options.idle
      if (now - seenAt > timeoutMs) member.giveUp()
      else if (now - sentAt >= keepAliveMs - TICK_MS / 2) member.keepAlive()
    }
  }
}
