/** How often a side of a session shows that it lives, and how long it bears silence; in ms. */
export interface KeepAliveTimes {
  keepAliveMs: number
  timeoutMs: number
}

/** What sessions of a process go by. */
export interface KeepAliveOptions {
  /** While orders are out. */
  busy: KeepAliveTimes
  /** While there are none. */
  idle: KeepAliveTimes
}

/** One side of a session. */
export interface MonitoredSession {
  /** True while orders are out on it: both sides must notice soon if the other one is lost. */
  isBusy: () => boolean
  /** Sends a frame with nothing in it. */
  sendKeepAlive: () => void
  /** The other side has been silent for too long. */
  onTimeout: () => void
}

/** A session that is being watched. */
export interface SessionWatch {
  /** A frame left: none of its own is due for a whole interval. */
  onSent: () => void
  /** A frame arrived. */
  onReceived: () => void
  stop: () => void
}

/** How often sessions are looked at: a frame may be so much late, or early by half of it. */
const CHECK_INTERVAL_MS = 50

interface WatchedSession {
  member: MonitoredSession
  sentAt: number
  receivedAt: number
}

/**
 * Keeps a process's sessions alive, and gives up those whose other side has
 * fallen silent: one timer for all, as hundreds of them by themselves cost a
 * wake-up each.
 */
export class KeepAliveMonitor {
  private readonly watched = new Set<WatchedSession>()
  private timer: NodeJS.Timeout | undefined

  /**
   * @param options - intervals
   * @param now - in ms, never back
   */
  constructor (private readonly options: KeepAliveOptions, private readonly now: () => number = () => performance.now()) {}

  /** Looks after a session until it is stopped. */
  watch (member: MonitoredSession): SessionWatch {
    const entry = { member, sentAt: this.now(), seenAt: this.now() }
    this.watched.add(entry)
    this.timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS)
    return {
      onSent: () => { entry.sentAt = this.now() },
      onReceived: () => { entry.seenAt = this.now() },
      stop: () => this.stop(entry)
    }
  }

  private stop (entry: WatchedSession): void {
    this.watched.delete(entry)
    if (this.watched.size > 0) return
    clearInterval(this.timer)
    this.timer = undefined
  }

  private check (): void {
    const now = this.now()
    for (const { member, sentAt, receivedAt: seenAt } of this.watched) {
      const { keepAliveMs, timeoutMs } = member.isBusy() ? this.options.busy : this.options.idle
      if (now - seenAt > timeoutMs) member.onTimeout()
      else if (now - sentAt >= keepAliveMs - CHECK_INTERVAL_MS / 2) member.sendKeepAlive()
    }
  }
}
